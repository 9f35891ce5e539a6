// A caller's HTTP connection on a traffic thread.
#pragma once
#include "byte_stream_base.h"
#include "http_codec.h"

#include <deque>

namespace shallotfield {

/** Number of a request on its connection. */
using request_number = std::uint64_t;

/** Limits of a caller's connection. */
struct caller_stream_limits
{
  std::uint32_t head_bytes_max; ///< Largest head of a request.
  std::uint64_t body_bytes_max; ///< Largest body of a request.
};

/**
 * Reads requests, also further ones before the first is answered, and writes the answers in the
 * order of the requests. Input that can't be read is answered here and ends the connection.
 */
class caller_stream : public std::enable_shared_from_this<caller_stream>
{
public:
  std::function<void(request_number, http_request&&)> on_request; ///< A request is complete.
  std::function<void()> on_disconnected; ///< The connection ended; open requests have no caller.
  std::function<void()> on_activity;     ///< Bytes arrived, or an answer left: timeouts begin anew.

  /** @param context The thread's context. @param limits Limits. */
  caller_stream(boost::asio::io_context& context, caller_stream_limits limits);

  /** Takes over a connection. @param socket The accepted socket. */
  void accept(boost::asio::ip::tcp::socket&& socket);

  /**
   * Answers a request.
   * @param number The request.
   * @param head Status and headers.
   * @param body Whole body.
   */
  void answer(request_number number, const response_head& head, std::string_view body);

  /** Answers what is open, then closes. Further input is not read. */
  void close_when_idle();

  /** Refuses a head that did not arrive in time, and closes. */
  void refuse_slow_head();

  /** Closes at once. */
  void abort();

  /** @return Whether no request is open and none has begun. */
  bool is_idle() const
  {
    return open_.empty() && !reader_.has_begun() && stream_->unsent_bytes() == 0;
  }

  /** @return Whether a request has begun to arrive and isn't complete. */
  bool is_reading() const { return reader_.has_begun(); }

  /** @return Requests that wait for their answer. */
  std::size_t open_requests() const { return open_.size(); }

private:
  /** A request whose answer has not been written. */
  struct open_request
  {
    request_number number = 0;           ///< Number.
    bool keep_alive = true;              ///< The connection stays open after its answer.
    bool is_head = false;                ///< Its answer has no body.
    std::optional<std::string> response; ///< Waits for those before it.
  };

  void handle_bytes(std::string_view bytes);
  void read_requests(std::string_view bytes);
  void refuse(unsigned status, std::string_view fault);
  void write_ready();

  byte_stream_ptr stream_;         ///< The connection.
  request_reader reader_;          ///< Reads requests.
  std::deque<open_request> open_;  ///< In order of arrival.
  request_number next_ = 1;        ///< Number of the next request.
  bool is_closing_ = false;        ///< No further request is read.
  bool is_reading_paused_ = false; ///< Too many requests are open; reading is paused.
};

using caller_stream_ptr = std::shared_ptr<caller_stream>;

} // namespace shallotfield
