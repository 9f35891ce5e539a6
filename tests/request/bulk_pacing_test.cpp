// Tests of the pacing of downloads over a link that they could fill.
#include "request/request.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace shallotfield;

/** A link that sends in the order of arrival, like the queue of a network interface. */
struct fake_link
{
  double bytes_per_ms;
  double free_at = 0; ///< When everything that was handed over is sent.

  /** Hands over bytes. Returns when the last of them is sent. */
  double send(std::size_t bytes, mono_ms now)
  {
    free_at =
      std::max(free_at, static_cast<double>(now)) + static_cast<double>(bytes) / bytes_per_ms;
    return free_at;
  }
};

/** What a load of downloads and short responses meant for both. */
struct link_result
{
  double worst_short_ms = 0;
  double mean_bulk_ms = 0;
};

/** Plays 20 s of downloads of about 90 KB that use 70% of a link of 16 Mbit/s, with a short
 * response every 10 ms. Without a pacer, downloads are handed over at once. */
static link_result
play_link(bulk_pacer* pacer)
{
  static constexpr std::size_t SHORT_BYTES = 1500;
  static constexpr double DOWNLOADS_PER_MS = 0.7 * 2000 / 90'000;
  fake_link link{ 2000 };
  std::mt19937 random(20261205);
  std::exponential_distribution<double> gap(DOWNLOADS_PER_MS);
  std::uniform_int_distribution<std::size_t> size(30'000, 150'000);
  std::map<pacing_connection, std::pair<mono_ms, std::size_t>> open; ///< Arrival and bytes left.
  link_result result;
  double next = gap(random);
  std::uint64_t downloads = 0;
  const auto hand_over = [&](pacing_connection id, std::size_t bytes, mono_ms now) {
    auto& [arrived_at, left] = open.at(id);
    const double done_at = link.send(bytes, now);
    left -= bytes;
    if (left == 0) {
      result.mean_bulk_ms += done_at - static_cast<double>(arrived_at);
      open.erase(id);
    }
  };
  for (mono_ms now = 0; now < 20'000; ++now) {
    for (; next <= static_cast<double>(now); next += gap(random)) {
      const std::size_t bytes = size(random);
      open[++downloads] = { now, bytes };
      if (pacer == nullptr) {
        hand_over(downloads, bytes, now);
      } else {
        pacer->add(downloads, bytes);
      }
    }
    if (pacer != nullptr && pacer->has_waiting()) {
      for (const paced_piece& piece : pacer->take(now)) {
        hand_over(piece.connection, piece.bytes, now);
      }
    }
    if (now % 10 == 0) {
      const double wait = link.send(SHORT_BYTES, now) - static_cast<double>(now);
      result.worst_short_ms = std::max(result.worst_short_ms, wait);
    }
  }
  result.mean_bulk_ms /= static_cast<double>(downloads - open.size());
  return result;
}

BOOST_AUTO_TEST_SUITE(bulk_pacing)

BOOST_AUTO_TEST_CASE(short_responses_do_not_wait_behind_downloads)
{
  const link_result unpaced = play_link(nullptr);
  bulk_pacer pacer(2000);
  const link_result paced = play_link(&pacer);
  BOOST_TEST(unpaced.worst_short_ms > 200);
  BOOST_TEST(paced.worst_short_ms < 50);
  // The link carries the same downloads, so these take about as long.
  BOOST_TEST(paced.mean_bulk_ms < 3 * unpaced.mean_bulk_ms);
}

BOOST_AUTO_TEST_CASE(data_is_sent_in_the_order_of_arrival_at_the_rate_of_the_link)
{
  bulk_pacer pacer(1000); // 900 bytes/ms for bulk data, of which 18,000 may be sent at once.
  pacer.add(1, 22'500);
  pacer.add(2, 6300);
  BOOST_TEST((pacer.take(0) == std::vector<paced_piece>{ { 1, 18'000 } }));
  BOOST_TEST(pacer.backlog_ms() == 12);
  BOOST_TEST(pacer.delay_ms(0) == 5);
  BOOST_TEST((pacer.take(5) == std::vector<paced_piece>{ { 1, 4500 } }));
  BOOST_TEST((pacer.take(15) == std::vector<paced_piece>{ { 2, 6300 } }));
  BOOST_TEST(!pacer.has_waiting());
  BOOST_TEST(pacer.backlog_ms() == 0);
}

BOOST_AUTO_TEST_CASE(data_of_an_ended_connection_or_a_cancelled_call_is_not_sent)
{
  bulk_pacer pacer(1000);
  pacer.add(1, 18'000);
  pacer.add(2, 5000);
  pacer.add(3, 6000);
  pacer.add(2, 7000);
  pacer.cancel(2, 5000);
  pacer.remove(3);
  BOOST_TEST(pacer.backlog_ms() == 28);
  pacer.take(0);
  BOOST_TEST((pacer.take(20) == std::vector<paced_piece>{ { 2, 7000 } }));
}

BOOST_AUTO_TEST_CASE(nothing_waits_if_the_rate_of_the_link_is_unknown)
{
  bulk_pacer pacer(0);
  pacer.add(1, 50'000'000);
  BOOST_TEST(pacer.backlog_ms() == 0);
  BOOST_TEST((pacer.take(0) == std::vector<paced_piece>{ { 1, 50'000'000 } }));
}

BOOST_AUTO_TEST_SUITE_END()
