// The body of a message, shared by all who hold it.
#pragma once
#include "memory_budget_base.h"

#include <string>
#include <string_view>

namespace shallotfield {

/**
 * A body that is not changed any more. Copies refer to the same bytes. The memory that it occupies
 * is returned to its budget with the last copy.
 */
class shared_body
{
public:
  shared_body() = default;
  /** Takes over a text and the lease of its memory. */
  shared_body(std::string text, memory_lease lease = memory_lease())
  {
    if (!text.empty() || lease.bytes() > 0) {
      content_ = std::make_shared<const content>(std::move(text), std::move(lease));
    }
  }
  shared_body(const char* text)
    : shared_body(std::string(text))
  {
  }

  std::string_view view() const
  {
    return content_ ? std::string_view(content_->text) : std::string_view();
  }
  operator std::string_view() const { return view(); }
  std::size_t size() const { return view().size(); }
  bool empty() const { return view().empty(); }

  friend bool operator==(const shared_body& left, const shared_body& right)
  {
    return left.view() == right.view();
  }
  friend bool operator==(const shared_body& left, std::string_view right)
  {
    return left.view() == right;
  }

private:
  struct content
  {
    content(std::string&& bytes, memory_lease&& memory)
      : text(std::move(bytes))
      , lease(std::move(memory))
    {
    }
    std::string text;
    memory_lease lease;
  };

  std::shared_ptr<const content> content_; ///< Null for an empty body.
};

inline std::ostream&
operator<<(std::ostream& out, const shared_body& body)
{
  return out << body.view();
}

} // namespace shallotfield
