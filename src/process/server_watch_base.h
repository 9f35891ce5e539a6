// The state of a node's local backend server, determined from the server's announcements, from
// health checks and from failed connections.
#pragma once
#include "beacon_type.h"

#include <map>
#include <optional>

namespace shallotfield {

/** The heartbeat with which a backend server announces itself at regular intervals. An incarnation
 * is one process of the server. It is identified by its instance id together with its start time,
 * because a later incarnation may have the same instance id. */
struct server_heartbeat
{
  std::string instance;                     ///< Instance id. A later incarnation may reuse it.
  service_id service;                       ///< Service that the server provides.
  endpoint address;                         ///< Address on which the server listens.
  server_state state = server_state::ready; ///< cold, ready or draining.
  std::uint32_t slots = 0;                  ///< Requests that the server processes concurrently.
  std::int64_t cold_ms = 0; ///< Remaining warm-up time, in which it is slow; 0: warm.
  std::optional<unix_ms> instance_started_at; ///< Start of this incarnation by the server's clock.
  std::uint64_t sequence = 0;                 ///< Increases with each heartbeat of an incarnation.
  std::string version; ///< Version of its software; empty if it announces none.
};

/** How a heartbeat affected the state of the server. */
enum class heartbeat_effect
{
  ignored,     ///< The heartbeat was late or repeated, or it came from another server.
  refreshed,   ///< The server is still alive and unchanged.
  changed,     ///< The server's incarnation, service, slots or state changed.
  unconfirmed, ///< It was stored, and counts once a health check confirms that the server runs and
               ///< does not leave.
};

inline constexpr enum_table<heartbeat_effect, 4> HEARTBEAT_EFFECT_ROWS = { {
  { heartbeat_effect::ignored, "ignored" },
  { heartbeat_effect::refreshed, "refreshed" },
  { heartbeat_effect::changed, "changed" },
  { heartbeat_effect::unconfirmed, "unconfirmed" },
} };
static_assert(is_complete(HEARTBEAT_EFFECT_ROWS, heartbeat_effect::unconfirmed));

/** Returns the name table of heartbeat effects. */
constexpr const auto&
enum_rows(heartbeat_effect)
{
  return HEARTBEAT_EFFECT_ROWS;
}

/**
 * Tracks the state of the node's local backend server. An incarnation that has deregistered, or has
 * reported that it is draining, stays in the draining state whatever its later heartbeats say.
 */
class server_watch
{
public:
  /** Watches the server that listens on `address`. It counts as down after `liveness_timeout_ms`
   * without a heartbeat. */
  server_watch(endpoint address, std::int64_t liveness_timeout_ms)
    : address_(std::move(address))
    , liveness_timeout_ms_(liveness_timeout_ms)
  {
  }

  /**
   * Makes the first heartbeats wait for a health check. A process that was restarted does not know
   * which incarnations have left, and a heartbeat that one of them sent before may arrive late.
   * Incarnations that start after one was confirmed need no check.
   */
  void require_confirmation() { needs_confirmation_ = true; }

  /** Returns the heartbeat that waits for a health check, if any. */
  const std::optional<server_heartbeat>& unconfirmed() const { return unconfirmed_; }

  /** Drops the heartbeat that waits for a health check, because the server is not running or does
   * not consider itself healthy, which it does not while it leaves. */
  void reject_unconfirmed() { unconfirmed_.reset(); }

  /** Accepts the heartbeat that waits for a health check. Returns whether the server's state
   * changed. */
  bool accept_unconfirmed(mono_ms now);

  /** Handles a received heartbeat. */
  heartbeat_effect apply_heartbeat(const server_heartbeat& from, mono_ms now);

  /**
   * Handles the deregistration of an instance, which announces that the instance leaves for good.
   * The deregistration is stored even if no heartbeat of the instance has arrived, because a
   * heartbeat that was sent earlier may still arrive. `at` is the wall-clock time of the
   * deregistration, and `started_at` the start of the incarnation by the server's clock, if the
   * server gave it; heartbeats of an incarnation that started later under the same id are accepted.
   * Returns whether the state of the current server changed.
   */
  bool apply_deregistration(const std::string& instance,
                            unix_ms at,
                            std::optional<unix_ms> started_at = std::nullopt);

  /**
   * Handles a successful health check. It confirms a waiting heartbeat of the same instance, and
   * drops one of another instance. Otherwise it is ignored once the server is known from a
   * heartbeat or from an earlier check. Returns whether the server's state changed.
   * @param instance Id of the instance that responded; if it is empty, the check is ignored.
   * @param service Service that the settings name.
   * @param slots Number of slots to assume until the server announces its own.
   */
  bool apply_probe_result(const std::string& instance,
                          const service_id& service,
                          std::uint32_t slots,
                          mono_ms now);

  /** Marks the server as down after a connection to it failed, until its next heartbeat. Returns
   * whether the server's state changed. */
  bool mark_unreachable();

  /** Marks the server as down if its liveness timeout has passed. Returns whether the server's
   * state changed. */
  bool expire(mono_ms now);

  /** Restarts the liveness timeout. Called after a pause of this process, during which it could not
   * receive heartbeats. */
  void restart_liveness_timeout(mono_ms now) { last_received_at_ = now; }

  /** Returns the number of the server's current process; 0: none has announced itself. */
  std::uint64_t incarnation() const { return incarnation_; }

  /** Returns the start of that process by the server's clock, if it has announced one. */
  std::optional<unix_ms> instance_started_at() const { return instance_started_at_; }

  /** Returns the status of the server, as it is sent to peers. */
  const server_status& current_status() const { return current_status_; }

private:
  /** Returns whether the incarnation that sent a heartbeat has deregistered. */
  bool has_deregistered(const server_heartbeat& from) const;

  endpoint address_;                 ///< Address on which the server listens.
  std::int64_t liveness_timeout_ms_; ///< Time without a heartbeat until it counts as down.
  server_status current_status_;     ///< Status as it is sent to peers.
  std::optional<unix_ms> instance_started_at_; ///< Start of the current incarnation, if announced.
  std::uint64_t incarnation_ = 0;              ///< Number of processes that announced themselves.
  std::uint64_t sequence_ = 0;                 ///< Sequence number of the latest heartbeat.
  mono_ms last_received_at_ = 0;    ///< When the latest heartbeat or health check arrived.
  bool has_left_ = false;           ///< The current incarnation is draining or deregistered.
  bool needs_confirmation_ = false; ///< Heartbeats wait for a health check.
  bool is_probed_only_ = false;     ///< The server is known from a health check only.
  std::optional<server_heartbeat> unconfirmed_; ///< The heartbeat that waits for a health check.
  mono_ms unconfirmed_at_ = 0;                  ///< When it arrived.
  std::map<std::string, unix_ms>
    deregistrations_; ///< Wall-clock times of deregistrations, by instance id.
};

} // namespace shallotfield
