// Counts the memory that callers, other proxies and the server make a traffic thread hold.
#include "memory_budget_base.h"

namespace shallotfield {

bool
memory_budget::make_room(std::size_t more, std::size_t total, mono_ms now)
{
  const std::size_t limit = total <= SMALL_LEASE_BYTES ? limit_bytes_ : largest_lease_bytes();
  if (total > limit) {
    return false;
  }
  while (used_bytes_ + more > limit) {
    if (holders_.empty() || now - holders_.front()->progressed_at_ < HOLDER_STALL_MS) {
      return false;
    }
    memory_holder* stalled = holders_.front();
    stalled->leave();
    stalled->give_way_();
  }
  return true;
}

bool
memory_lease::try_resize(std::size_t bytes, mono_ms now)
{
  if (budget_ && bytes > bytes_ && !budget_->make_room(bytes - bytes_, bytes, now)) {
    return false;
  }
  resize(bytes);
  return true;
}

void
memory_holder::record_progress(mono_ms now)
{
  if (!budget_) {
    return;
  }
  if (is_entered_) {
    budget_->holders_.splice(budget_->holders_.end(), budget_->holders_, place_);
  } else {
    place_ = budget_->holders_.insert(budget_->holders_.end(), this);
    is_entered_ = true;
  }
  progressed_at_ = now;
}

void
memory_holder::leave()
{
  if (is_entered_) {
    budget_->holders_.erase(place_);
    is_entered_ = false;
  }
}

} // namespace shallotfield
