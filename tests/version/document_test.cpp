// Tests of parsing and validating documents, and of the field that an error names.
#include "fakes/expect.h"
#include "version/version.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace shallotfield;
using nlohmann::json;

static json
valid_document()
{
  return json::parse(R"({
    "services": { "catalogue": { "timeout_ms": 500 }, "templates": { "class": "bulk" } },
    "routes": {
      "lookup": { "path_prefix": "/catalogue", "methods": ["GET"],
                  "targets": [ { "service": "catalogue", "weight": 3 } ] },
      "pull": { "path_prefix": "/templates", "priority": 2,
                "targets": [ { "service": "templates" } ] } },
    "blocked_servers": { "west-a-1": "disk" } })");
}

BOOST_AUTO_TEST_SUITE(documents)

BOOST_AUTO_TEST_CASE(valid_document_is_parsed)
{
  const auto parsed = value_of([] { return parse_document(valid_document()); });
  BOOST_REQUIRE(parsed.has_value());
  BOOST_TEST(parsed->services.at("catalogue").timeout_ms == 500);
  BOOST_TEST(enum_name(parsed->services.at("templates").kind) == "bulk");
  BOOST_TEST(parsed->routes.at("lookup").targets[0].weight == 3);
  BOOST_TEST(parsed->blocked_servers.size() == 1U);
}

BOOST_AUTO_TEST_CASE(each_fault_reports_its_field)
{
  struct row
  {
    std::string pointer;
    json value;
    std::string field; ///< Field that the error reports; empty: the one that `pointer` refers to.
    document_fault fault;
  };
  const std::vector<row> rows = {
    { "/routes/lookup/targets/0/service", "nowhere", "", document_fault::unknown_service },
    { "/routes/lookup/targets/0/service", 7, "", document_fault::wrong_type },
    { "/routes/lookup/targets/0/weight", -1, "", document_fault::out_of_range },
    { "/routes/lookup/targets/0/weight", 0, "/routes/lookup/targets", document_fault::no_weight },
    { "/routes/lookup/targets/0/share", 1, "", document_fault::unknown_field },
    { "/routes/lookup/targets", json::array(), "", document_fault::no_weight },
    { "/routes/lookup/targets", 7, "", document_fault::wrong_type },
    { "/routes/lookup/path_prefix", "catalogue", "", document_fault::bad_value },
    { "/routes/lookup/path_prefix", "", "", document_fault::bad_value },
    { "/routes/lookup/methods", { "get" }, "/routes/lookup/methods/0", document_fault::bad_value },
    { "/routes/lookup/idempotent", "perhaps", "", document_fault::bad_value },
    { "/routes/lookup/header",
      { { "value", "x" } },
      "/routes/lookup/header/name",
      document_fault::bad_name },
    { "/routes/lookup/priority", 1.5, "", document_fault::wrong_type },
    { "/routes/lookup/extra", 1, "", document_fault::unknown_field },
    { "/routes/Bad Name", json::object(), "", document_fault::bad_name },
    { "/services/catalogue/timeout_ms", 0, "", document_fault::out_of_range },
    { "/services/catalogue/timeout_ms", UINT64_MAX, "", document_fault::out_of_range },
    { "/services/catalogue/class", "slow", "", document_fault::bad_value },
    { "/services/catalogue", 7, "", document_fault::wrong_type },
    { "/services", 7, "", document_fault::wrong_type },
    { "/blocked_servers/west-a-1", 7, "", document_fault::wrong_type },
    { "/more", 7, "", document_fault::unknown_field },
    { "/routes/pull",
      { { "path_prefix", "/catalogue" },
        { "methods", { "GET" } },
        { "targets", { { { "service", "catalogue" } } } } },
      "/routes/pull",
      document_fault::ambiguous_route },
  };
  for (const row& item : rows) {
    json value = valid_document();
    value[json::json_pointer(item.pointer)] = item.value;
    const auto error = error_of<document_error>([&] { return parse_document(value); });
    BOOST_REQUIRE_MESSAGE(error.has_value(), item.pointer + " " + item.value.dump());
    BOOST_TEST(error->field == (item.field.empty() ? item.pointer : item.field));
    BOOST_TEST(enum_name(error->fault) == enum_name(item.fault));
  }
}

BOOST_AUTO_TEST_CASE(size_and_depth_are_checked_before_the_value_is_built)
{
  const auto deep =
    error_of<document_error>([] { return parse_bounded_json(std::string(100'000, '[')); });
  BOOST_REQUIRE(deep.has_value());
  BOOST_TEST(enum_name(deep->fault) == "too_deep");
  const auto large = error_of<document_error>(
    [] { return parse_bounded_json("\"" + std::string(5 << 20, 'x') + "\""); });
  BOOST_REQUIRE(large.has_value());
  BOOST_TEST(enum_name(large->fault) == "too_large");
}

BOOST_AUTO_TEST_CASE(mutated_documents_are_valid_or_give_a_document_error)
{
  // The seed is fixed, so that every run tests the same documents.
  std::mt19937_64 random(20261204);
  const std::string good = valid_document().dump();
  for (int i = 0; i < 20'000; ++i) {
    std::string text = good;
    const int changes = 1 + static_cast<int>(random() % 4);
    for (int k = 0; k < changes; ++k) {
      const std::size_t at = random() % text.size();
      switch (random() % 3) {
        case 0:
          text[at] = static_cast<char>(random() & 0xffU);
          break;
        case 1:
          text.erase(at, 1 + random() % 8);
          break;
        default:
          text.insert(at, text.substr(random() % text.size(), random() % 8));
          break;
      }
      if (text.empty()) {
        break;
      }
    }
    const auto read = [&]() -> boost::leaf::result<document> {
      BOOST_LEAF_AUTO(value, parse_bounded_json(text));
      return parse_document(value);
    };
    const bool is_valid = value_of(read).has_value();
    const bool has_document_error = error_of<document_error>(read).has_value();
    BOOST_REQUIRE(is_valid != has_document_error);
  }
}

BOOST_AUTO_TEST_SUITE_END()
