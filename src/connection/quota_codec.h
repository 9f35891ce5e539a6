// Encodes what proxies tell each other about the use of client accounts as datagrams, which they
// exchange on the port of the beacons.
#pragma once
#include "process/process.h"

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace shallotfield {

/** Returns datagrams in msgpack that carry a message; at least one. The accounts of an answer
 * ascend by digest, and each datagram covers a part of its range. */
std::vector<std::string>
encode_quota_message(const quota_message& message);

/** Returns whether a datagram is about quotas rather than beacons. */
bool
has_quota_message(std::string_view datagram);

/** The content of a datagram. */
struct quota_datagram
{
  quota_message message;
  std::size_t rejected_items = 0; ///< Items that were left out because they are invalid.
};

/** Decodes a datagram. An invalid item is left out; the others hold. Fails with frame_error if the
 * datagram as a whole is invalid. */
boost::leaf::result<quota_datagram>
parse_quota_message(std::string_view bytes);

} // namespace shallotfield
