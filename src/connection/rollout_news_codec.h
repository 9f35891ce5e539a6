// Encodes what nodes tell each other about roll-outs as datagrams.
#pragma once
#include "process/process.h"

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace shallotfield {

/** The content of a datagram. */
struct rollout_news
{
  std::vector<rollout_record> records; ///< Their times are by the receiver's clock.
  std::size_t rejected_records = 0;    ///< Records that were left out because they are invalid.
};

/** Returns datagrams that carry the records; one even if there are none, which tells a new node so.
 */
std::vector<std::string>
encode_rollout_news(const rollout_view& rollouts, mono_ms now);

/** Returns whether a datagram carries news of roll-outs. */
bool
has_rollout_news(std::string_view datagram);

/**
 * Decodes a datagram. An invalid record is left out; the others hold. Fails with frame_error if the
 * datagram as a whole is invalid.
 */
boost::leaf::result<rollout_news>
parse_rollout_news(std::string_view datagram, mono_ms now);

} // namespace shallotfield
