// Encodes and parses census records.
#include "bounded_json.h"
#include "census_type.h"

#include <boost/leaf/error.hpp>

namespace leaf = boost::leaf;
using nlohmann::json;

namespace shallotfield {

/** Format number of census records. This build writes and accepts no other one. */
static constexpr std::uint64_t CENSUS_FORMAT = 1;

std::string
encode_census(const census& value)
{
  return json{ { "format", CENSUS_FORMAT }, { "nodes", value.nodes } }.dump();
}

leaf::result<census>
parse_census(std::uint64_t offset, std::string_view bytes)
{
  const json value = parse_bounded_json(bytes, LOG_SERVICE_JSON_LIMITS);
  const bool has_format = value.is_object() && value.contains("format") &&
                          value["format"] == CENSUS_FORMAT && value.contains("nodes") &&
                          value["nodes"].is_object();
  if (!has_format) {
    return leaf::new_error(census_error{ offset });
  }
  census result{ offset, {} };
  for (const auto& [region, ids] : value["nodes"].items()) {
    if (!ids.is_array()) {
      return leaf::new_error(census_error{ offset });
    }
    for (const json& id : ids) {
      if (!id.is_string()) {
        return leaf::new_error(census_error{ offset });
      }
      result.nodes[region].push_back(id.get<std::string>());
    }
  }
  return result;
}

} // namespace shallotfield
