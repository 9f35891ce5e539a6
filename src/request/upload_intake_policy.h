// Decides when the bodies of uploads are sent to the proxy of a backend server. The policy is made
// for a burst of uploads that the link of a small VM can't carry: without it, the calls of running
// requests and the responses to the server's own calls wait behind the bodies until they time out.
#pragma once
#include "connection/connection.h"

#include <deque>
#include <optional>
#include <variant>
#include <vector>

namespace shallotfield {

/** Identifies an offered body: the link on which it was offered, and the call. */
struct intake_key
{
  std::uint64_t session = 0;
  call_id call = 0;
  bool operator==(const intake_key&) const = default;
};

/** Event: another proxy wants to send a body. */
struct intake_offered
{
  intake_key key;
  std::int64_t bytes = 0;        ///< Size of the body.
  mono_ms latest_arrival_at = 0; ///< When the whole body must be here to be served in time.
};

/** Event: the body arrived completely. */
struct intake_arrived
{
  intake_key key;
};

/** Event: the other proxy no longer wants to send the body. */
struct intake_withdrawn
{
  intake_key key;
};

/** Event: the link to the other proxy ended. */
struct intake_session_ended
{
  std::uint64_t session = 0;
};

/** Event: time has passed, so that a transfer may count as stuck. */
struct intake_tick
{};

using intake_event =
  std::variant<intake_offered, intake_arrived, intake_withdrawn, intake_session_ended, intake_tick>;

/** Effect: tell the other proxy to send a body. */
struct intake_grant
{
  intake_key key;
  std::int64_t bytes = 0; ///< Size of the body.
  bool operator==(const intake_grant&) const = default;
};

/** Effect: tell the other proxy that the body will be granted later. */
struct intake_defer
{
  intake_key key;
  bool operator==(const intake_defer&) const = default;
};

/** Effect: refuse the request, which has not run. */
struct intake_refuse
{
  intake_key key;
  std::int64_t retry_after_ms = 0; ///< Expected time until the bodies before it have arrived.
  bool operator==(const intake_refuse&) const = default;
};

using intake_effect = std::variant<intake_grant, intake_defer, intake_refuse>;

/** The bodies of uploads that are offered to the proxy of one server. One body is transferred at a
 * time, in the order of the offers, so that other messages wait for one body at most. */
class upload_intake
{
public:
  /** @param link_bytes_per_ms Rate of the link of the VM; 0 if it is unknown. */
  explicit upload_intake(double link_bytes_per_ms);

  /** Handles an event and returns the effects, in the order in which to perform them. */
  std::vector<intake_effect> handle(const intake_event& event, mono_ms now);

  /** Returns whether a transfer is under way, so that ticks are needed. */
  bool is_busy() const { return transfer_.has_value(); }

  /** Returns the expected time until all bodies that were offered have arrived, in ms. */
  double backlog_ms(mono_ms now) const;

private:
  /** A body that was offered. */
  struct body
  {
    intake_key key;
    std::int64_t bytes = 0;        ///< Its size.
    mono_ms latest_arrival_at = 0; ///< When it must be here.
    mono_ms granted_at = 0;        ///< When its transfer began.
  };

  void on(const intake_offered& event, mono_ms now);
  void on(const intake_arrived& event, mono_ms now);
  void on(const intake_withdrawn& event, mono_ms now);
  void on(const intake_session_ended& event, mono_ms now);
  void on(const intake_tick& event, mono_ms now);
  /** Begins the next transfer, and refuses the bodies that can't arrive in time. */
  void grant_next(mono_ms now);
  double transfer_ms(std::int64_t bytes) const;
  /** Returns whether the transfer has taken so long that its sender seems to be gone. */
  bool is_stuck(mono_ms now) const;

  double bytes_per_ms_;                ///< Rate of transfers.
  std::optional<body> transfer_;       ///< The body that is being sent.
  std::deque<body> waiting_;           ///< Bodies that wait, in the order of their offers.
  std::vector<intake_effect> effects_; ///< Effects of the event that is being handled.
};

} // namespace shallotfield
