// The census: the list of nodes that make up the fleet, stored in the log. A node may run requests
// that carry an idempotency key only while it is connected to a majority of the census, so that a
// few nodes that start separately from the rest don't mistake themselves for the fleet.
#pragma once
#include "member_type.h"

#include <boost/leaf/result.hpp>
#include <string_view>

namespace shallotfield {

/** The nodes of the fleet, as stored in one record of the census stream. */
struct census
{
  std::uint64_t offset = 0; ///< Offset of the record; 0: no census was written yet.
  std::map<std::string, std::vector<node_id>> nodes; ///< Nodes by region, each list ordered by id.
  bool operator==(const census&) const = default;
};

/** A census record that can't be parsed. */
struct census_error
{
  std::uint64_t offset = 0; ///< Offset of the record.
};

/** Encodes a census as a log record. The offset is assigned by the log and not encoded. */
std::string
encode_census(const census& value);

/**
 * Parses the census record that the log holds at `offset`. Fails with census_error if the record is
 * malformed or not in the format of this build.
 */
boost::leaf::result<census>
parse_census(std::uint64_t offset, std::string_view bytes);

} // namespace shallotfield
