// Which backend server a request goes to.
#pragma once
#include "route_policy.h"

#include <map>
#include <set>

namespace shallotfield {

/** What one traffic thread sees of one server. */
struct server_stats
{
  std::uint32_t in_flight = 0;    ///< This thread's requests there.
  double latency_ms = 0;          ///< Moving average of the time to an answer's head; 0: none yet.
  mono_ms latency_updated_at = 0; ///< When the average was renewed.
  load_report load;               ///< As the latest answer brought it.
  mono_ms load_received_at = 0;   ///< When it arrived.
  std::uint32_t failures = 0;     ///< Failures in a row.
  mono_ms ejected_until = 0;      ///< Left out until then.
};

/** What one traffic thread sees of all servers. */
class server_stats_table
{
public:
  /** Notes that a request was sent. @param node Where to. */
  void record_sent(const node_id& node);

  /** Notes that a request ended in any way. @param node Where it was. */
  void record_ended(const node_id& node);

  /**
   * Notes an answer.
   * @param node Where it came from.
   * @param latency_ms Time since the request was sent.
   * @param load What it brought of the server's queue.
   * @param now Current time.
   */
  void record_response(const node_id& node,
                       double latency_ms,
                       const load_report& load,
                       mono_ms now);

  /** Notes a refusal that says nothing against the server but its load. */
  void record_load(const node_id& node, const load_report& load, mono_ms now);

  /**
   * Notes a failure of the server or of the way to it.
   * @param node Where.
   * @param now Current time.
   * @return Whether the server was ejected by this.
   */
  bool record_failure(const node_id& node, mono_ms now);

  /** Forgets servers that are no longer members. @param view The members. */
  void remove_departed(const member_view& view);

  /** @param node A server. @return What is known of it. */
  const server_stats& stats(const node_id& node) const;

private:
  std::map<node_id, server_stats> servers_; ///< By node.
};

/** Why a server was picked. */
enum class pick_reason
{
  same_zone,    ///< Best of two in the caller's zone.
  same_region,  ///< The zone has none with room; best of two in the region.
  other_region, ///< The region has none with room; best of two elsewhere.
  none_free,    ///< No server has room; best of two among the nearest.
  key_home,     ///< The home of the request key.
};

inline constexpr enum_table<pick_reason, 5> PICK_REASON_ROWS = { {
  { pick_reason::same_zone, "same_zone" },
  { pick_reason::same_region, "same_region" },
  { pick_reason::other_region, "across" },
  { pick_reason::none_free, "crowded" },
  { pick_reason::key_home, "key_home" },
} };
static_assert(is_complete(PICK_REASON_ROWS, pick_reason::key_home));

/** @return The name table of pick reasons. */
constexpr const auto&
enum_rows(pick_reason)
{
  return PICK_REASON_ROWS;
}

/** The server that was picked. */
struct pick_decision
{
  const member_record* server = nullptr;       ///< The node beside it; lives as long as the view.
  pick_reason reason = pick_reason::none_free; ///< Why.
};

/** What a pick depends on besides the members. */
struct pick_request
{
  service_id service;                        ///< The service.
  work_class kind = work_class::interactive; ///< Bulk work never crosses regions by choice.
  std::string key;                           ///< Request key; empty if there is none.
  std::set<node_id> excluded;                ///< Servers that this request was at already.
};

/**
 * Picks a server: near ones first, and among those of one distance the better of two that are
 * drawn at random, by what this thread saw itself and by what answers brought.
 * @param version The version that the request began with.
 * @param view The members.
 * @param seen What this thread sees of the servers.
 * @param self This node.
 * @param request What is asked for.
 * @param now Current time.
 * @param random Random numbers.
 * @return The pick; or nothing if no server may take the request.
 */
std::optional<pick_decision>
pick_server(const compiled_version& version,
            const member_view& view,
            const server_stats_table& seen,
            const node_id& self,
            const pick_request& request,
            mono_ms now,
            random_source& random);

} // namespace shallotfield
