// Helpers for tests of functions that return leaf::result.
#pragma once
#include <boost/leaf/handle_errors.hpp>
#include <optional>

namespace shallotfield {

/**
 * Calls a function that returns a leaf::result and returns its error; or std::nullopt if the
 * function succeeded or failed with another type than E.
 */
template<typename E, typename F>
std::optional<E>
error_of(F&& body)
{
  return boost::leaf::try_handle_all(
    [&]() -> boost::leaf::result<std::optional<E>> {
      BOOST_LEAF_CHECK(body());
      return std::optional<E>();
    },
    [](const E& error) { return std::optional<E>(error); },
    [] { return std::optional<E>(); });
}

/**
 * Calls a function that returns a leaf::result and returns its value; or std::nullopt if the
 * function failed.
 */
template<typename F>
auto
value_of(F&& body) -> std::optional<std::decay_t<decltype(body().value())>>
{
  using T = std::decay_t<decltype(body().value())>;
  return boost::leaf::try_handle_all(
    [&]() -> boost::leaf::result<std::optional<T>> {
      BOOST_LEAF_AUTO(value, body());
      return std::optional<T>(std::move(value));
    },
    [] { return std::optional<T>(); });
}

} // namespace shallotfield
