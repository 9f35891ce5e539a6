// Tests of parsing and validating settings files.
#include "fakes/expect.h"
#include "process/process.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace shallotfield;
using nlohmann::json;

/** A valid settings file with the required settings only. */
static json
minimal_settings()
{
  return { { "node_id", "west-a-1" },
           { "region", "west" },
           { "zone", "west-a" },
           { "host", "127.0.0.1" },
           { "log_url", "http://127.0.0.1:1" },
           { "operators_token", "t" } };
}

BOOST_AUTO_TEST_SUITE(settings_file)

BOOST_AUTO_TEST_CASE(absent_settings_get_their_defaults)
{
  const auto parsed = value_of([] { return parse_settings(minimal_settings().dump()); });
  BOOST_REQUIRE(parsed.has_value());
  BOOST_TEST(parsed->heartbeat_ms == 1000);
  BOOST_TEST(parsed->seeds.empty());
}

BOOST_AUTO_TEST_CASE(each_fault_reports_its_key)
{
  struct row
  {
    std::string key;
    json value;
    setting_fault fault;
  };
  const std::vector<row> rows = {
    { "heartbeat", 5, setting_fault::unknown_key },
    { "heartbeat_ms", "5", setting_fault::wrong_type },
    { "heartbeat_ms", 5.5, setting_fault::wrong_type },
    { "heartbeat_ms", 1, setting_fault::out_of_range },
    { "heartbeat_ms", UINT64_MAX, setting_fault::out_of_range },
    { "callers_port", 65536, setting_fault::out_of_range },
    { "node_id", 5, setting_fault::wrong_type },
    { "node_id", "", setting_fault::bad_value },
    { "node_id", nullptr, setting_fault::wrong_type },
    { "host", "no.number", setting_fault::bad_value },
    { "log_url", "ftp://127.0.0.1", setting_fault::bad_value },
    { "seeds", "127.0.0.1:1", setting_fault::wrong_type },
    { "seeds", { "127.0.0.1" }, setting_fault::bad_value },
    { "seeds", { "127.0.0.1:0" }, setting_fault::bad_value },
    { "seeds", { 7 }, setting_fault::wrong_type },
  };
  for (const row& item : rows) {
    json file = minimal_settings();
    file[item.key] = item.value;
    const auto error = error_of<setting_error>([&] { return parse_settings(file.dump()); });
    BOOST_REQUIRE_MESSAGE(error.has_value(), item.key + " " + item.value.dump());
    BOOST_TEST(error->key == item.key);
    BOOST_TEST(enum_name(error->fault) == enum_name(item.fault));
  }
}

BOOST_AUTO_TEST_CASE(every_text_setting_is_required)
{
  const json all = minimal_settings();
  for (const auto& [key, value] : all.items()) {
    json file = all;
    file.erase(key);
    const auto error = error_of<setting_error>([&] { return parse_settings(file.dump()); });
    BOOST_REQUIRE(error.has_value());
    BOOST_TEST((*error == setting_error{ key, setting_fault::missing }));
  }
}

BOOST_AUTO_TEST_CASE(rejects_unreadable_and_non_object_files)
{
  for (const std::string text : { "", "[]", "{", "null", "\"x\"" }) {
    const auto error = error_of<setting_error>([&] { return parse_settings(text); });
    BOOST_REQUIRE(error.has_value());
    BOOST_TEST((*error == setting_error{ "", setting_fault::not_json }));
  }
  const auto error = error_of<setting_error>([] { return read_settings("/nonexistent/file"); });
  BOOST_REQUIRE(error.has_value());
  BOOST_TEST(enum_name(error->fault) == "unreadable");
}

BOOST_AUTO_TEST_SUITE_END()
