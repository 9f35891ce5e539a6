// Limits the memory of the incomplete responses of one traffic thread.
#pragma once
#include <cstddef>
#include <memory>

namespace shallotfield {

/**
 * Counts the bytes of all responses that a server has begun and not completed. A server may send
 * without end on all its connections at once, so a limit for each response is not enough. Once the
 * sum exceeds the limit, responses with more than an equal share of it may not grow, so that a
 * large response doesn't fail the small ones beside it. The sum stays below twice the limit.
 */
class response_memory
{
public:
  explicit response_memory(std::size_t limit_bytes)
    : limit_bytes_(limit_bytes)
  {
  }

  /** Returns whether a response of `own_bytes`, which are counted already, may be kept. */
  bool may_keep(std::size_t own_bytes) const
  {
    return used_bytes_ <= limit_bytes_ || own_bytes <= limit_bytes_ / responses_;
  }

  std::size_t used_bytes() const { return used_bytes_; }

private:
  friend class response_lease;

  std::size_t limit_bytes_;
  std::size_t used_bytes_ = 0; ///< Sum over the responses.
  std::size_t responses_ = 0;  ///< Number of responses that have begun.
};

/** The part of the memory that one response occupies, which is returned when it ends. */
class response_lease
{
public:
  /** Without `memory`, nothing is counted and every response may be kept. */
  explicit response_lease(std::shared_ptr<response_memory> memory)
    : memory_(std::move(memory))
  {
  }
  ~response_lease() { release(); }
  response_lease(const response_lease&) = delete;
  response_lease& operator=(const response_lease&) = delete;

  /** Counts further bytes. Returns whether the response may be kept. */
  bool add(std::size_t bytes)
  {
    if (!memory_) {
      return true;
    }
    memory_->responses_ += is_counted_ ? 0 : 1;
    is_counted_ = true;
    bytes_ += bytes;
    memory_->used_bytes_ += bytes;
    return memory_->may_keep(bytes_);
  }

  /** Returns the memory, because the response has ended. */
  void release()
  {
    if (is_counted_) {
      memory_->used_bytes_ -= bytes_;
      --memory_->responses_;
    }
    bytes_ = 0;
    is_counted_ = false;
  }

private:
  std::shared_ptr<response_memory> memory_;
  std::size_t bytes_ = 0;   ///< Bytes of the response so far.
  bool is_counted_ = false; ///< Whether the response is among those of the memory.
};

} // namespace shallotfield
