// Encodes and decodes the transfer of a configuration.
#include "config_transfer_codec.h"
#include "json_reader.h"

namespace leaf = boost::leaf;
using nlohmann::json;

namespace shallotfield {

static constexpr std::string_view QUESTION = "config_question";
static constexpr std::string_view COPY = "config_copy";

std::string
encode_config_transfer(const config_transfer& message)
{
  return std::visit(overloaded{
                      [](const config_question& item) {
                        return encode_frame({ { "kind", QUESTION }, { "base", item.base } }, {});
                      },
                      [](const packed_config& item) {
                        return encode_frame(
                          { { "kind", COPY }, { "version", item.version }, { "base", item.base } },
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
  if (kind == QUESTION) {
    return config_transfer(config_question{ base });
  }
  if (kind != COPY) {
    return bad_message();
  }
  BOOST_LEAF_AUTO(version, read_member<std::uint64_t>(head, "version"));
  return config_transfer(packed_config{ version, base, from.payload });
}

} // namespace shallotfield
