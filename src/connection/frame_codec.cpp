// Splits byte streams into frames and encodes frames.
#include "frame_codec.h"

#include <QtEndian>

namespace shallotfield {

/** Size of the two length fields of 4 bytes at the start of a frame. */
static constexpr std::size_t LENGTH_PREFIX_BYTES = 8;

/** SAX handler that builds no values and stops parsing beyond the nesting limit. */
struct depth_check
{
  std::size_t depth = 0;
  bool too_deep = false; ///< The nesting limit was exceeded.

  // The SAX interface of the library defines the names of these functions.
  bool null() { return true; }
  bool boolean(bool /*value*/) { return true; }
  bool number_integer(std::int64_t /*value*/) { return true; }
  bool number_unsigned(std::uint64_t /*value*/) { return true; }
  bool number_float(double /*value*/, const std::string& /*text*/) { return true; }
  bool string(std::string& /*value*/) { return true; }
  bool binary(std::vector<std::uint8_t>& /*value*/) { return true; }
  bool key(std::string& /*value*/) { return true; }
  bool start_object(std::size_t /*items*/) { return enter(); }
  bool start_array(std::size_t /*items*/) { return enter(); }
  bool end_object() { return leave(); }
  bool end_array() { return leave(); }
  bool parse_error(std::size_t /*at*/,
                   const std::string& /*token*/,
                   const std::exception& /*error*/)
  {
    return false;
  }

private:
  bool enter()
  {
    too_deep = ++depth > HEAD_DEPTH_MAX;
    return !too_deep;
  }
  bool leave()
  {
    --depth;
    return true;
  }
};

std::optional<frame_error>
frame_decoder::feed(std::string_view bytes, std::vector<frame>& frames)
{
  buffered_.append(bytes);
  std::size_t at = 0;
  while (buffered_.size() - at >= LENGTH_PREFIX_BYTES) {
    const std::size_t rest_length = qFromBigEndian<quint32>(buffered_.data() + at);
    const std::size_t head_length = qFromBigEndian<quint32>(buffered_.data() + at + 4);
    if (rest_length > limits_.frame_bytes || head_length > limits_.head_bytes) {
      return frame_error{ frame_fault::too_large };
    }
    if (rest_length < 4 || head_length > rest_length - 4) {
      return frame_error{ frame_fault::bad_length };
    }
    if (buffered_.size() - at < 4 + rest_length) {
      break;
    }
    frames.push_back(
      { buffered_.substr(at + LENGTH_PREFIX_BYTES, head_length),
        buffered_.substr(at + LENGTH_PREFIX_BYTES + head_length, rest_length - 4 - head_length) });
    at += 4 + rest_length;
  }
  buffered_.erase(0, at);
  return std::nullopt;
}

std::string
encode_frame(const nlohmann::json& head, std::string_view payload)
{
  std::string bytes(LENGTH_PREFIX_BYTES, '\0');
  nlohmann::json::to_msgpack(head, bytes);
  const std::size_t head_bytes = bytes.size() - LENGTH_PREFIX_BYTES;
  bytes.append(payload);
  qToBigEndian<quint32>(static_cast<quint32>(bytes.size() - 4), bytes.data());
  qToBigEndian<quint32>(static_cast<quint32>(head_bytes), bytes.data() + 4);
  return bytes;
}

nlohmann::json
decode_head(std::string_view head, std::optional<frame_error>& error)
{
  using nlohmann::json;
  depth_check check;
  if (!json::sax_parse(head, &check, json::input_format_t::msgpack)) {
    error = frame_error{ check.too_deep ? frame_fault::too_deep : frame_fault::bad_head };
    return json(json::value_t::discarded);
  }
  json value = json::from_msgpack(head, true, false);
  if (value.is_discarded()) {
    error = frame_error{ frame_fault::bad_head };
  }
  return value;
}

} // namespace shallotfield
