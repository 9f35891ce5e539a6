// Frames on TCP between our processes: a msgpack head and a raw payload.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "process/process.h"
#include <nlohmann/json.hpp>

namespace shallotfield {

/** Largest head of a frame on a traffic link. */
inline constexpr std::size_t TRAFFIC_HEAD_BYTES_MAX = 256U << 10U;

/** Largest frame on a control link; a snapshot has to fit. */
inline constexpr std::size_t CONTROL_FRAME_BYTES_MAX = 16U << 20U;

/** Deepest nesting of a head. */
inline constexpr std::size_t HEAD_DEPTH_MAX = 16;

/** Why bytes from a peer are refused. The link is closed then. */
enum class frame_fault
{
  too_large,      ///< The length is above the limit; checked before memory is taken.
  bad_length,     ///< The head is longer than the frame.
  bad_head,       ///< The head is no msgpack.
  too_deep,       ///< The head is nested too deep.
  bad_message,    ///< The head is no message that this build knows.
  wrong_protocol, ///< The peer speaks another protocol version.
};

inline constexpr enum_table<frame_fault, 6> FRAME_FAULT_ROWS = { {
  { frame_fault::too_large, "too_large" },
  { frame_fault::bad_length, "bad_length" },
  { frame_fault::bad_head, "bad_head" },
  { frame_fault::too_deep, "too_deep" },
  { frame_fault::bad_message, "bad_message" },
  { frame_fault::wrong_protocol, "wrong_protocol" },
} };
static_assert(is_complete(FRAME_FAULT_ROWS, frame_fault::wrong_protocol));

/** @return The name table of frame faults. */
constexpr const auto&
enum_rows(frame_fault)
{
  return FRAME_FAULT_ROWS;
}

/** Bytes from a peer that were refused. */
struct frame_error
{
  frame_fault fault; ///< What is wrong with them.
  bool operator==(const frame_error&) const = default;
};

/** One frame. */
struct frame
{
  std::string head;    ///< msgpack.
  std::string payload; ///< Raw bytes.
  bool operator==(const frame&) const = default;
};

/** Limits of the frames that a decoder accepts, in bytes. */
struct frame_limits
{
  std::size_t head_bytes;  ///< Largest head.
  std::size_t frame_bytes; ///< Largest head and payload together.
};

/** Cuts a stream of bytes into frames. */
class frame_decoder
{
public:
  /** @param limits Limits of the frames to accept. */
  explicit frame_decoder(frame_limits limits)
    : limits_(limits)
  {
  }

  /**
   * Takes in bytes.
   * @param bytes What arrived.
   * @param frames Frames that are complete now are appended here.
   * @return Nothing, or why the stream must be closed.
   */
  std::optional<frame_error> feed(std::string_view bytes, std::vector<frame>& frames);

private:
  frame_limits limits_;  ///< Limits of the frames to accept.
  std::string buffered_; ///< Bytes of a frame that is not complete.
};

/**
 * Encodes a frame: length of the rest (4 bytes, big endian), length of the head (4 bytes, big
 * endian), head, payload.
 * @param head The head; it becomes msgpack.
 * @param payload The raw payload.
 * @return The bytes to send.
 */
std::string
encode_frame(const nlohmann::json& head, std::string_view payload);

/**
 * Decodes a head, with a limit on nesting that holds before the decoder recurses.
 * @param head msgpack from a peer.
 * @param error Gets the reason on failure.
 * @return The value; discarded on failure.
 */
nlohmann::json
decode_head(std::string_view head, std::optional<frame_error>& error);

} // namespace shallotfield
