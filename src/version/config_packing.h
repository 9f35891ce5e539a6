// Compresses the text of a configuration for the transfer between proxies, either complete or as a
// delta to a version that the receiver holds.
#pragma once
#include "process/process.h"

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace shallotfield {

/** Maximum size of a configuration that is transferred between proxies, before compression. */
inline constexpr std::size_t CONFIG_BYTES_MAX = 16U << 20U;

/** Why a packed configuration is rejected. */
enum class packing_fault
{
  too_large,    ///< Its uncompressed size exceeds CONFIG_BYTES_MAX.
  unknown_base, ///< It is a delta to a version that this proxy does not hold.
  damaged,      ///< It cannot be decompressed, or its checksum is wrong.
};

inline constexpr enum_table<packing_fault, 3> PACKING_FAULT_ROWS = { {
  { packing_fault::too_large, "too_large" },
  { packing_fault::unknown_base, "unknown_base" },
  { packing_fault::damaged, "damaged" },
} };
static_assert(is_complete(PACKING_FAULT_ROWS, packing_fault::damaged));

/** Returns the name table of packing faults. */
constexpr const auto&
enum_rows(packing_fault)
{
  return PACKING_FAULT_ROWS;
}

/** The error for a packed configuration that was rejected. */
struct packing_error
{
  packing_fault fault; ///< Reason of the rejection.
  bool operator==(const packing_error&) const = default;
};

/** A configuration that is compressed for the transfer from one proxy to another. */
struct packed_config
{
  std::uint64_t version = 0; ///< Version of the configuration.
  std::uint64_t base = 0;    ///< Version to which it is a delta; 0: the complete text.
  std::string bytes;         ///< Compressed text or delta, with a checksum of the text.
  bool operator==(const packed_config&) const = default;
};

/** The texts of the latest configurations of a proxy. They serve as bases of deltas, both for the
 * configurations that it sends and for those that it receives. */
class config_history
{
public:
  /** Adds a configuration that took effect, and removes the oldest one if there are too many. */
  void add(std::uint64_t version, std::string text);

  /** Returns the version of the latest configuration; 0: none. */
  std::uint64_t version() const { return texts_.empty() ? 0 : texts_.back().version; }

  /**
   * Packs the latest configuration as a delta to `base`, the version that the receiver holds (0:
   * none). If this proxy does not hold the base, the complete text is packed. The result is cached,
   * because many peers request the same delta, and stays valid until the next call of add().
   */
  const packed_config& pack(std::uint64_t base);

  /** Returns the text of a configuration that a peer packed. On failure the error is a
   * packing_error. */
  boost::leaf::result<std::string> unpack(const packed_config& from) const;

private:
  /** The text of one version. */
  struct versioned_text
  {
    std::uint64_t version = 0; ///< Version of the configuration.
    std::string text;          ///< Text as the store holds it.
  };

  /** Returns the text of a version, or an empty one if it is not stored. */
  std::string_view find(std::uint64_t version) const;

  std::deque<versioned_text> texts_; ///< Texts of the latest versions, latest last.
  std::deque<packed_config> packed_; ///< Cached results of pack(), one per base.
};

} // namespace shallotfield
