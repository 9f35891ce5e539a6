// Decides when the responses to downloads are sent over the link of this VM. It is made for a link
// that downloads could fill: if all of them were sent at once, they would wait in the queue of the
// link, and every short response would wait behind them, although the server had answered in time.
#pragma once
#include "process/process.h"

#include <deque>
#include <vector>

namespace shallotfield {

/** Identifies a connection on which responses to downloads are sent. */
using pacing_connection = std::uint64_t;

/** Bytes that may be sent now on a connection. */
struct paced_piece
{
  pacing_connection connection = 0; ///< The connection.
  std::size_t bytes = 0;            ///< Number of its bytes to send, in the order of their arrival.
  bool operator==(const paced_piece&) const = default;
};

/**
 * Spreads bulk data over time, so that it uses a fixed part of the link. The data is sent in the
 * order in which it was added: sending several downloads side by side would delay the first ones
 * without bringing the last one earlier.
 */
class bulk_pacer
{
public:
  /** `link_bytes_per_ms` is the rate of the link; 0 if it is unknown, in which case nothing waits.
   */
  explicit bulk_pacer(double link_bytes_per_ms);

  /** Adds data that waits for its turn on a connection. */
  void add(pacing_connection connection, std::size_t bytes);

  /** Removes data that was added with this size, of which nothing was sent yet. */
  void cancel(pacing_connection connection, std::size_t bytes);

  /** Removes the data of a connection that has ended. */
  void remove(pacing_connection connection);

  /** Returns whether any data waits. */
  bool has_waiting() const { return !waiting_.empty(); }

  /** Returns the data that may be sent now, and removes it. */
  std::vector<paced_piece> take(mono_ms now);

  /** Returns the time until more data may be sent, in ms. Data must be waiting. */
  std::int64_t delay_ms(mono_ms now) const;

  /** Returns how long data that is added now will wait until the data before it was sent, in ms. */
  std::int64_t backlog_ms() const;

private:
  /** Adds what the link could have carried since the last call to the credit. */
  void refill(mono_ms now);

  double bytes_per_ms_;             ///< Rate of the data; 0: unlimited.
  double credit_bytes_ = 0;         ///< Data that may be sent at once.
  mono_ms refilled_at_ = 0;         ///< When the credit was last increased.
  std::deque<paced_piece> waiting_; ///< Data that waits, in the order of arrival.
  std::size_t waiting_bytes_ = 0;   ///< Sum over the data that waits.
};

} // namespace shallotfield
