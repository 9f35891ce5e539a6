// Tests of the platform adapter: formats, headers and rejection of invalid input.
#include "fakes/broken_responses.h"
#include "fakes/expect.h"
#include "fakes/fake_server.h"
#include "platform/platform.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace shallotfield;
using namespace shallotfield::platform;
using nlohmann::json;

/** Body of a valid heartbeat. */
static json
heartbeat_body()
{
  return { { "service", "shop" },
           { "address", "10.0.0.9:80" },
           { "zone", "z" },
           { "version", "v1" },
           { "slots", 18 },
           { "state", "ready" },
           { "cold_remaining_s", 1.5 },
           { "seq", 4 },
           { "born", 1000 } };
}

static const request_head HEARTBEAT{ "POST", "/v1/instances/i-7/heartbeat", {} };

BOOST_AUTO_TEST_SUITE(platform_announcements)

BOOST_AUTO_TEST_CASE(heartbeats_are_parsed)
{
  const announcement read = parse_announcement(HEARTBEAT, heartbeat_body().dump());
  const auto& heartbeat = std::get<server_heartbeat>(read);
  BOOST_TEST(heartbeat.instance == "i-7");
  BOOST_TEST(heartbeat.slots == 18U);
  BOOST_TEST(heartbeat.cold_ms == 1500);
  BOOST_TEST(heartbeat.instance_started_at.value() == 1000);
}

BOOST_AUTO_TEST_CASE(heartbeats_with_invalid_fields_are_rejected)
{
  const std::vector<std::pair<std::string, json>> rows = {
    { "service", nullptr },   { "service", 3 },
    { "address", "nowhere" }, { "slots", -1 },
    { "slots", 0 },           { "slots", "18" },
    { "state", "sleeping" },  { "state", nullptr },
    { "seq", 1.5 },           { "cold_remaining_s", -1 },
    { "born", 1.5 },          { "born", "x" },
  };
  for (const auto& [key, value] : rows) {
    json body = heartbeat_body();
    body[key] = value;
    const announcement read = parse_announcement(HEARTBEAT, body.dump());
    BOOST_TEST((std::get<announcement_fault>(read) == announcement_fault::bad_field), key);
    body.erase(key);
    if (key != "born" && key != "cold_remaining_s") {
      BOOST_TEST(
        std::holds_alternative<announcement_fault>(parse_announcement(HEARTBEAT, body.dump())),
        key);
    }
  }
  for (const std::string body : { "", "[]", "{", "\xff\xfe" }) {
    BOOST_TEST((std::get<announcement_fault>(parse_announcement(HEARTBEAT, body)) ==
                announcement_fault::not_json));
  }
}

