// Encodes and decodes the messages that transfer a configuration between proxies.
#include "config_transfer_codec.h"
#include "json_reader.h"

namespace leaf = boost::leaf;
using nlohmann::json;

namespace shallotfield {

static constexpr std::string_view CONFIG_REQUEST_KIND = "config_question";
static constexpr std::string_view CONFIG_RESPONSE_KIND = "config_copy";

std::string
encode_config_transfer(const config_transfer& message)
{
  return std::visit(
    overloaded{
      [](const config_request& item) {
        return encode_frame({ { "kind", CONFIG_REQUEST_KIND }, { "base", item.base } }, {});
      },
      [](const packed_config& item) {
        return encode_frame(
          { { "kind", CONFIG_RESPONSE_KIND }, { "version", item.version }, { "base", item.base } },
          item.bytes);
      },
    },
    message);
}

leaf::result<config_transfer>
parse_config_transfer(const frame& from)
{
  std::optional<frame_error> error;
  const json head = decode_head(from.head, error);
  if (error) {
    return leaf::new_error(*error);
  }
  if (!head.is_object()) {
    return bad_message();
  }
  BOOST_LEAF_AUTO(kind, read_member<std::string>(head, "kind"));
  BOOST_LEAF_AUTO(base, read_member<std::uint64_t>(head, "base"));
  if (kind == CONFIG_REQUEST_KIND) {
    return config_transfer(config_request{ base });
  }
  if (kind != CONFIG_RESPONSE_KIND) {
    return bad_message();
  }
  BOOST_LEAF_AUTO(version, read_member<std::uint64_t>(head, "version"));
  return config_transfer(packed_config{ version, base, from.payload });
}

} // namespace shallotfield
