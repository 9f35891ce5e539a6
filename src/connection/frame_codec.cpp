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
frame_decoder::take_lengths(std::string_view& bytes)
{
  const std::size_t taken = std::min(LENGTH_PREFIX_BYTES - lengths_.size(), bytes.size());
  lengths_.append(bytes.substr(0, taken));
  bytes.remove_prefix(taken);
  if (lengths_.size() < LENGTH_PREFIX_BYTES) {
    return std::nullopt;
  }
  const std::size_t rest_length = qFromBigEndian<quint32>(lengths_.data());
  const std::size_t head_length = qFromBigEndian<quint32>(lengths_.data() + 4);
  if (rest_length > limits_.frame_bytes || head_length > limits_.head_bytes) {
    return frame_error{ frame_fault::too_large };
  }
  if (rest_length < 4 || head_length > rest_length - 4) {
    return frame_error{ frame_fault::bad_length };
  }
  head_bytes_ = head_length;
  payload_bytes_ = rest_length - 4 - head_length;
  reserve_payload();
  return std::nullopt;
}

void
frame_decoder::reserve_payload()
{
  if (payload_bytes_ == 0) {
    return;
  }
  if (budget_) {
    next_.lease = std::make_shared<memory_lease>(budget_);
    next_.is_payload_dropped = !next_.lease->try_resize(payload_bytes_, read_clocks().mono);
  }
  if (!next_.is_payload_dropped) {
    next_.payload.reserve(payload_bytes_);
  }
}

std::optional<frame_error>
frame_decoder::feed(std::string_view bytes, std::vector<frame>& frames)
{
  do {
    if (lengths_.size() < LENGTH_PREFIX_BYTES) {
      if (const std::optional<frame_error> error = take_lengths(bytes)) {
        return error;
      }
      if (lengths_.size() < LENGTH_PREFIX_BYTES) {
        break;
      }
    }
    const std::size_t head_taken = std::min(head_bytes_ - next_.head.size(), bytes.size());
    next_.head.append(bytes.substr(0, head_taken));
    bytes.remove_prefix(head_taken);
    const std::size_t arrived = next_.payload.size() + skipped_bytes_;
    const std::size_t payload_taken = std::min(payload_bytes_ - arrived, bytes.size());
    if (next_.is_payload_dropped) {
      skipped_bytes_ += payload_taken;
    } else {
      next_.payload.append(bytes.substr(0, payload_taken));
    }
    bytes.remove_prefix(payload_taken);
    if (next_.head.size() == head_bytes_ && arrived + payload_taken == payload_bytes_) {
      frames.push_back(std::move(next_));
      next_ = {};
      lengths_.clear();
      skipped_bytes_ = 0;
    }
  } while (!bytes.empty());
  return std::nullopt;
}

std::string
encode_frame_front(const nlohmann::json& head, std::size_t payload_bytes)
{
  std::string bytes(LENGTH_PREFIX_BYTES, '\0');
  nlohmann::json::to_msgpack(head, bytes);
  const std::size_t head_bytes = bytes.size() - LENGTH_PREFIX_BYTES;
  qToBigEndian<quint32>(static_cast<quint32>(bytes.size() - 4 + payload_bytes), bytes.data());
  qToBigEndian<quint32>(static_cast<quint32>(head_bytes), bytes.data() + 4);
  return bytes;
}

std::string
encode_frame(const nlohmann::json& head, std::string_view payload)
{
  return encode_frame_front(head, payload.size()).append(payload);
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
