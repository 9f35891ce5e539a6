// Helpers to look at the outcome of parse functions.
#pragma once
#include <boost/leaf/handle_errors.hpp>
#include <optional>

namespace shallotfield {

/**
 * Runs a function that returns a leaf::result and gives its error.
 * @param body The function.
 * @return The error of type E; or nothing if it succeeded or failed with another type.
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
 * Runs a function that returns a leaf::result and gives its value.
 * @param body The function.
 * @return The value; or nothing if it failed.
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
