// Tables that give each enumerator of a closed set its name.
#pragma once
#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace shallotfield {

/** One row of a name table. */
template<typename E>
struct enum_row
{
  E value;               ///< The enumerator.
  std::string_view name; ///< Its spelling in logs, on the wire and in JSON.
};

/** The name table of an enum: one row per enumerator, in order of declaration. */
template<typename E, std::size_t N>
using enum_table = std::array<enum_row<E>, N>;

/**
 * Checks that a table has one row per enumerator, in order.
 * @param table The table.
 * @param last The last enumerator that is declared.
 * @return Whether the table is complete.
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
 * Gives the name of an enumerator. The enum's table is found by argument-dependent lookup of
 * `enum_rows`.
 * @param value The enumerator.
 * @return Its name.
 */
template<typename E>
constexpr std::string_view
enum_name(E value)
{
  return enum_rows(value)[static_cast<std::size_t>(value)].name;
}

/**
 * Finds the enumerator with a name.
 * @param name The name, as it stands in the table.
 * @return The enumerator, or nothing if no row has this name.
 */
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

/** Joins lambdas into one visitor for std::visit. */
template<typename... Fs>
struct overloaded : Fs...
{
  using Fs::operator()...;
};
template<typename... Fs>
overloaded(Fs...) -> overloaded<Fs...>;

} // namespace shallotfield
