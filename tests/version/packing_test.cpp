// Tests of the delta compression of configurations.
#include "fakes/expect.h"
#include "version/version.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace shallotfield;

/** Makes a text of rules with random names, prefixes and timeouts. With 2000 rules it is as large
 * as the configuration of a fleet. */
static std::string
make_text(unsigned seed, int rules)
{
  std::mt19937 random(seed);
  std::string text;
  for (int i = 0; i < rules; ++i) {
    text += "{\"name\":\"rule-" + std::to_string(random()) + "\",\"prefix\":\"/" +
            std::to_string(random()) + "/\",\"timeout_s\":0." + std::to_string(random() % 90) +
            "},";
  }
  return text;
}

BOOST_AUTO_TEST_SUITE(config_packing)

BOOST_AUTO_TEST_CASE(small_change_to_a_large_config_packs_small)
{
  // When configurations were always sent completely, the transfers saturated the link between
  // regions and a version took effect too late. A small change must therefore cost few bytes.
  const std::string one = make_text(1, 2000);
  std::string two = one;
  two.replace(two.size() / 3, 40, "something else altogether");
  two.insert(two.size() / 2, make_text(2, 3));
  config_history sender;
  config_history receiver;
  sender.add(3, one);
  receiver.add(3, one);
  sender.add(8, two);
  const packed_config& packed = sender.pack(receiver.version());
  BOOST_TEST(packed.base == 3U);
  BOOST_TEST(packed.bytes.size() < 1000U);
  BOOST_TEST(sender.pack(0).bytes.size() > 10'000U);
  BOOST_TEST((value_of([&] { return receiver.unpack(packed); }) == two));
}

BOOST_AUTO_TEST_CASE(receiver_whose_base_was_dropped_gets_the_complete_text)
{
  config_history sender;
  config_history receiver;
  receiver.add(1, "old");
  for (std::uint64_t version = 1; version <= 40; ++version) {
    sender.add(version, make_text(static_cast<unsigned>(version), 5));
  }
  const packed_config& packed = sender.pack(receiver.version());
  BOOST_TEST(packed.base == 0U);
  BOOST_TEST((value_of([&] { return receiver.unpack(packed); }) == make_text(40, 5)));
}

BOOST_AUTO_TEST_CASE(damaged_or_mismatched_packed_config_is_rejected)
{
  const std::string one = make_text(1, 50);
  const std::string two = one + make_text(2, 2);
  config_history sender;
  sender.add(1, one);
  sender.add(2, two);
  config_history receiver;
  BOOST_TEST((error_of<packing_error>([&] { return receiver.unpack(sender.pack(1)); })->fault ==
              packing_fault::unknown_base));
  receiver.add(1, make_text(7, 50)); // The same version number with another text.
  BOOST_TEST((error_of<packing_error>([&] { return receiver.unpack(sender.pack(1)); })->fault ==
              packing_fault::damaged));
  // Random damage must be detected, or leave the text as it was.
  std::mt19937 random(20261204);
  config_history good;
  good.add(1, one);
  for (int i = 0; i < 3000; ++i) {
    packed_config packed = sender.pack(i % 2 == 0 ? 1 : 0);
    packed.bytes.resize(random() % (packed.bytes.size() + 1));
    if (!packed.bytes.empty()) {
      packed.bytes[random() % packed.bytes.size()] ^= static_cast<char>(1 + random() % 255);
    }
    const auto text = value_of([&] { return good.unpack(packed); });
    BOOST_TEST((!text || text == two));
  }
}

BOOST_AUTO_TEST_SUITE_END()
