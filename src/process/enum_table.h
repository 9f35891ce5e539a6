// Conversion between enumerators and their names through constexpr tables, and a helper for
// std::visit.
#pragma once
#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace shallotfield {

/** An enumerator and its name. */
template<typename E>
struct enum_row
{
  E value;               ///< The enumerator.
  std::string_view name; ///< Its name in logs, on the wire and in JSON.
};

/** The name table of an enum: one row per enumerator, in the order of declaration. An overload of
 * `enum_rows` returns it to enum_name() and parse_enum(). */
template<typename E, std::size_t N>
using enum_table = std::array<enum_row<E>, N>;

/**
 * Returns whether a table is complete: whether it has exactly one named row for each enumerator, in
 * the order of declaration. `last` is the last enumerator in the declaration of the enum. Each
 * table is checked by a static_assert next to it.
 */
template<typename E, std::size_t N>
constexpr bool
is_complete(const enum_table<E, N>& table, E last)
{
  if (N != static_cast<std::size_t>(last) + 1) {
    return false;
  }
  for (std::size_t i = 0; i < N; ++i) {
    if (static_cast<std::size_t>(table[i].value) != i || table[i].name.empty()) {
      return false;
    }
  }
  return true;
}

/**
 * Returns the name of an enumerator. The table is found through an overload of `enum_rows` in the
 * namespace of the enum, by argument-dependent lookup.
 */
template<typename E>
constexpr std::string_view
enum_name(E value)
{
  return enum_rows(value)[static_cast<std::size_t>(value)].name;
}

/** Returns the enumerator with exactly this name; or std::nullopt if there is none. */
template<typename E>
constexpr std::optional<E>
parse_enum(std::string_view name)
{
  for (const enum_row<E>& row : enum_rows(E{})) {
    if (row.name == name) {
      return row.value;
    }
  }
  return std::nullopt;
}

/** Combines lambdas, one for each alternative of a variant, into one visitor for std::visit. */
template<typename... Fs>
struct overloaded : Fs...
{
  using Fs::operator()...;
};
template<typename... Fs>
overloaded(Fs...) -> overloaded<Fs...>;

} // namespace shallotfield
