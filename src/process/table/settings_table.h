// Default, minimum and maximum of each number setting.
#pragma once
#include "../settings_type.h"

#include <array>

namespace shallotfield {

/** A number setting. */
struct number_setting_row
{
  std::string_view key;           ///< Key in the settings file.
  std::int64_t settings::*member; ///< Member that holds the value.
  std::int64_t fallback;          ///< Value if the key is absent.
  std::int64_t minimum;           ///< Smallest valid value.
  std::int64_t maximum;           ///< Largest valid value.
};

// clang-format off
inline constexpr std::array<number_setting_row, 22> NUMBER_SETTING_ROWS = { {
  { "callers_port",          &settings::callers_port,          0,       0,     65535 },
  { "traffic_port",          &settings::traffic_port,          0,       0,     65535 },
  { "control_port",          &settings::control_port,          0,       0,     65535 },
  { "operators_port",        &settings::operators_port,        0,       0,     65535 },
  { "edge_threads",          &settings::edge_threads,          2,       1,     64 },
  { "heartbeat_ms",          &settings::heartbeat_ms,          1000,    20,    60'000 },
  { "gone_after_ms",         &settings::gone_after_ms,         8000,    100,   600'000 },
  { "log_wait_ms",           &settings::log_wait_ms,           10'000,  0,     60'000 },
  { "log_timeout_ms",        &settings::log_timeout_ms,        5000,    50,    120'000 },
  { "log_retry_ms",          &settings::log_retry_ms,          5000,    20,    120'000 },
  { "publish_timeout_ms",    &settings::publish_timeout_ms,    10'000,  100,   120'000 },
  { "snapshot_interval_ms",  &settings::snapshot_interval_ms,  600'000, 100,   86'400'000 },
  { "snapshot_records",      &settings::snapshot_records,      500,     1,     100'000 },
  { "server_lease_ms",       &settings::server_lease_ms,       3000,    100,   60'000 },
  { "body_limit_bytes",      &settings::body_limit_bytes,      1 << 20, 1024,  64 << 20 },
  { "stream_window_bytes",   &settings::stream_window_bytes,   256 << 10, 16 << 10, 16 << 20 },
  { "queue_limit",           &settings::queue_limit,           64,      0,     100'000 },
  { "bulk_slots_percent",    &settings::bulk_slots_percent,    40,      1,     100 },
  { "bulk_link_bytes_per_s", &settings::bulk_link_bytes_per_s, 1'000'000, 10'000, 1'000'000'000 },
  { "key_window_ms",         &settings::key_window_ms,         600'000, 1000,  86'400'000 },
  { "settle_ms",             &settings::settle_ms,             5000,    100,   600'000 },
  { "drain_timeout_ms",      &settings::drain_timeout_ms,      0,       0,     86'400'000 },
} };
// clang-format on

} // namespace shallotfield
