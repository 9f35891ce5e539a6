// Entry point of each test executable. Tests with sockets or timers need the application object for
// their event loop.
#define BOOST_TEST_NO_MAIN
#include <QCoreApplication>
#include <boost/test/unit_test.hpp>

int
main(int argc, char** argv)
{
  const QCoreApplication application(argc, argv);
  return boost::unit_test::unit_test_main([] { return true; }, argc, argv);
}
