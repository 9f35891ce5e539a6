// Tests of the crash records that proxies exchange: they are merged in any order, and forgotten.
#include "process/process.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace shallotfield;

static constexpr mono_ms NOW = 100'000'000;

static crash_record
make_record(std::uint64_t request, std::uint64_t crash, mono_ms age, bool is_acquitted = false)
{
  return { { request, 0 },
           crash,
           NOW - age,
           is_acquitted ? crash_finding::acquitted : crash_finding::suspected };
}

static std::size_t
crashes_of(const crash_registry& registry, std::uint64_t request)
{
  const crash_view_ptr view = registry.build_view();
  const auto found = view->find({ request, 0 });
  return found == view->end() ? 0 : found->second.crashes;
}

BOOST_AUTO_TEST_SUITE(crash_registries)

BOOST_AUTO_TEST_CASE(records_are_merged_in_any_order)
{
  std::vector<crash_record> records = { make_record(1, 11, 30),       make_record(1, 12, 20),
                                        make_record(1, 13, 10),       make_record(2, 11, 30),
                                        make_record(2, 12, 20, true), make_record(2, 12, 25),
                                        make_record(1, 13, 8) };
  std::mt19937 random(5);
  for (int round = 0; round < 200; ++round) {
    std::shuffle(records.begin(), records.end(), random);
    crash_registry registry;
    for (const crash_record& record : records) {
      registry.add(record, NOW);
      registry.add(records.front(), NOW);
    }
    BOOST_TEST(crashes_of(registry, 1) == 3U);
    BOOST_TEST(crashes_of(registry, 2) == 1U);
    BOOST_TEST(registry.build_view()->at({ 1, 0 }).last_crash_at == NOW - 10);
  }
}

BOOST_AUTO_TEST_CASE(acquittal_holds_against_an_old_record_and_not_against_a_new_crash)
{
  crash_registry registry;
  registry.add(make_record(1, 11, 30), NOW);
  BOOST_TEST(registry.acquit({ 1, 0 }).size() == 1U);
  BOOST_TEST(!registry.add(make_record(1, 11, 30), NOW));
  BOOST_TEST(crashes_of(registry, 1) == 0U);
  BOOST_TEST(registry.is_acquitted({ 1, 0 }, 11));
  BOOST_TEST(registry.add(make_record(1, 12, 0), NOW));
  BOOST_TEST(crashes_of(registry, 1) == 1U);
}

BOOST_AUTO_TEST_CASE(only_requests_with_several_crashes_are_shared_again)
{
  crash_registry registry;
  registry.add(make_record(1, 11, 30), NOW);
  registry.add(make_record(2, 11, 30), NOW);
  registry.add(make_record(2, 12, 20), NOW);
  BOOST_TEST(registry.shared_records().size() == 2U);
  registry.acquit({ 2, 0 });
  BOOST_TEST(registry.shared_records().empty());
}

BOOST_AUTO_TEST_CASE(trials_are_merged_in_any_order)
{
  std::vector<crash_record> records = {
    make_record(1, 11, 9000),
    make_record(1, 12, 8900),
    make_record(1, 13, 8800),
    { { 1, 0 }, 21, NOW - 7000, crash_finding::trial_open },
    { { 1, 0 }, 14, NOW - 6900, crash_finding::suspected_on_trial },
    { { 1, 0 }, 14, NOW - 6900, crash_finding::suspected_together },
    { { 1, 0 }, 22, NOW - 5000, crash_finding::trial_open },
    { { 1, 0 }, 22, NOW - 5000, crash_finding::trial_ended },
    { { 1, 0 }, 23, NOW - 1000, crash_finding::trial_open },
  };
  std::mt19937 random(7);
  for (int round = 0; round < 200; ++round) {
    std::shuffle(records.begin(), records.end(), random);
    crash_registry registry;
    for (const crash_record& record : records) {
      registry.add(record, NOW);
    }
    const crash_suspect suspect = registry.build_view()->at({ 1, 0 });
    BOOST_TEST(suspect.crashes == 4U);
    BOOST_TEST(suspect.crashed_trials == 2U);
    BOOST_TEST(suspect.failed_trials == 0U);
    BOOST_TEST(suspect.late_crashes == 0U);
    BOOST_TEST(suspect.latest_trial == 23U);
    BOOST_TEST(suspect.open_trial_at == NOW - 1000);
    BOOST_TEST(registry.size() == 1U);
  }
}

// Guards against a request that is rejected because one crash is told again and again.
BOOST_AUTO_TEST_CASE(repeated_crash_counts_once)
{
  crash_registry registry;
  for (int i = 0; i < 1000; ++i) {
    registry.add(make_record(1, 11, i), NOW);
  }
  BOOST_TEST(crashes_of(registry, 1) == 1U);
}

BOOST_AUTO_TEST_CASE(old_records_are_forgotten_and_not_taken_again)
{
  static constexpr mono_ms DAY_MS = 86'400'000;
  crash_registry registry;
  registry.add(make_record(1, 11, 0), NOW);
  BOOST_TEST(!registry.expire(NOW + 1000));
  BOOST_TEST(registry.expire(NOW + DAY_MS));
  BOOST_TEST(registry.size() == 0U);
  BOOST_TEST(!registry.add(make_record(1, 11, 0), NOW + DAY_MS));
}

BOOST_AUTO_TEST_SUITE_END()
