// Tests of idempotency keys: the decision whether a home may run a key, and the table of keys.
#include "request/request.h"

#include <boost/test/unit_test.hpp>

using namespace shallotfield;

/** When the processes of the nodes started. */
static constexpr unix_ms START = 1'700'000'000'000;
/** Keys are stored for 10 minutes. Every node knows of a change of the members after 5 s. */
static constexpr key_limits LIMITS{ 600'000, 5000 };

/** Makes a UUID of version 7 with a creation time, and with a number that tells such keys apart. */
static std::string
make_key(unix_ms at, int number = 1)
{
  char text[40];
  std::snprintf(text,
                sizeof text,
                "%08x-%04x-7000-8000-%012x",
                static_cast<unsigned>(at >> 16),
                static_cast<unsigned>(at & 0xffff),
                static_cast<unsigned>(number));
  return text;
}

/** Makes a node with a ready server. */
static member_record
make_node(const node_id& id)
{
  member_record record;
  record.id = id;
  record.incarnation = START;
  record.state = member_state::alive;
  record.server = { "ordering", 2, server_state::ready };
  return record;
}

/** Makes a key that was created at the time `at` and for which key_rank ranks the nodes in the
 * given order, highest rank first. */
static std::string
make_key_ranking(unix_ms at, const std::vector<node_id>& order)
{
  for (int number = 0;; ++number) {
    const std::string key = make_key(at, number);
    bool is_as_ordered = true;
    for (std::size_t i = 1; i < order.size(); ++i) {
      is_as_ordered = is_as_ordered && key_rank(key, order[i - 1]) > key_rank(key, order[i]);
    }
    if (is_as_ordered) {
      return key;
    }
  }
}

/** Formats a permission: `allowed`, `consult` with the nodes that must confirm, or the reason. */
static std::string
to_text(const key_permission& permission)
{
  if (std::holds_alternative<key_allowed>(permission)) {
    return "allowed";
  }
  if (const auto* confirmation = std::get_if<key_confirmation_needed>(&permission)) {
    std::string text = "consult";
    for (const node_id& id : confirmation->former) {
      text += " " + id;
    }
    return text;
  }
  return std::string(enum_name(std::get<key_denied>(permission).reason));
}

BOOST_AUTO_TEST_SUITE(key_permissions)

BOOST_AUTO_TEST_CASE(creation_time_is_read_from_uuid_version_7_only)
{
  BOOST_TEST(key_created_at(make_key(START)).value_or(0) == START);
  BOOST_TEST(!key_created_at("").has_value());
  BOOST_TEST(!key_created_at("order-17").has_value());
  BOOST_TEST(!key_created_at("5f0c7a70-1d2b-4b1e-9d0e-000000000001").has_value());
}

BOOST_AUTO_TEST_CASE(permission_depends_on_membership_and_key_age)
{
  // Long enough after the start that every node knows of all servers.
  const unix_ms now = START + 1'000'000;
  struct row
  {
    std::string name;
    std::vector<node_id> ranking;            ///< Nodes in the order of their rank for the key.
    unix_ms created_at;                      ///< When the key was created.
    std::function<void(membership&)> change; ///< Earlier change of the members.
    std::string expected;                    ///< Permission of node a; see to_text.
    bool has_lease = true;
  };
  const auto nothing = [](membership&) {};
  const auto set_server = [](const node_id& id, server_state state, unix_ms at) {
    return [=](membership& members) {
      member_record record = members.records().at(id);
      ++record.sequence;
      record.server.state = state;
      members.merge(record, { 0, at });
    };
  };
  const std::vector<row> rows = {
    { "home by rank", { "a", "b", "c" }, now, nothing, "allowed" },
    { "not the home", { "b", "a", "c" }, now, nothing, "key_moved" },
    { "cut off and without a lease", { "a", "b", "c" }, now, nothing, "stale", false },
    // Keys expire at an age of `window_ms` minus CLOCK_SKEW_MAX_MS.
    { "too old", { "a", "b", "c" }, now - 599'000, nothing, "key_expired" },
    { "in the future", { "a", "b", "c" }, now + 5000, nothing, "key_malformed" },
    { "home drained just now",
      { "b", "a", "c" },
      now,
      set_server("b", server_state::draining, now - 1000),
      "consult b" },
    { "home drained long before",
      { "b", "a", "c" },
      now,
      set_server("b", server_state::draining, now - 9000),
      "allowed" },
    { "server with a lower rank drained just now",
      { "a", "b", "c" },
      now,
      set_server("b", server_state::draining, now - 1000),
      "allowed" },
    { "home gone just now",
      { "b", "a", "c" },
      now,
      [&](membership& m) {
        m.mark_gone("b", { 0, now - 1000 });
      },
      "key_unresolved" },
    { "home gone long before",
      { "b", "a", "c" },
      now,
      [&](membership& m) {
        m.mark_gone("b", { 0, now - 9000 });
      },
      "allowed" },
    { "this node was declared gone",
      { "a", "b", "c" },
      now,
      [&](membership& m) {
        member_record self = m.own();
        self.state = member_state::gone;
        m.merge(self, { 0, now - 1000 });
      },
      "consult b c" },
  };
  for (const row& item : rows) {
    membership members(make_node("a"), { 0, START });
    members.merge(make_node("b"), { 0, START });
    members.merge(make_node("c"), { 0, START });
    item.change(members);
    const std::string key = make_key_ranking(item.created_at, item.ranking);
    BOOST_TEST_CONTEXT(item.name)
    {
      BOOST_TEST(to_text(decide_key(
                   *members.build_view(), "a", "ordering", key, {}, item.has_lease, now, LIMITS)) ==
                 item.expected);
    }
  }
}

BOOST_AUTO_TEST_CASE(key_older_than_the_process_is_unresolved)
{
  membership members(make_node("a"), { 0, START });
  const std::string key = make_key(START + CLOCK_SKEW_MAX_MS);
  BOOST_TEST(to_text(decide_key(
               *members.build_view(), "a", "ordering", key, {}, true, START + 3000, LIMITS)) ==
             "key_unresolved");
}

BOOST_AUTO_TEST_CASE(blocked_servers_are_not_homes_of_keys)
{
  const unix_ms now = START + 1'000'000;
  membership members(make_node("a"), { 0, START });
  members.merge(make_node("b"), { 0, START });
  const member_view_ptr view = members.build_view();
  const std::string key = make_key_ranking(now, { "b", "a" });
  BOOST_TEST(to_text(decide_key(*view, "a", "ordering", key, { "b" }, true, now, LIMITS)) ==
             "consult b");
  BOOST_TEST(to_text(decide_key(*view, "a", "ordering", key, { "a" }, true, now, LIMITS)) ==
             "blocked");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(key_tables)

BOOST_AUTO_TEST_CASE(requests_with_the_same_key_get_the_first_response)
{
  key_table table(1000);
  BOOST_TEST(std::holds_alternative<key_new>(table.handle_arrival("k", "f", 1, 0)));
  BOOST_TEST(std::holds_alternative<key_joined>(table.handle_arrival("k", "f", 2, 0)));
  BOOST_TEST(enum_name(std::get<key_denied>(table.handle_arrival("k", "other", 3, 0)).reason) ==
             "key_reused");
  BOOST_TEST((table.record_completion("k", { { 201, {} }, "body" }) == std::vector<ticket>{ 2 }));
  const key_lookup repeated = table.handle_arrival("k", "f", 4, 0);
  BOOST_TEST(std::get<key_replay>(repeated).response.body == "body");
  BOOST_TEST(enum_name(table.query("k", 0)) == "seen");
}

BOOST_AUTO_TEST_CASE(released_key_may_run_again_and_unresolved_key_may_not)
{
  key_table table(1000);
  table.handle_arrival("k", "f", 1, 0);
  table.release("k");
  BOOST_TEST(std::holds_alternative<key_new>(table.handle_arrival("k", "f", 2, 0)));
  table.mark_unresolved("k");
  BOOST_TEST(enum_name(std::get<key_denied>(table.handle_arrival("k", "f", 3, 0)).reason) ==
             "key_unresolved");
}

BOOST_AUTO_TEST_CASE(barred_key_never_runs)
{
  key_table table(1000);
  BOOST_TEST(enum_name(table.query("k", 0)) == "barred");
  BOOST_TEST(enum_name(std::get<key_denied>(table.handle_arrival("k", "f", 1, 0)).reason) ==
             "key_moved");
  BOOST_TEST(enum_name(table.query("k", 0)) == "barred");
  table.handle_arrival("running", "f", 2, 0);
  BOOST_TEST(enum_name(table.query("running", 0)) == "seen");
}

BOOST_AUTO_TEST_CASE(key_of_a_response_too_large_to_cache_is_unresolved)
{
  key_table table(1000);
  table.handle_arrival("k", "f", 1, 0);
  table.record_completion("k", { { 200, {} }, std::string(CACHED_RESPONSE_BYTES_MAX + 1, 'x') });
  BOOST_TEST(enum_name(std::get<key_denied>(table.handle_arrival("k", "f", 2, 0)).reason) ==
             "key_unresolved");
}

BOOST_AUTO_TEST_CASE(expired_keys_are_dropped_unless_under_way)
{
  key_table table(1000);
  table.handle_arrival("old", "f", 1, 0);
  table.record_completion("old", {});
  table.handle_arrival("running", "f", 2, 1);
  table.handle_arrival("new", "f", 3, 900);
  table.drop_expired(1002);
  BOOST_TEST(table.size() == 2U);
  table.mark_unresolved("running");
  table.drop_expired(1002);
  BOOST_TEST(table.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