BOOST_AUTO_TEST_CASE(deregistrations_and_readiness_checks_are_told_from_unknown_calls)
{
  BOOST_TEST(std::get<server_deregistration>(
               parse_announcement({ "POST", "/v1/instances/i-7/deregister", {} }, ""))
               .instance == "i-7");
  for (const std::string target : { "/v1/instances//heartbeat", "/v1/instances/i-7", "/x" }) {
    BOOST_TEST((std::get<announcement_fault>(parse_announcement({ "POST", target, {} }, "{}")) ==
                announcement_fault::unknown_call));
  }
  BOOST_TEST(is_readiness_request({ "GET", "/v1/ready", {} }));
  BOOST_TEST(!is_readiness_request({ "GET", "/v1/readyish", {} }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(platform_requests)

BOOST_AUTO_TEST_CASE(server_fields_replace_headers_sent_by_the_caller)
{
  request_head head{ "GET",
                     "/",
                     { { "X-Shallotfield-Request-Id", "r1" },
                       { "x-shallotfield-deadline-ms", "2000" },
                       { "X-Shallotfield-Caller-Service", "forged" } } };
  const caller_fields fields = read_caller_fields(head);
  BOOST_TEST(fields.request_id == "r1");
  BOOST_TEST(fields.wait_ms.value() == 2000);
  write_server_fields(head, { 700, "i-7", "shop", "" });
  BOOST_TEST(*find_header(head.headers, "X-Shallotfield-Deadline-Ms") == "700");
  BOOST_TEST(*find_header(head.headers, "X-Shallotfield-Caller-Service") == "shop");
  BOOST_TEST(*find_header(head.headers, "X-Shallotfield-Expected-Instance") == "i-7");
  BOOST_TEST(head.headers.size() == 4U);
}

BOOST_AUTO_TEST_CASE(responses_are_classified_by_status_and_headers)
{
  const http_header id{ "X-Shallotfield-Request-Id", "r1" };
  const http_header other{ "X-Shallotfield-Request-Id", "r2" };
  const http_header signature{ "X-Shallotfield-Response-Signature", "s" };
  const http_header refused{ "X-Shallotfield-Not-Executed", "1" };
  struct row
  {
    response_head head;
    response_verdict verdict;
  };
  const std::vector<row> rows = {
    { { 200, { id, signature } }, response_verdict::valid },
    { { 500, { id } }, response_verdict::valid },
    { { 200, { other, signature } }, response_verdict::mismatched },
    { { 503, { id, refused } }, response_verdict::not_run },
    { { 503, { refused } }, response_verdict::not_run },
    { { 421, { id } }, response_verdict::not_run },
    { { 503, { id } }, response_verdict::invalid },
    { { 429, { id } }, response_verdict::invalid },
    { { 200, { id } }, response_verdict::invalid },
    { { 200, { signature } }, response_verdict::invalid },
    { { 200, { id, signature, { "Content-Encoding", "gzip" } } }, response_verdict::invalid },
  };
  for (const row& item : rows) {
    BOOST_TEST((classify_response(item.head, "r1") == item.verdict), item.head.status);
  }
}

BOOST_AUTO_TEST_CASE(retry_after_is_written_in_seconds)
{
  const auto headers = error_response_headers("r1", 1050);
  BOOST_TEST(*find_header(headers, "Retry-After") == "1.050");
  BOOST_TEST(find_header(error_response_headers("", 0), "Retry-After") == nullptr);
}

BOOST_AUTO_TEST_CASE(key_of_an_account_is_read_and_replaced_by_the_account)
{
  request_head head{
    "GET", "/", { { "authorization", "token k-1" }, { "x-shallotfield-tenant-id", "other" } }
  };
  BOOST_TEST(read_caller_fields(head).account_key.value() == "k-1");
  remove_account_fields(head);
  BOOST_TEST(head.headers.empty());
  write_server_fields(head, { 5, "", "caller", "till" });
  BOOST_TEST(*find_header(head.headers, "X-Shallotfield-Tenant-Id") == "till");
  head.headers = { { "Authorization", "Basic abc" } };
  BOOST_TEST(read_caller_fields(head).account_key.value().empty());
  BOOST_TEST(!read_caller_fields({ "GET", "/", {} }).account_key);
}

BOOST_AUTO_TEST_SUITE_END()

/** A valid configuration in the operator's format. */
static json
configuration()
{
  return json::parse(R"({"version":7,
    "limits":{"max_header_bytes":16384,"max_body_bytes":1000,"header_timeout_s":3,"idle_timeout_s":15},
    "base_version":5,"unknown":{"a":1},
    "listeners":[{"host":"h.example","rules":[
      {"name":"r1","kind":"unsafe","target_latency_s":0.4,"priority":1,
       "match":{"prefix":"/a/b/"},"action":{"service":"s1","timeout_s":1,"max_attempts":2}},
      {"name":"r2","kind":"safe","target_latency_s":0.3,"priority":2,
       "match":{"prefix":"/a/"},"action":{"traffic_split":[{"service":"s1","weight":90},
         {"service":"s2","weight":10}],"timeout_s":0.8,"max_attempts":3}}]}],
    "clusters":[{"name":"s1","health_check_path":"/healthz"},{"name":"s2"}]})");
}

/** Returns the field that makes a configuration invalid, or "none". */
static std::string
invalid_field_of(const json& from)
{
  const auto error =
    error_of<configuration_error>([&] { return parse_configuration(from.dump()); });
  return error ? error->field : "none";
}

BOOST_AUTO_TEST_SUITE(platform_configuration)

BOOST_AUTO_TEST_CASE(parsed_configuration_routes_by_longest_prefix)
{
  auto document = value_of([] { return parse_configuration(configuration().dump()); });
  BOOST_REQUIRE(document.has_value());
  BOOST_TEST(document->limits.body_bytes_max == 1000);
  const route_table table(std::move(*document));
  BOOST_TEST(table.version() == 7U);
  const route_rule* rule = table.find("H.example:80", "/a/b/c?x=/a/");
  BOOST_REQUIRE(rule != nullptr);
  BOOST_TEST(rule->name == "r1");
  BOOST_TEST((rule->kind == request_kind::at_most_once));
  BOOST_TEST(rule->objective_ms == 400);
  BOOST_TEST(table.find("h.example", "/a/x")->targets.size() == 2U);
  BOOST_TEST(table.find("h.example", "/a") == nullptr);
  BOOST_TEST(table.find("other", "/a/x") == nullptr);
  BOOST_TEST(table.find_service("s1")->health_path == "/healthz");
}

BOOST_AUTO_TEST_CASE(one_invalid_field_rejects_the_whole_configuration)
{
  const std::vector<std::tuple<std::string, json, std::string>> rows = {
    { "/version", "x", "version" },
    { "/limits", 3, "limits" },
    { "/limits/max_body_bytes", -1, "max_body_bytes" },
    { "/listeners", json::object(), "listeners" },
    { "/listeners/0/host", "", "host" },
    { "/listeners/0/rules/0/kind", "odd", "kind" },
    { "/listeners/0/rules/0/match/prefix", "a", "prefix" },
    { "/listeners/0/rules/0/action/service", "missing", "service" },
    { "/listeners/0/rules/0/action/timeout_s", -2, "timeout_s" },
    { "/listeners/0/rules/0/action/max_attempts", 0, "max_attempts" },
    { "/listeners/0/rules/1/action/traffic_split", json::array(), "weight" },
    { "/clusters", nullptr, "clusters" },
  };
  for (const auto& [pointer, value, field] : rows) {
    json changed = configuration();
    changed[json::json_pointer(pointer)] = value;
    BOOST_TEST(invalid_field_of(changed) == field, pointer);
  }
  BOOST_TEST(invalid_field_of(configuration()) == "none");
}

BOOST_AUTO_TEST_CASE(error_names_the_place_of_the_field)
{
  json changed = configuration();
  changed["listeners"][0]["rules"][1]["kind"] = "odd";
  const auto error =
    error_of<configuration_error>([&] { return parse_configuration(changed.dump()); });
  BOOST_REQUIRE(error.has_value());
  BOOST_TEST(error->place == "/listeners/0/rules/1");
  BOOST_TEST(error->field == "kind");
}

BOOST_AUTO_TEST_CASE(client_accounts_are_parsed)
{
  json from = configuration();
  from["tenants"] = { { { "name", "till" },
                        { "api_keys", { "k1", "k2" } },
                        { "priority", 1 },
                        { "rate_per_s", 35.5 },
                        { "burst", 20 } },
                      { { "name", "office" }, { "api_keys", json::array() } } };
  from["listeners"][0]["rules"][0]["allow_anonymous"] = true;
  from["listeners"][0]["rules"][0]["kind"] = "upload";
  auto document = value_of([&] { return parse_configuration(from.dump()); });
  BOOST_REQUIRE(document.has_value());
  BOOST_TEST(document->rules[0].allows_anonymous);
  BOOST_TEST((document->rules[0].kind == request_kind::upload));
  BOOST_TEST(!is_idempotent(document->rules[0].kind));
  const route_table table(std::move(*document));
  BOOST_REQUIRE(table.has_accounts());
  const client_account* till = table.find_account("k2");
  BOOST_REQUIRE(till != nullptr);
  BOOST_TEST((*till == client_account{ "till", { "k1", "k2" }, 1, 35.5, 20 }));
  BOOST_TEST((table.find_account("k") == nullptr));
  BOOST_TEST((table.find_account("") == nullptr));
}

BOOST_AUTO_TEST_CASE(invalid_accounts_reject_the_whole_configuration)
{
  const json valid = { { "name", "a" }, { "api_keys", { "k" } } };
  const std::vector<std::tuple<std::string, json, std::string>> rows = {
    { "/tenants", 3, "tenants" },
    { "/tenants/0", 3, "tenants" },
    { "/tenants/0/name", "", "name" },
    { "/tenants/0/name", std::string(70'000, 'n'), "name" },
    { "/tenants/1", valid, "name" },
    { "/tenants/1", { { "name", "b" }, { "api_keys", { "k" } } }, "api_keys" },
    { "/tenants/0/api_keys", "k", "api_keys" },
    { "/tenants/0/api_keys/0", "", "api_keys" },
    { "/tenants/0/api_keys/0", std::string(65'536, 'k'), "api_keys" },
    { "/tenants/0/api_keys", json(101, "k"), "api_keys" },
    { "/tenants", json(10'001, valid), "tenants" },
    { "/tenants/0/rate_per_s", -1, "rate_per_s" },
    { "/tenants/0/rate_per_s", 1e300, "rate_per_s" },
    { "/tenants/0/rate_per_s", "1", "rate_per_s" },
    { "/tenants/0/burst", -1, "burst" },
    { "/tenants/0/priority", -1, "priority" },
    { "/listeners/0/rules/0/allow_anonymous", 1, "allow_anonymous" },
  };
  for (const auto& [pointer, value, field] : rows) {
    json changed = configuration();
    changed["tenants"] = json::array({ valid });
    changed[json::json_pointer(pointer)] = value;
    BOOST_TEST(invalid_field_of(changed) == field, pointer);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(platform_store)

BOOST_AUTO_TEST_CASE(store_records_round_trip)
{
  const store_request call = append_request(store_topic::nodes, { "node-1", "value" });
  BOOST_TEST(call.head.target == "/v1/log-append?topic=keyed.nodes&part=0");
  // Two offsets of 8 bytes, which parse_tail() skips, and two records.
  const std::string response = std::string(15, '\0') + "\x01" + call.body + call.body;
  const store_response read = parse_tail(200, response, 10);
  const auto& tail = std::get<topic_tail>(read);
  BOOST_TEST(tail.next == 12U);
  BOOST_TEST((tail.records.at(0) == keyed_record{ "node-1", "value" }));
}

BOOST_AUTO_TEST_CASE(failed_and_malformed_store_responses_map_to_faults)
{
  BOOST_TEST(std::holds_alternative<tail_trimmed>(parse_tail(410, "", 0)));
  BOOST_TEST((std::get<store_fault>(parse_tail(503, "", 0)) == store_fault::refused));
  for (const std::string& body : { std::string("short"),
                                   std::string(17, '\0'),
                                   std::string(16, '\0') + std::string("\0\0\0\x09x", 5) }) {
    BOOST_TEST((std::get<store_fault>(parse_tail(200, body, 0)) == store_fault::malformed));
  }
  for (const std::string body : { "",
                                  "[]",
                                  R"({"items":[]})",
                                  R"({"items":3,"has_more":false,"end":1})",
                                  R"({"items":[],"has_more":0,"end":1})",
                                  R"({"items":[],"has_more":false,"end":-1})" }) {
    BOOST_TEST((std::get<store_fault>(parse_newest(200, body)) == store_fault::malformed), body);
  }
  // An invalid record is left out, and nothing else of the response; see odd_entry_test.cpp.
  const store_response tail =
    parse_tail(200, std::string(16, '\0') + std::string("\0\0\0\x01\x05", 5), 0);
  BOOST_TEST(std::get<topic_tail>(tail).records.empty());
  BOOST_TEST(std::get<topic_tail>(tail).rejected_records == 1U);
  for (const std::string item : { "3", R"({"key":"a","value":"?"})" }) {
    const store_response read =
      parse_newest(200, R"({"items":[)" + item + R"(],"has_more":false,"end":1})");
    BOOST_TEST(std::get<newest_page>(read).records.empty(), item);
    BOOST_TEST(std::get<newest_page>(read).rejected_records == 1U, item);
  }
}

BOOST_AUTO_TEST_CASE(newest_records_are_parsed_page_by_page)
{
  const store_response read = parse_newest(
    200, R"({"items":[{"key":"config","value":"e30=","offset":4}],"has_more":true,"end":6})");
  const auto& page = std::get<newest_page>(read);
  BOOST_TEST(page.records.at(0).value == "{}");
  BOOST_TEST(page.has_more);
  BOOST_TEST(page.end == 6U);
  BOOST_TEST(newest_request(store_topic::nodes, "a b").head.target ==
             "/v1/log-newest?topic=keyed.nodes&part=0&after=a%20b");
}

/** Makes one call of each kind to a store and returns the results. */
static std::vector<store_response>
call_store(const fake_server& store)
{
  static constexpr std::int64_t TIMEOUT_MS = 2000;
  store_client client({ "127.0.0.1", store.port() });
  std::vector<store_response> results;
  const auto keep = [&results](store_response result) { results.push_back(std::move(result)); };
  client.read_newest(store_topic::nodes, "", TIMEOUT_MS, keep);
  client.read_tail(store_topic::nodes, 0, 0, TIMEOUT_MS, keep);
  client.append(store_topic::nodes, { "node-1", "value" }, TIMEOUT_MS, keep);
  BOOST_TEST(run_until([&results] { return results.size() == 3; }));
  return results;
}

/** Checks that each call failed in the same way. */
static void
check_faults(const std::vector<store_response>& results, store_fault expected)
{
  for (const store_response& result : results) {
    const auto* fault = std::get_if<store_fault>(&result);
    BOOST_TEST((fault != nullptr && *fault == expected));
  }
}

// Guards against a response of the store that is not HTTP, or was cut by a reset, being taken for a
// page, for records or for the result of a call.
BOOST_AUTO_TEST_CASE(broken_store_responses_are_faults)
{
  fake_server store;
  store.behaviour = fake_response::given_then_close;
  for (const std::string& head : broken_response_heads("r")) {
    store.given_response = head + "\r\n" + R"({"items":[],"has_more":false,"end":1})";
    BOOST_TEST_CONTEXT(head)
    {
      check_faults(call_store(store), store_fault::malformed);
    }
  }
  store.behaviour = fake_response::given_then_reset;
  store.given_response = "HTTP/1.1 200 OK\r\n\r\n" + std::string(16, '\0');
  check_faults(call_store(store), store_fault::no_response);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(platform_environment)

BOOST_AUTO_TEST_CASE(bounds_are_parsed_and_invalid_ones_rejected)
{
  const auto bounds =
    parse_bounds({ "grace_s=6", "retry_budget_ratio=0.2", "retry_budget_slack=56", "new=1" });
  BOOST_REQUIRE(bounds.has_value());
  BOOST_TEST(bounds->grace_ms == 6000);
  BOOST_TEST(bounds->retry_budget_slack == 56);
  for (const std::string text :
       { "grace_s", "grace_s=", "grace_s=x", "grace_s=-1", "grace_s=nan" }) {
    BOOST_TEST(!parse_bounds({ text }).has_value(), text);
  }
}

BOOST_AUTO_TEST_SUITE_END()
