// The backend server beside a node, by what it announces and by what requests to it show.
#pragma once
#include "beacon_type.h"

#include <map>
#include <optional>

namespace shallotfield {

/** What a backend server announces about itself. */
struct server_heartbeat
{
  std::string instance;                       ///< Id of this incarnation; may be used again later.
  service_id service;                         ///< The service that it runs.
  endpoint address;                           ///< Where it listens.
  server_state state = server_state::ready;   ///< cold, ready or draining.
  std::uint32_t slots = 0;                    ///< Requests that it runs at once.
  std::int64_t cold_ms = 0;                   ///< How much longer it is slow after its start.
  std::optional<unix_ms> instance_started_at; ///< When this incarnation started, by its own clock.
  std::uint64_t sequence = 0;                 ///< Grows with each heartbeat of one incarnation.
};

/** What a heartbeat changed. */
enum class heartbeat_effect
{
  ignored,   ///< Late, or from a server that isn't the one beside this node.
  refreshed, ///< The server still lives.
  changed,   ///< Its incarnation, state or slots changed.
};

inline constexpr enum_table<heartbeat_effect, 3> HEARTBEAT_EFFECT_ROWS = { {
  { heartbeat_effect::ignored, "ignored" },
  { heartbeat_effect::refreshed, "refreshed" },
  { heartbeat_effect::changed, "changed" },
} };
static_assert(is_complete(HEARTBEAT_EFFECT_ROWS, heartbeat_effect::changed));

/** @return The name table of heartbeat effects. */
constexpr const auto&
enum_rows(heartbeat_effect)
{
  return HEARTBEAT_EFFECT_ROWS;
}

/**
 * Keeps the state of the one server that a node passes requests to. Once an incarnation said that
 * it leaves, nothing makes it take work again.
 */
class server_watch
{
public:
  /**
   * @param address Where the server beside this node listens.
   * @param silence_ms Silence after which the server counts as gone.
   */
  server_watch(endpoint address, std::int64_t liveness_timeout_ms)
    : address_(std::move(address))
    , liveness_timeout_ms_(liveness_timeout_ms)
  {
  }

  /** Takes a heartbeat. @param from The heartbeat. @param now Current time. @return Its effect. */
  heartbeat_effect apply_heartbeat(const server_heartbeat& from, mono_ms now);

  /**
   * Takes the word of an incarnation that it leaves, also if no heartbeat of it was heard.
   * @param instance Its id.
   * @param at Current time of day, by which a later incarnation under the same id is told apart.
   * @return Whether it is the current one.
   */
  bool apply_deregistration(const std::string& instance, unix_ms at);

  /**
   * Takes what a health check showed, if no heartbeat was heard yet.
   * @param instance Id of the server that answered.
   * @param service The service that the settings name.
   * @param slots Slots to assume.
   * @param now Current time.
   * @return Whether anything changed.
   */
  bool apply_probe_result(const std::string& instance,
                          const service_id& service,
                          std::uint32_t slots,
                          mono_ms now);

  /** The server's port refuses connections. @return Whether anything changed. */
  bool mark_unreachable();

  /** Looks for silence. @param now Current time. @return Whether anything changed. */
  bool expire(mono_ms now);

  /** Forgets silence that passed while this process did not run. @param now Current time. */
  void restart_liveness_timeout(mono_ms now) { last_received_at_ = now; }

  /** @return What peers are told. */
  const server_status& current_status() const { return current_status_; }

private:
  /** Whether a heartbeat comes from an incarnation that said that it leaves. */
  bool has_departed(const server_heartbeat& from) const;

  endpoint address_;                           ///< Where the server listens.
  std::int64_t liveness_timeout_ms_;           ///< Silence after which it counts as gone.
  server_status current_status_;               ///< What peers are told.
  std::optional<unix_ms> instance_started_at_; ///< Start of the current incarnation.
  std::uint64_t sequence_ = 0;                 ///< Of the latest heartbeat.
  mono_ms last_received_at_ = 0;               ///< When it arrived.
  bool has_left_ = false;                      ///< The current incarnation said that it leaves.
  std::map<std::string, unix_ms> departures_;  ///< When incarnations said so, by id.
};

} // namespace shallotfield
