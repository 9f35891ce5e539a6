// Runs the tests of one folder, with the event loop that sockets need.
#define BOOST_TEST_NO_MAIN
#include <QCoreApplication>
#include <boost/test/unit_test.hpp>

int
main(int argc, char** argv)
{
  const QCoreApplication application(argc, argv);
  return boost::unit_test::unit_test_main([] { return true; }, argc, argv);
}
