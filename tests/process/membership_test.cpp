// Tests of the member records of a node: merging, the view of live servers, and the digest.
#include "process/process.h"

#include <boost/test/unit_test.hpp>

using namespace shallotfield;

/** Returns the record of a running node with a ready server. */
static member_record
make_record(const node_id& id, std::uint64_t incarnation, std::uint64_t sequence)
{
  member_record record;
  record.id = id;
  record.incarnation = incarnation;
  record.sequence = sequence;
  record.state = member_state::alive;
  record.region = "west";
  record.zone = "west-a";
  record.server = { "catalogue", 20, server_state::ready };
  return record;
}

BOOST_AUTO_TEST_SUITE(member_records)

BOOST_AUTO_TEST_CASE(newest_record_wins_in_any_merge_order)
{
  std::vector<member_record> updates = { make_record("b", 5, 1),
                                         make_record("b", 5, 2),
                                         make_record("b", 6, 0) };
  updates[1].state = member_state::gone;
  std::vector<std::size_t> order = { 0, 1, 2 };
  do {
    membership members(make_record("a", 1, 0), { 0, 1000 });
    for (const std::size_t i : order) {
      members.merge(updates[i], { 0, 1000 });
    }
    BOOST_TEST(members.records().at("b").incarnation == 6U);
    BOOST_TEST(enum_name(members.records().at("b").state) == "alive");
  } while (std::next_permutation(order.begin(), order.end()));
}

BOOST_AUTO_TEST_CASE(tombstone_replaces_its_record_and_yields_to_the_next_sequence)
{
  membership members(make_record("a", 1, 0), { 0, 1000 });
  members.merge(make_record("b", 5, 1), { 0, 1000 });
  BOOST_TEST(members.mark_gone("b", { 0, 2000 }).has_value());
  BOOST_TEST(!members.merge(make_record("b", 5, 1), { 0, 3000 }).has_value());
  BOOST_TEST(enum_name(members.records().at("b").state) == "gone");
  BOOST_TEST(members.merge(make_record("b", 5, 2), { 0, 4000 }).has_value());
  BOOST_TEST(enum_name(members.records().at("b").state) == "alive");
}

BOOST_AUTO_TEST_CASE(node_refutes_its_own_tombstone)
{
  membership members(make_record("a", 1, 3), { 0, 1000 });
  member_record tombstone = make_record("a", 1, 3);
  tombstone.state = member_state::gone;
  const auto refuted = members.merge(tombstone, { 0, 9000 });
  BOOST_REQUIRE(refuted.has_value());
  BOOST_TEST(refuted->sequence == 4U);
  BOOST_TEST(enum_name(refuted->state) == "alive");
  // While the node was considered dead, other servers may have run requests with the idempotency
  // keys of its server. The server therefore counts as live only since the refutation.
  BOOST_TEST(members.build_view()->services.at("catalogue").live_since.at("a") == 9000);
}

BOOST_AUTO_TEST_CASE(view_lists_live_servers_only)
{
  membership members(make_record("a", 1, 0), { 0, 1000 });
  members.merge(make_record("b", 5, 1), { 0, 1000 });
  member_record draining = make_record("c", 5, 1);
  draining.server.state = server_state::draining;
  members.merge(draining, { 0, 1500 });
  const member_view_ptr view = members.build_view();
  BOOST_TEST(view->services.at("catalogue").servers.size() == 2U);
  BOOST_TEST(view->services.at("catalogue").stopped_at.at("c") == 1500);
}

BOOST_AUTO_TEST_CASE(digest_does_not_depend_on_merge_order)
{
  membership first(make_record("a", 1, 0), { 0, 0 });
  membership second(make_record("a", 1, 0), { 0, 0 });
  first.merge(make_record("b", 1, 0), { 0, 0 });
  first.merge(make_record("c", 1, 0), { 0, 0 });
  second.merge(make_record("c", 1, 0), { 0, 0 });
  BOOST_TEST(first.digest() != second.digest());
  second.merge(make_record("b", 1, 0), { 0, 0 });
  BOOST_TEST(first.digest() == second.digest());
}

BOOST_AUTO_TEST_SUITE_END()
