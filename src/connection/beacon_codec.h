// Beacons as datagrams, and a node's address as it stands in the directory.
#pragma once
#include "process/process.h"

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace shallotfield {

/** Largest beacon that is sent or accepted; it fits into one packet of any link. */
inline constexpr std::size_t BEACON_DATAGRAM_BYTES_MAX = 1200;

/** @param beacons Beacons. @return The datagrams that carry them, msgpack. */
std::vector<std::string>
encode_beacons(const std::vector<const node_beacon*>& beacons);

/** @param bytes A datagram from a peer. @return Its beacons; or frame_error. */
boost::leaf::result<std::vector<node_beacon>>
parse_beacons(std::string_view bytes);

/** @param self A node. @return What the directory holds of it. */
std::string
encode_directory_entry(const node_beacon& self);

/** @param id Name of a node. @param bytes What the directory holds of it. @return A beacon with
 * nothing but its address; or frame_error. */
boost::leaf::result<node_beacon>
parse_directory_entry(const node_id& id, std::string_view bytes);

} // namespace shallotfield
