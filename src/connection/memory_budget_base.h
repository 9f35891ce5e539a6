// Counts the memory that callers, other proxies and the server make a traffic thread hold, and
// decides who gives way when there is no more.
#pragma once
#include "process/process.h"

#include <cstddef>
#include <functional>
#include <list>
#include <memory>

namespace shallotfield {

class memory_holder;

/** Largest lease that may use the reserve of a memory_budget. */
inline constexpr std::size_t SMALL_LEASE_BYTES = 64U << 10U;

/** Time without progress after which a holder may be asked to give way. */
inline constexpr mono_ms HOLDER_STALL_MS = 500;

/**
 * The budget of one traffic thread. Memory is reserved through leases. When a reservation doesn't
 * fit, the holders that have made no progress for HOLDER_STALL_MS give way, the longest first. A
 * small part is reserved for small leases, so that large bodies don't keep out ordinary requests.
 */
class memory_budget
{
public:
  explicit memory_budget(std::size_t limit_bytes)
    : limit_bytes_(limit_bytes)
  {
  }
  memory_budget(const memory_budget&) = delete;
  memory_budget& operator=(const memory_budget&) = delete;

  std::size_t used_bytes() const { return used_bytes_; }

  /** Returns the size of the largest lease that an unused budget can grant. */
  std::size_t largest_lease_bytes() const { return limit_bytes_ - limit_bytes_ / RESERVE_DIVISOR; }

private:
  friend class memory_lease;
  friend class memory_holder;

  /** Part of the budget that only small leases may use, as a divisor. */
  static constexpr std::size_t RESERVE_DIVISOR = 16;

  /** Returns whether a lease may grow by `more` bytes to `total` bytes, after others gave way. */
  bool make_room(std::size_t more, std::size_t total, mono_ms now);

  std::size_t limit_bytes_;
  std::size_t used_bytes_ = 0;
  /** Those that can give way; the one whose latest progress is oldest comes first. */
  std::list<memory_holder*> holders_;
};

using memory_budget_ptr = std::shared_ptr<memory_budget>;

/** A number of bytes of a budget, returned when the lease ends. */
class memory_lease
{
public:
  /** Without a budget, nothing is counted and every reservation succeeds. */
  explicit memory_lease(memory_budget_ptr budget = nullptr)
    : budget_(std::move(budget))
  {
  }
  ~memory_lease() { resize(0); }
  /** The other one stays an empty lease of the same budget. */
  memory_lease(memory_lease&& other) noexcept
    : memory_lease(other.budget_)
  {
    std::swap(bytes_, other.bytes_);
  }
  memory_lease& operator=(memory_lease&& other) noexcept
  {
    if (this != &other) {
      resize(0);
      budget_ = other.budget_;
      bytes_ = std::exchange(other.bytes_, 0);
    }
    return *this;
  }
  memory_lease(const memory_lease&) = delete;
  memory_lease& operator=(const memory_lease&) = delete;

  std::size_t bytes() const { return bytes_; }

  /** Changes the size. Returns false, and changes nothing, if a larger size doesn't fit. */
  bool try_resize(std::size_t bytes, mono_ms now);

  /** Changes the size, also beyond the limit: for memory that is occupied already. */
  void resize(std::size_t bytes)
  {
    if (budget_) {
      budget_->used_bytes_ = budget_->used_bytes_ - bytes_ + bytes;
    }
    bytes_ = bytes;
  }

private:
  memory_budget_ptr budget_;
  std::size_t bytes_ = 0;
};

/** Somebody who holds memory of a budget and can return it. */
class memory_holder
{
public:
  /** `give_way` must return the holder's memory before it returns. It must not destroy holders. */
  memory_holder(memory_budget_ptr budget, std::function<void()> give_way)
    : budget_(std::move(budget))
    , give_way_(std::move(give_way))
  {
  }
  ~memory_holder() { leave(); }
  memory_holder(const memory_holder&) = delete;
  memory_holder& operator=(const memory_holder&) = delete;

  /** Records that the holder holds memory and has made progress. */
  void record_progress(mono_ms now);

  /** Enters the holder as one that holds memory, if it is not entered yet. */
  void enter(mono_ms now)
  {
    if (!is_entered_) {
      record_progress(now);
    }
  }

  /** Records that the holder holds no memory that it could return. */
  void leave();

private:
  friend class memory_budget;

  memory_budget_ptr budget_;
  std::function<void()> give_way_;
  std::list<memory_holder*>::iterator place_; ///< Its place; valid while it is entered.
  mono_ms progressed_at_ = 0;
  bool is_entered_ = false;
};

} // namespace shallotfield
