// Encodes and decodes the transfer of a configuration.
#include "config_transfer_codec.h"
#include "json_reader.h"

#include <QByteArray>

namespace leaf = boost::leaf;
using nlohmann::json;

namespace shallotfield {

static constexpr std::string_view QUESTION = "config_question";
static constexpr std::string_view COPY = "config_copy";

std::string
encode_config_transfer(const config_transfer& message)
{
  if (const auto* copy = std::get_if<config_copy>(&message)) {
    const QByteArray packed = qCompress(reinterpret_cast<const uchar*>(copy->text.data()),
                                        static_cast<qsizetype>(copy->text.size()));
    return encode_frame({ { "kind", COPY }, { "version", copy->version } },
                        { packed.data(), static_cast<std::size_t>(packed.size()) });
  }
  return encode_frame({ { "kind", QUESTION } }, {});
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
  if (kind == QUESTION) {
    return config_transfer(config_question{});
  }
  if (kind != COPY) {
    return bad_message();
  }
  config_copy copy;
  BOOST_LEAF_ASSIGN(copy.version, read_member<std::uint64_t>(head, "version"));
  // The library takes the announced size from the first four bytes, so it is checked before.
  static constexpr std::size_t SIZE_BYTES = 4;
  if (from.payload.size() < SIZE_BYTES) {
    return bad_message();
  }
  std::size_t announced = 0;
  for (std::size_t i = 0; i < SIZE_BYTES; ++i) {
    announced = (announced << 8U) | static_cast<unsigned char>(from.payload[i]);
  }
  if (announced > CONFIG_BYTES_MAX) {
    return leaf::new_error(frame_error{ frame_fault::too_large });
  }
  const QByteArray text = qUncompress(reinterpret_cast<const uchar*>(from.payload.data()),
                                      static_cast<qsizetype>(from.payload.size()));
  if (text.isEmpty()) {
    return bad_message();
  }
  copy.text = text.toStdString();
  return config_transfer(std::move(copy));
}

} // namespace shallotfield
