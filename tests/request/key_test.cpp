// Tests of request keys: homes, permissions and the key book.
#include "request/request.h"

#include <boost/test/unit_test.hpp>

using namespace shallotfield;

static constexpr unix_ms START = 1'700'000'000'000;
static constexpr key_limits LIMITS{ 600'000, 5000 };

/** Makes a UUID of version 7 with a time. */
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

/** A node with a ready server. */
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

/** A key with a time whose ranking among nodes is as given, best first. */
static std::string
key_ranked(unix_ms at, const std::vector<node_id>& order)
{
  for (int number = 0;; ++number) {
    const std::string key = make_key(at, number);
    bool is_right = true;
    for (std::size_t i = 1; i < order.size(); ++i) {
      is_right = is_right && key_rank(key, order[i - 1]) > key_rank(key, order[i]);
    }
    if (is_right) {
      return key;
    }
  }
}

/** Writes a permission as text. */
static std::string
show(const key_permission& permission)
{
  if (std::holds_alternative<key_allowed>(permission)) {
    return "allowed";
  }
  if (const auto* consult = std::get_if<key_consult>(&permission)) {
    std::string text = "consult";
    for (const node_id& id : consult->former) {
      text += " " + id;
    }
    return text;
  }
  return std::string(enum_name(std::get<key_denied>(permission).reason));
}

BOOST_AUTO_TEST_SUITE(key_permissions)

BOOST_AUTO_TEST_CASE(the_time_in_a_key)
{
  BOOST_TEST(key_time(make_key(START)).value_or(0) == START);
  BOOST_TEST(!key_time("").has_value());
  BOOST_TEST(!key_time("order-17").has_value());
  BOOST_TEST(!key_time("5f0c7a70-1d2b-4b1e-9d0e-000000000001").has_value());
}

BOOST_AUTO_TEST_CASE(cases)
{
  const unix_ms later = START + 1'000'000;
  struct row
  {
    std::string name;
    std::vector<node_id> rank;
    unix_ms made_at;
    std::function<void(membership&)> change;
    std::string expected;
    bool in_touch = true;
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
    { "home by rank", { "a", "b", "c" }, later, nothing, "allowed" },
    { "not the home", { "b", "a", "c" }, later, nothing, "key_moved" },
    { "cut off", { "a", "b", "c" }, later, nothing, "stale", false },
    { "too old", { "a", "b", "c" }, later - 599'000, nothing, "key_expired" },
    { "in the future", { "a", "b", "c" }, later + 5000, nothing, "key_malformed" },
    { "home drained just now",
      { "b", "a", "c" },
      later,
      set_server("b", server_state::draining, later - 1000),
      "consult b" },
    { "home drained long before",
      { "b", "a", "c" },
      later,
      set_server("b", server_state::draining, later - 9000),
      "allowed" },
    { "lower one drained just now",
      { "a", "b", "c" },
      later,
      set_server("b", server_state::draining, later - 1000),
      "allowed" },
    { "home gone just now",
      { "b", "a", "c" },
      later,
      [&](membership& m) {
        m.mark_gone("b", { 0, later - 1000 });
      },
      "key_unresolved" },
    { "home gone long before",
      { "b", "a", "c" },
      later,
      [&](membership& m) {
        m.mark_gone("b", { 0, later - 9000 });
      },
      "allowed" },
    { "this one was called gone",
      { "a", "b", "c" },
      later,
      [&](membership& m) {
        member_record self = m.own();
        self.state = member_state::gone;
        m.merge(self, { 0, later - 1000 });
      },
      "consult b c" },
  };
  for (const row& item : rows) {
    membership members(make_node("a"), { 0, START });
    members.merge(make_node("b"), { 0, START });
    members.merge(make_node("c"), { 0, START });
    item.change(members);
    const std::string key = key_ranked(item.made_at, item.rank);
    BOOST_TEST_CONTEXT(item.name)
    {
      BOOST_TEST(
        show(decide_key(
          *members.build_view(), "a", "ordering", key, {}, item.in_touch, later, LIMITS)) ==
        item.expected);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_key_from_before_the_process_is_unresolved)
{
  membership members(make_node("a"), { 0, START });
  const std::string key = make_key(START + CLOCK_SKEW_MAX_MS);
  BOOST_TEST(
    show(decide_key(*members.build_view(), "a", "ordering", key, {}, true, START + 3000, LIMITS)) ==
    "key_unresolved");
}

BOOST_AUTO_TEST_CASE(blocked_servers)
{
  const unix_ms later = START + 1'000'000;
  membership members(make_node("a"), { 0, START });
  members.merge(make_node("b"), { 0, START });
  const member_view_ptr view = members.build_view();
  const std::string key = key_ranked(later, { "b", "a" });
  BOOST_TEST(show(decide_key(*view, "a", "ordering", key, { "b" }, true, later, LIMITS)) ==
             "consult b");
  BOOST_TEST(show(decide_key(*view, "a", "ordering", key, { "a" }, true, later, LIMITS)) ==
             "blocked");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(key_books)

BOOST_AUTO_TEST_CASE(repeats_get_the_first_answer)
{
  key_book book(1000);
  BOOST_TEST(std::holds_alternative<key_first>(book.arrive("k", "f", 1, 0)));
  BOOST_TEST(std::holds_alternative<key_joined>(book.arrive("k", "f", 2, 0)));
  BOOST_TEST(enum_name(std::get<key_denied>(book.arrive("k", "other", 3, 0)).reason) ==
             "key_reused");
  BOOST_TEST((book.settle("k", { { 201, {} }, "body" }) == std::vector<ticket>{ 2 }));
  const key_lookup again = book.arrive("k", "f", 4, 0);
  BOOST_TEST(std::get<key_replay>(again).answer.body == "body");
  BOOST_TEST(enum_name(book.query("k", 0)) == "seen");
}

BOOST_AUTO_TEST_CASE(what_did_not_run_may_come_again_and_what_may_have_run_may_not)
{
  key_book book(1000);
  book.arrive("k", "f", 1, 0);
  book.forget("k");
  BOOST_TEST(std::holds_alternative<key_first>(book.arrive("k", "f", 2, 0)));
  book.lose("k");
  BOOST_TEST(enum_name(std::get<key_denied>(book.arrive("k", "f", 3, 0)).reason) ==
             "key_unresolved");
}

BOOST_AUTO_TEST_CASE(a_promise_not_to_run_holds)
{
  key_book book(1000);
  BOOST_TEST(enum_name(book.query("k", 0)) == "barred");
  BOOST_TEST(enum_name(std::get<key_denied>(book.arrive("k", "f", 1, 0)).reason) == "key_moved");
  BOOST_TEST(enum_name(book.query("k", 0)) == "barred");
  book.arrive("running", "f", 2, 0);
  BOOST_TEST(enum_name(book.query("running", 0)) == "seen");
}

BOOST_AUTO_TEST_CASE(large_answers_are_not_kept_but_remembered)
{
  key_book book(1000);
  book.arrive("k", "f", 1, 0);
  book.settle("k", { { 200, {} }, std::string(KEPT_ANSWER_BYTES_MAX + 1, 'x') });
  BOOST_TEST(enum_name(std::get<key_denied>(book.arrive("k", "f", 2, 0)).reason) ==
             "key_unresolved");
}

BOOST_AUTO_TEST_CASE(old_keys_are_dropped_and_running_ones_kept)
{
  key_book book(1000);
  book.arrive("old", "f", 1, 0);
  book.settle("old", {});
  book.arrive("running", "f", 2, 1);
  book.arrive("new", "f", 3, 900);
  book.drop_old(1002);
  BOOST_TEST(book.size() == 2U);
  book.lose("running");
  book.drop_old(1002);
  BOOST_TEST(book.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
