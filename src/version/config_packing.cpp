// Delta compression of configurations with zstd.
#include "config_packing.h"

#include <bit>
#include <boost/leaf/error.hpp>
#include <memory>
#include <zstd.h>

namespace leaf = boost::leaf;

namespace shallotfield {

/** Number of versions whose texts are stored as bases for deltas. Proxies rarely miss more versions
 * than this; those that do receive the complete text. */
static constexpr std::size_t HISTORY_VERSIONS_MAX = 12;

/** Compression level of zstd, in the range 1 to 22. Higher levels take more time than the transfer
 * of the bytes that they save. */
static constexpr int COMPRESSION_LEVEL = 3;

using compressor_ptr = std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)>;
using decompressor_ptr = std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)>;

/** Returns the base-2 logarithm of a window that spans the base and the text, so that the
 * compressor searches all of both for matches. */
static int
window_log(std::size_t base_bytes, std::size_t text_bytes)
{
  static constexpr int WINDOW_LOG_MIN = 10; // ZSTD_WINDOWLOG_MIN, the minimum that zstd accepts.
  return std::max(static_cast<int>(std::bit_width(base_bytes + text_bytes)), WINDOW_LOG_MIN);
}

/** Compresses a text as a delta to a base, so that parts that also occur in the base cost only a
 * few bytes. With an empty base the complete text is compressed. */
static std::string
compress(std::string_view text, std::string_view base)
{
  const compressor_ptr context(ZSTD_createCCtx(), &ZSTD_freeCCtx);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, COMPRESSION_LEVEL);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, window_log(base.size(), text.size()));
  if (!base.empty()) {
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
    ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
  }
  std::string packed(ZSTD_compressBound(text.size()), '\0');
  const std::size_t bytes =
    ZSTD_compress2(context.get(), packed.data(), packed.size(), text.data(), text.size());
  // The buffer has the size that zstd requires, so compression fails only for lack of memory.
  packed.resize(ZSTD_isError(bytes) != 0 ? 0 : bytes);
  return packed;
}

void
config_history::add(std::uint64_t version, std::string text)
{
  texts_.push_back({ version, std::move(text) });
  if (texts_.size() > HISTORY_VERSIONS_MAX) {
    texts_.pop_front();
  }
  packed_.clear();
}

std::string_view
config_history::find(std::uint64_t version) const
{
  const auto found = std::find_if(
    texts_.begin(), texts_.end(), [version](const auto& item) { return item.version == version; });
  return found == texts_.end() ? std::string_view() : found->text;
}

const packed_config&
config_history::pack(std::uint64_t base)
{
  const std::string_view base_text = find(base);
  const std::uint64_t known_base = base_text.empty() ? 0 : base;
  const auto found = std::find_if(packed_.begin(), packed_.end(), [&](const packed_config& item) {
    return item.base == known_base;
  });
  if (found != packed_.end()) {
    return *found;
  }
  const std::string_view text = texts_.empty() ? std::string_view() : texts_.back().text;
  return packed_.emplace_back(packed_config{ version(), known_base, compress(text, base_text) });
}

leaf::result<std::string>
config_history::unpack(const packed_config& from) const
{
  const std::string_view base = find(from.base);
  if (from.base != 0 && base.empty()) {
    return leaf::new_error(packing_error{ packing_fault::unknown_base });
  }
  const unsigned long long bytes = ZSTD_getFrameContentSize(from.bytes.data(), from.bytes.size());
  if (bytes == ZSTD_CONTENTSIZE_ERROR || bytes == ZSTD_CONTENTSIZE_UNKNOWN || bytes == 0) {
    return leaf::new_error(packing_error{ packing_fault::damaged });
  }
  if (bytes > CONFIG_BYTES_MAX) {
    return leaf::new_error(packing_error{ packing_fault::too_large });
  }
  const decompressor_ptr context(ZSTD_createDCtx(), &ZSTD_freeDCtx);
  ZSTD_DCtx_setParameter(
    context.get(), ZSTD_d_windowLogMax, window_log(CONFIG_BYTES_MAX, CONFIG_BYTES_MAX));
  if (!base.empty()) {
    ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
  }
  std::string text(bytes, '\0');
  const std::size_t read = ZSTD_decompressDCtx(
    context.get(), text.data(), text.size(), from.bytes.data(), from.bytes.size());
  if (ZSTD_isError(read) != 0 || read != text.size()) {
    return leaf::new_error(packing_error{ packing_fault::damaged });
  }
  return text;
}

} // namespace shallotfield
