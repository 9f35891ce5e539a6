// HTTP connection of a caller on a traffic thread.
#pragma once
#include "byte_stream_base.h"
#include "http_codec.h"
#include "memory_budget_base.h"

#include <deque>

namespace shallotfield {

/** Sequence number of a request on its connection, starting at 1. */
using request_number = std::uint64_t;

/**
 * Limits on the requests of a caller. Larger requests are answered with status 431 (head) or 413
 * (body).
 */
struct caller_stream_limits
{
  std::uint32_t head_bytes_max;
  std::uint64_t body_bytes_max;
};

/**
 * Parses requests, including pipelined ones, and writes the responses in the order of the requests.
 * Invalid input is answered with an error status, after which the connection is closed.
 */
class caller_stream : public std::enable_shared_from_this<caller_stream>
{
public:
  /** A complete request arrived. The lease is that of its memory. */
  std::function<void(request_number, http_request&&, memory_lease&&)> on_request;
  /** The connection ended; open requests can no longer be answered. */
  std::function<void()> on_disconnected;
  /** Data arrived or a response was sent; the owner restarts its timeouts. */
  std::function<void()> on_activity;

  /** Callbacks run on the thread of this context. Requests and responses count toward `budget`. */
  caller_stream(
    boost::asio::io_context& context,
    caller_stream_limits limits,
    const memory_budget_ptr& budget = nullptr,
    std::shared_ptr<refused_input_log> refusals = std::make_shared<refused_input_log>());

  /** Takes ownership of an accepted socket and starts to read. */
  void accept(boost::asio::ip::tcp::socket&& socket);

  /**
   * Responds to a request. The response is buffered until all earlier requests on the connection
   * are answered. Content-Length is set to the size of the body if the status allows one. The
   * response to a HEAD request is sent without the body and keeps the Content-Length of `head`.
   * Does nothing if the request is not open.
   */
  void respond(request_number number, const response_head& head, const shared_body& body);

  /** Replaces the limits; see request_reader::set_limits(). */
  void set_limits(caller_stream_limits limits)
  {
    reader_.set_limits(limits.body_bytes_max, limits.head_bytes_max);
  }

  /** Accepts no further requests, and closes the connection when all open ones are answered. */
  void close_when_idle();

  /**
   * Responds to a partially received request with status 408 and closes the connection. Called by
   * the owner when the rest of the request did not arrive in time.
   */
  void refuse_slow_request();

  /** Returns the number of bytes of responses that have not been passed to the kernel yet. */
  std::size_t unsent_bytes() const { return stream_->unsent_bytes(); }

  /** Closes the connection immediately. No callback follows. */
  void abort();

  /** Returns whether no request is open or partially received, and all responses were sent. */
  bool is_idle() const
  {
    return open_.empty() && !reader_.has_partial_request() && stream_->unsent_bytes() == 0;
  }

  /** Returns whether a request was received partially and its caller has to send the rest. While
   * reading is paused, the caller isn't the one that is waited for. */
  bool has_partial_request() const { return !is_reading_paused_ && reader_.has_partial_request(); }

  /** Returns whether no further request is read: what arrives is discarded. */
  bool is_closing() const { return is_closing_; }

  /** Returns the number of requests that have not been answered. */
  std::size_t open_requests() const { return open_.size(); }

private:
  /** A request whose response has not been sent. */
  struct open_request
  {
    request_number number = 0;
    bool keep_alive = true;       ///< The connection stays open after the response.
    bool is_head_request = false; ///< The response has no body.
    std::size_t body_bytes = 0;   ///< Size of the body of the request, until it is answered.
    /** Encoded head of the response, which waits for those of earlier requests. */
    std::optional<std::string> response;
    shared_body response_body;
  };

  void handle_bytes(std::string_view bytes);
  void read_requests(std::string_view bytes);
  /** Counts the memory of the request that is arriving. Refuses it if there is no room. */
  void count_partial_request(std::size_t new_bytes);
  /** Returns the lease for a complete request. */
  memory_lease lease_for(const http_request& request);
  /** Returns memory, because others need it and this connection has made no progress. */
  void give_way();
  /** Records that bytes were received or sent. Only larger numbers of them are progress. */
  void record_bytes(std::size_t bytes);
  void update_holder();
  void pause_stream();
  /** Returns whether the open requests and their responses occupy too much to read further ones. */
  bool holds_much() const;
  void resume_reading();
  void refuse(unsigned status, std::string_view fault);
  void send_ready_responses();

  byte_stream_ptr stream_;
  request_reader reader_;
  memory_budget_ptr budget_;
  std::shared_ptr<refused_input_log> refusals_; ///< Limits the log lines about refused requests.
  memory_lease partial_lease_;                  ///< Memory of the request that is arriving.
  memory_holder holder_;                        ///< This connection, as one that can give way.
  std::size_t marked_bytes_ = 0;  ///< Bytes received and sent since the latest progress.
  std::size_t open_bytes_ = 0;    ///< Bodies of open requests, and of responses that wait.
  std::deque<open_request> open_; ///< In order of arrival.
  request_number next_ = 1;       ///< Number of the next request.
  bool is_closing_ = false;       ///< Further requests are ignored.
  /** No further request is processed: too many open requests or too much unsent data. */
  bool is_reading_paused_ = false;
};

using caller_stream_ptr = std::shared_ptr<caller_stream>;

} // namespace shallotfield
