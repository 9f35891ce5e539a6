// Frames in which nodes exchange messages over TCP. A frame consists of a head, which is a msgpack
// document, and a payload of raw bytes.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "memory_budget_base.h"
#include <nlohmann/json.hpp>

namespace shallotfield {

/** Size limit of the head of a frame on a traffic link. */
inline constexpr std::size_t TRAFFIC_HEAD_BYTES_MAX = 1U << 20U;

/** Size limit of a frame on a control link. A configuration snapshot has to fit. */
inline constexpr std::size_t CONTROL_FRAME_BYTES_MAX = 16U << 20U;

/** Nesting limit of a head, which bounds the recursion of its decoder. */
inline constexpr std::size_t HEAD_DEPTH_MAX = 16;

/** Why data from a peer is rejected. The connection is closed in each case. */
enum class frame_fault
{
  too_large,      ///< A length exceeds the limit; detected before memory is allocated.
  bad_length,     ///< The head does not fit into the frame.
  bad_head,       ///< The head is not valid msgpack.
  too_deep,       ///< The head is nested too deeply.
  bad_message,    ///< The head is not a valid message of a type that this build knows.
  wrong_protocol, ///< The peer uses another version of the protocol.
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

/** Returns the name table of frame faults. */
constexpr const auto&
enum_rows(frame_fault)
{
  return FRAME_FAULT_ROWS;
}

/** Error of the decoding functions: data from a peer was rejected. */
struct frame_error
{
  frame_fault fault;
  bool operator==(const frame_error&) const = default;
};

struct frame
{
  std::string head; ///< A msgpack document.
  std::string payload;
  std::shared_ptr<memory_lease> lease =
    nullptr;                       ///< Memory of the payload; null if it is not counted.
  bool is_payload_dropped = false; ///< There was no memory for the payload.
  bool operator==(const frame&) const = default;
};

/** Size limits for received frames. */
struct frame_limits
{
  std::size_t head_bytes;
  std::size_t frame_bytes; ///< Everything after the first length field of a frame.
};

/** Splits a byte stream into frames. */
class frame_decoder
{
public:
  /** Payloads count toward `budget`. One that doesn't fit is skipped. */
  explicit frame_decoder(frame_limits limits, memory_budget_ptr budget = nullptr)
    : limits_(limits)
    , budget_(std::move(budget))
  {
  }

  /**
   * Processes received data and appends the frames that it completes to `frames`, including those
   * that precede invalid data. Returns the error if the data is invalid; the connection must then
   * be closed.
   */
  std::optional<frame_error> feed(std::string_view bytes, std::vector<frame>& frames);

private:
  /** Takes the length fields of the next frame. Returns an error if they are invalid. */
  std::optional<frame_error> take_lengths(std::string_view& bytes);
  void reserve_payload();

  frame_limits limits_;
  memory_budget_ptr budget_;
  std::string lengths_;           ///< The length fields, as far as they have arrived.
  std::size_t head_bytes_ = 0;    ///< Size of the head, once the length fields are complete.
  std::size_t payload_bytes_ = 0; ///< The same of the payload.
  std::size_t skipped_bytes_ = 0; ///< Bytes of a dropped payload that have arrived.
  frame next_;                    ///< The frame, as far as it has arrived.
};

/**
 * Encodes a frame: length of everything after this field (4 bytes), length of the head (4 bytes),
 * head, payload. Lengths are unsigned and big-endian. Returns the bytes to send.
 */
std::string
encode_frame(const nlohmann::json& head, std::string_view payload);

/** Encodes a frame without its payload, which has to follow. */
std::string
encode_frame_front(const nlohmann::json& head, std::size_t payload_bytes);

/**
 * Decodes the head of a received frame. The nesting limit is checked before the recursive decoder
 * runs. Returns the decoded value. On failure, sets `error` and returns a value of type
 * `discarded`.
 */
nlohmann::json
decode_head(std::string_view head, std::optional<frame_error>& error);

} // namespace shallotfield
