// Tests of the server selection at an edge.
#include "request/request.h"

#include <boost/test/unit_test.hpp>

using namespace shallotfield;

/** Makes a node with a ready server of two slots. */
static member_record
make_node(const node_id& id, const std::string& region, const std::string& zone)
{
  member_record record;
  record.id = id;
  record.incarnation = 1;
  record.state = member_state::alive;
  record.region = region;
  record.zone = zone;
  record.server = { "catalogue", 2, server_state::ready };
  return record;
}

/** An edge with two servers in its zone, one in another zone of its region, and one in another
 * region. */
struct pick_fixture
{
  membership members{ make_node("self", "west", "wa"), { 0, 0 } };
  server_stats_table stats_table; ///< Statistics about the servers.
  random_source random{ 1 };      ///< Random number generator with a fixed seed.
  compiled_version version;       ///< Configuration; only its blocked servers matter.
  member_view_ptr view;           ///< The members of the fleet.

  pick_fixture()
  {
    members.merge(make_node("near", "west", "wa"), { 0, 0 });
    members.merge(make_node("region", "west", "wb"), { 0, 0 });
    members.merge(make_node("far", "east", "ea"), { 0, 0 });
    view = members.build_view();
  }

  std::optional<pick_decision> pick(const pick_request& request, mono_ms now = 100)
  {
    return pick_server(version, *view, stats_table, "self", request, now, random);
  }
};

BOOST_AUTO_TEST_SUITE(picks)

BOOST_AUTO_TEST_CASE(farther_servers_are_picked_only_when_nearer_ones_are_full)
{
  pick_fixture fixture;
  const pick_request request{ "catalogue", work_class::interactive, "", {} };
  BOOST_TEST(enum_name(fixture.pick(request)->reason) == "same_zone");
  for (const char* node : { "self", "near" }) {
    fixture.stats_table.record_sent(node);
    fixture.stats_table.record_sent(node);
  }
  BOOST_TEST(fixture.pick(request)->server->id == "region");
  fixture.stats_table.record_sent("region");
  fixture.stats_table.record_sent("region");
  BOOST_TEST(fixture.pick(request)->server->id == "far");
  BOOST_TEST(enum_name(fixture.pick({ "catalogue", work_class::bulk, "", {} })->reason) ==
             "crowded");
  fixture.stats_table.record_sent("far");
  fixture.stats_table.record_sent("far");
  const auto none_free = fixture.pick(request);
  BOOST_TEST(enum_name(none_free->reason) == "crowded");
  BOOST_TEST(none_free->server->zone == "wa");
}

BOOST_AUTO_TEST_CASE(load_reports_expire_and_never_hide_own_requests)
{
  pick_fixture fixture;
  fixture.stats_table.record_load("near", { 2, 5, 2 }, 100);
  fixture.stats_table.record_load("self", { 2, 5, 2 }, 100);
  const pick_request request{ "catalogue", work_class::interactive, "", {} };
  BOOST_TEST(fixture.pick(request, 200)->server->id == "region");
  BOOST_TEST(enum_name(fixture.pick(request, 5000)->reason) == "same_zone");
  fixture.stats_table.record_sent("near");
  fixture.stats_table.record_sent("near");
  fixture.stats_table.record_load("near", { 0, 0, 2 }, 5000);
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(fixture.pick(request, 5001)->server->id == "self");
  }
}

BOOST_AUTO_TEST_CASE(blocked_and_excluded_servers_are_never_picked)
{
  pick_fixture fixture;
  fixture.version.content.blocked_servers = { "near", "self" };
  const auto pick = fixture.pick({ "catalogue", work_class::interactive, "", { "region" } });
  BOOST_TEST(pick->server->id == "far");
  BOOST_TEST(
    !fixture.pick({ "catalogue", work_class::interactive, "", { "region", "far" } }).has_value());
  BOOST_TEST(!fixture.pick({ "none", work_class::interactive, "", {} }).has_value());
}

BOOST_AUTO_TEST_CASE(slow_server_gets_few_requests)
{
  pick_fixture fixture;
  for (int i = 0; i < 50; ++i) {
    fixture.stats_table.record_response("near", 100, { 0, 0, 2 }, 100);
    fixture.stats_table.record_response("self", 10, { 0, 0, 2 }, 100);
  }
  int slow = 0;
  for (int i = 0; i < 1000; ++i) {
    slow +=
      fixture.pick({ "catalogue", work_class::interactive, "", {} })->server->id == "near" ? 1 : 0;
  }
  BOOST_TEST(slow < 300);
}

BOOST_AUTO_TEST_CASE(failing_server_is_ejected_unless_most_servers_are)
{
  pick_fixture fixture;
  for (int i = 0; i < 3; ++i) {
    fixture.stats_table.record_failure("near", 100);
  }
  for (int i = 0; i < 50; ++i) {
    BOOST_TEST(fixture.pick({ "catalogue", work_class::interactive, "", {} }, 200)->server->id ==
               "self");
  }
  for (const char* node : { "self", "region", "far" }) {
    for (int i = 0; i < 3; ++i) {
      fixture.stats_table.record_failure(node, 100);
    }
  }
  BOOST_TEST(fixture.pick({ "catalogue", work_class::interactive, "", {} }, 200).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
