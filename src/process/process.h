// Public header of the lower of the two libraries of this folder: the parts that the threads
// of a node and the proxy are built on, such as settings, logging, metrics, clocks, membership and
// the client of the log service.
#pragma once
#include "beacon_relay.h"            // IWYU pragma: export
#include "beacon_type.h"             // IWYU pragma: export
#include "bounded_json.h"            // IWYU pragma: export
#include "census_type.h"             // IWYU pragma: export
#include "clock_type.h"              // IWYU pragma: export
#include "config_follower_base.h"    // IWYU pragma: export
#include "crash_registry.h"          // IWYU pragma: export
#include "enum_table.h"              // IWYU pragma: export
#include "log_func.h"                // IWYU pragma: export
#include "log_rate_limiter.h"        // IWYU pragma: export
#include "log_service_client_base.h" // IWYU pragma: export
#include "log_service_type.h"        // IWYU pragma: export
#include "log_type.h"                // IWYU pragma: export
#include "member_type.h"             // IWYU pragma: export
#include "membership_base.h"         // IWYU pragma: export
#include "metrics_func.h"            // IWYU pragma: export
#include "metrics_type.h"            // IWYU pragma: export
#include "pause_monitor.h"           // IWYU pragma: export
#include "peer_table_base.h"         // IWYU pragma: export
#include "proxy_settings.h"          // IWYU pragma: export
#include "quota_control.h"           // IWYU pragma: export
#include "quota_fleet.h"             // IWYU pragma: export
#include "quota_ledger.h"            // IWYU pragma: export
#include "quota_limits_table.h"      // IWYU pragma: export
#include "quota_type.h"              // IWYU pragma: export
#include "refused_input_log.h"       // IWYU pragma: export
#include "rollout_controller.h"      // IWYU pragma: export
#include "rollout_standing.h"        // IWYU pragma: export
#include "rollout_type.h"            // IWYU pragma: export
#include "server_watch_base.h"       // IWYU pragma: export
#include "settings_func.h"           // IWYU pragma: export
#include "settings_type.h"           // IWYU pragma: export
