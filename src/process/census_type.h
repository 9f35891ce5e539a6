// The nodes that made up the fleet when it was last whole enough to say so; kept in the log, so
// that a few nodes that start apart from the rest don't take themselves for the fleet.
#pragma once
#include "member_type.h"

#include <boost/leaf/result.hpp>
#include <string_view>

namespace shallotfield {

/** The nodes of the fleet, as one record of the log says. */
struct census
{
  std::uint64_t offset = 0;                          ///< Where the record stands; a later one wins.
  std::map<std::string, std::vector<node_id>> nodes; ///< Nodes by region, ordered by name.
  bool operator==(const census&) const = default;
};

/** A census that can't be read. */
struct census_error
{
  std::uint64_t offset = 0; ///< Where the record stands.
};

/** @param value The census. @return Its record, without the offset. */
std::string
encode_census(const census& value);

/**
 * Reads a census.
 * @param offset Where the record stands.
 * @param bytes The record, from outside.
 * @return The census; or census_error.
 */
boost::leaf::result<census>
parse_census(std::uint64_t offset, std::string_view bytes);

} // namespace shallotfield
