// Encodes beacons as datagrams, and the addresses of nodes as entries of the directory in the
// store.
#pragma once
#include "process/process.h"

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace shallotfield {

/** Size limit of a datagram. It fits into one packet on any network, so it is not fragmented. */
inline constexpr std::size_t BEACON_DATAGRAM_BYTES_MAX = 1200;

/** Returns datagrams in msgpack that carry the beacons. */
std::vector<std::string>
encode_beacons(const std::vector<const node_beacon*>& beacons);

/** The content of a datagram. */
struct beacon_datagram
{
  std::vector<node_beacon> beacons;
  std::size_t rejected_beacons = 0; ///< Beacons that were left out because they are invalid.
};

/**
 * Decodes a datagram from a peer. An invalid beacon is left out; the others hold, since a relay
 * passes on the beacons of many nodes together. Fails with frame_error if the datagram as a whole
 * is invalid.
 */
boost::leaf::result<beacon_datagram>
parse_beacons(std::string_view bytes);

/** Returns the directory entry of a node. */
std::string
encode_directory_entry(const node_beacon& self);

/**
 * Decodes the directory entry of a node into a beacon that has its address but no state. Fails with
 * frame_error.
 */
boost::leaf::result<node_beacon>
parse_directory_entry(const node_id& id, std::string_view bytes);

} // namespace shallotfield
