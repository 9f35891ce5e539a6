// Packs the text of a configuration for its way between proxies: whole, or as what differs from a
// version that the receiver holds.
#pragma once
#include "process/process.h"

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace shallotfield {

/** Largest configuration that is passed on, before compression. */
inline constexpr std::size_t CONFIG_BYTES_MAX = 16U << 20U;

/** Why a packed text can't be used. */
enum class packing_fault
{
  too_large,    ///< It announces more than a configuration may have.
  unknown_base, ///< It differs from a version that isn't held here.
  damaged,      ///< It can't be unpacked, or its checksum is wrong.
};

inline constexpr enum_table<packing_fault, 3> PACKING_FAULT_ROWS = { {
  { packing_fault::too_large, "too_large" },
  { packing_fault::unknown_base, "unknown_base" },
  { packing_fault::damaged, "damaged" },
} };
static_assert(is_complete(PACKING_FAULT_ROWS, packing_fault::damaged));

/** @return The name table of packing faults. */
constexpr const auto&
enum_rows(packing_fault)
{
  return PACKING_FAULT_ROWS;
}

/** A packed text that was refused. */
struct packing_error
{
  packing_fault fault; ///< What is wrong with it.
  bool operator==(const packing_error&) const = default;
};

/** A configuration on its way from one proxy to another. */
struct packed_config
{
  std::uint64_t version = 0; ///< Its version.
  std::uint64_t base = 0;    ///< Version that it differs from; 0: the text is whole.
  std::string bytes;         ///< The text, or what differs, compressed and with a checksum.
  bool operator==(const packed_config&) const = default;
};

/** The latest configurations of a proxy as texts. */
class config_history
{
public:
  /** Adds the configuration that took effect. @param version Its version. @param text Its text. */
  void add(std::uint64_t version, std::string text);

  /** @return Version of the latest configuration; 0: none. */
  std::uint64_t version() const { return texts_.empty() ? 0 : texts_.back().version; }

  /**
   * Packs the latest configuration. The result is kept, since many peers ask for the same.
   * @param base Version that the receiver holds; 0: none.
   * @return The latest configuration; whole if the base isn't held here.
   */
  const packed_config& pack(std::uint64_t base);

  /** @param from What a peer packed. @return The text; or packing_error. */
  boost::leaf::result<std::string> unpack(const packed_config& from) const;

private:
  /** One configuration. */
  struct versioned_text
  {
    std::uint64_t version = 0; ///< Its version.
    std::string text;          ///< As it stands in the store.
  };

  /** @return The text of a version; empty if it isn't held. */
  std::string_view find(std::uint64_t version) const;

  std::deque<versioned_text> texts_; ///< Latest last.
  std::deque<packed_config> packed_; ///< Of the latest version, by base.
};

} // namespace shallotfield
