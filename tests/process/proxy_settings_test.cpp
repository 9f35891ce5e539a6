// Tests of the parser of a proxy's settings.
#include "fakes/expect.h"
#include "process/process.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace shallotfield;
using nlohmann::json;

/** Returns valid settings as the deployment template generates them, with one unknown key. */
static json
make_valid_settings()
{
  return { { "node_id", "n" },
           { "region", "r" },
           { "zone", "z" },
           { "host", "10.0.0.1" },
           { "service", "s" },
           { "server_address", "10.0.0.1:1" },
           { "callers_address", "10.0.0.1:2" },
           { "readiness_address", "10.0.0.1:3" },
           { "metrics_address", "10.0.0.1:9" },
           { "announcements_address", "10.0.0.1:4" },
           { "store_address", "10.0.0.2:5" },
           { "peers_port", 7000 },
           { "server_heartbeat_s", 1.5 },
           { "processor_share", 0.2 },
           { "memory_mb", 160 },
           { "link_mbps", 16 },
           { "is_first_start", true },
           { "bounds", { "grace_s=6" } },
           { "added_later", 1 } };
}

BOOST_AUTO_TEST_SUITE(proxy_settings_file)

BOOST_AUTO_TEST_CASE(settings_are_parsed_and_unknown_keys_ignored)
{
  const auto parsed = value_of([] { return parse_proxy_settings(make_valid_settings().dump()); });
  BOOST_REQUIRE(parsed.has_value());
  BOOST_TEST(parsed->server_heartbeat_ms == 1500);
  BOOST_TEST(parsed->peers_port == 7000);
  BOOST_TEST(parsed->processor_permille == 200U);
  BOOST_TEST(parsed->bounds.size() == 1U);
  BOOST_TEST(parsed->memory_bytes == 160U << 20U);
  BOOST_TEST(parsed->link_bytes_per_ms == 2000);
}

BOOST_AUTO_TEST_CASE(settings_of_earlier_templates_have_defaults)
{
  json earlier = make_valid_settings();
  earlier.erase("memory_mb");
  earlier["link_mbps"] = nullptr;
  const auto parsed = value_of([&] { return parse_proxy_settings(earlier.dump()); });
  BOOST_REQUIRE(parsed.has_value());
  BOOST_TEST(parsed->memory_bytes == 256U << 20U);
  BOOST_TEST(parsed->link_bytes_per_ms == 0);
  BOOST_TEST(!parsed->learns_server_limit);
}

BOOST_AUTO_TEST_CASE(each_fault_reports_its_key)
{
  const std::vector<std::tuple<std::string, json, setting_fault>> rows = {
    { "node_id", nullptr, setting_fault::missing },
    { "node_id", 3, setting_fault::wrong_type },
    { "node_id", "", setting_fault::bad_value },
    { "host", "nowhere", setting_fault::bad_value },
    { "store_address", "10.0.0.2", setting_fault::bad_value },
    { "store_address", 4, setting_fault::wrong_type },
    { "peers_port", 65535, setting_fault::out_of_range },
    { "peers_port", "7000", setting_fault::wrong_type },
    { "server_heartbeat_s", 0, setting_fault::out_of_range },
    { "server_heartbeat_s", "1", setting_fault::wrong_type },
    { "processor_share", "1", setting_fault::wrong_type },
    { "processor_share", 0, setting_fault::out_of_range },
    { "memory_mb", 0, setting_fault::out_of_range },
    { "memory_mb", "160", setting_fault::wrong_type },
    { "link_mbps", -1, setting_fault::out_of_range },
    { "link_mbps", 1e300, setting_fault::out_of_range },
    { "is_first_start", 1, setting_fault::wrong_type },
    { "bounds", 3, setting_fault::wrong_type },
    { "bounds", { 3 }, setting_fault::wrong_type },
  };
  for (const auto& [key, value, fault] : rows) {
    json changed = make_valid_settings();
    changed[key] = value;
    const auto error =
      error_of<setting_error>([&] { return parse_proxy_settings(changed.dump()); });
    BOOST_REQUIRE(error.has_value());
    BOOST_TEST(error->key == key);
    BOOST_TEST((error->fault == fault), key);
  }
  const std::string deep(100'000, '[');
  for (const std::string& text : { std::string("["), deep, std::string("{\"a\":1e400}") }) {
    BOOST_TEST((error_of<setting_error>([&] { return parse_proxy_settings(text); })->fault ==
                setting_fault::not_json));
  }
}

BOOST_AUTO_TEST_SUITE_END()
