// Encodes and decodes news of roll-outs.
#include "rollout_news_codec.h"
#include "beacon_codec.h"
#include "datagram_format_type.h"
#include "json_reader.h"

namespace leaf = boost::leaf;
using nlohmann::json;

namespace shallotfield {

/** Version of the format. It differs from the versions of beacons and of crash records, so that
 * builds which don't know roll-outs reject the datagram. */
static constexpr std::uint64_t ROLLOUT_FORMAT_VERSION = number_of(datagram_format::rollout_news);

/** Position of the format version in a datagram, after the header of the msgpack array. */
static constexpr std::size_t FORMAT_OFFSET = 3;

/** First byte of a msgpack array whose length has 16 bits. */
static constexpr char MSGPACK_ARRAY_16 = static_cast<char>(0xdc);

/** Number of elements of a record that this build knows. Later builds may add some. */
static constexpr std::size_t RECORD_FIELDS = 14;

/** Number of records in a datagram, and size limit of a name in it. */
static constexpr std::size_t RECORDS_MAX = 16;
static constexpr std::size_t NAME_BYTES_MAX = 200;

/** Largest share of a version, in thousandths. */
static constexpr std::uint64_t SHARE_PERMILLE_MAX = 1000;

/** Largest age and duration of a roll-out. */
static constexpr std::uint64_t TIME_MS_MAX = UINT32_MAX;

static std::uint64_t
age_at(mono_ms then, mono_ms now)
{
  return std::min(static_cast<std::uint64_t>(std::max<mono_ms>(now - then, 0)), TIME_MS_MAX);
}

static json
write_record(const rollout_record& record, mono_ms now)
{
  return json::array({ record.order.service,
                       record.order.target_version,
                       record.order.number,
                       static_cast<std::uint64_t>(record.order.duration_ms),
                       age_at(record.began_at, now),
                       static_cast<std::uint64_t>(record.state),
                       record.is_stored,
                       static_cast<std::uint64_t>(record.step),
                       record.canary_turn,
                       record.server_rate,
                       record.state == rollout_state::running ? 0 : age_at(record.final_at, now),
                       record.canaries,
                       age_at(record.heard_at, now),
                       record.share_permille });
}

std::vector<std::string>
encode_rollout_news(const rollout_view& rollouts, mono_ms now)
{
  std::vector<std::string> datagrams;
  std::string records;
  std::uint16_t count = 0;
  const auto flush_datagram = [&] {
    const auto length = static_cast<std::uint16_t>(count + 1);
    std::string bytes{ MSGPACK_ARRAY_16,
                       static_cast<char>(length >> 8U),
                       static_cast<char>(length) };
    json::to_msgpack(ROLLOUT_FORMAT_VERSION, bytes);
    datagrams.push_back(bytes + records);
    records.clear();
    count = 0;
  };
  for (const auto& [service, item] : rollouts) {
    std::string record;
    json::to_msgpack(write_record(item, now), record);
    const std::size_t size = FORMAT_OFFSET + 2 + records.size() + record.size();
    if (count > 0 && (count == RECORDS_MAX || size > BEACON_DATAGRAM_BYTES_MAX)) {
      flush_datagram();
    }
    records += record;
    ++count;
  }
  if (count > 0 || datagrams.empty()) {
    flush_datagram();
  }
  return datagrams;
}

bool
has_rollout_news(std::string_view datagram)
{
  return datagram.size() > FORMAT_OFFSET && datagram.front() == MSGPACK_ARRAY_16 &&
         datagram[FORMAT_OFFSET] == static_cast<char>(ROLLOUT_FORMAT_VERSION);
}

/** Reads a name. Returns whether it is one. */
static bool
read_name(const json& item, std::string& into)
{
  const bool is_name = item.is_string() && !item.get_ref<const std::string&>().empty() &&
                       item.get_ref<const std::string&>().size() <= NAME_BYTES_MAX;
  if (is_name) {
    into = item.get<std::string>();
  }
  return is_name;
}

/** Reads a number of at most `most`. Returns whether it is one. */
template<typename T>
static bool
read_number(const json& item, std::uint64_t most, T& into)
{
  if (!item.is_number_unsigned() || item.get<std::uint64_t>() > most) {
    return false;
  }
  into = static_cast<T>(item.get<std::uint64_t>());
  return true;
}

/** Decodes one record. Returns no value if it is invalid. */
static std::optional<rollout_record>
read_record(const json& item, mono_ms now)
{
  if (!item.is_array() || item.size() < RECORD_FIELDS) {
    return std::nullopt;
  }
  rollout_record record;
  std::uint64_t age = 0;
  std::uint64_t state = 0;
  std::uint64_t step = 0;
  std::uint64_t final_age = 0;
  std::uint64_t heard_age = 0;
  const json& canaries = item[11];
  const bool is_valid =
    read_name(item[0], record.order.service) && read_name(item[1], record.order.target_version) &&
    read_number(item[2], UINT64_MAX, record.order.number) && record.order.number > 0 &&
    read_number(item[3], TIME_MS_MAX, record.order.duration_ms) &&
    read_number(item[4], TIME_MS_MAX, age) &&
    read_number(item[5], ROLLOUT_STATE_ROWS.size() - 1, state) && item[6].is_boolean() &&
    read_number(item[7], ROLLOUT_STEP_ROWS.size() - 1, step) &&
    read_number(item[8], UINT32_MAX, record.canary_turn) &&
    read_number(item[9], UINT32_MAX, record.server_rate) &&
    read_number(item[10], TIME_MS_MAX, final_age) && canaries.is_array() &&
    canaries.size() <= CANARIES_MAX && read_number(item[12], TIME_MS_MAX, heard_age) &&
    read_number(item[13], SHARE_PERMILLE_MAX, record.share_permille);
  if (!is_valid) {
    return std::nullopt;
  }
  for (const json& canary : canaries) {
    node_id id;
    if (!read_name(canary, id)) {
      return std::nullopt;
    }
    record.canaries.push_back(std::move(id));
  }
  record.state = static_cast<rollout_state>(state);
  record.step = static_cast<rollout_step>(step);
  record.is_stored = item[6].get<bool>();
  record.began_at = now - static_cast<mono_ms>(age);
  record.heard_at = now - static_cast<mono_ms>(heard_age);
  record.final_at = state == 0 ? 0 : now - static_cast<mono_ms>(final_age);
  return record;
}

leaf::result<rollout_news>
parse_rollout_news(std::string_view datagram, mono_ms now)
{
  if (datagram.size() > BEACON_DATAGRAM_BYTES_MAX) {
    return leaf::new_error(frame_error{ frame_fault::too_large });
  }
  std::optional<frame_error> error;
  const json content = decode_head(datagram, error);
  if (error) {
    return leaf::new_error(*error);
  }
  if (!content.is_array() || content.empty() || content.size() > RECORDS_MAX + 1) {
    return bad_message();
  }
  if (content[0] != ROLLOUT_FORMAT_VERSION) {
    return leaf::new_error(frame_error{ frame_fault::wrong_protocol });
  }
  rollout_news news;
  for (std::size_t i = 1; i < content.size(); ++i) {
    if (std::optional<rollout_record> record = read_record(content[i], now)) {
      news.records.push_back(std::move(*record));
    } else {
      ++news.rejected_records;
    }
  }
  return news;
}

} // namespace shallotfield
