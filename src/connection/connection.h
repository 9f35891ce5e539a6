// Public header of the connection library: sockets, HTTP, frames and messages. Its objects live as
// long as one connection, except for the timer queue, which lives as long as its thread.
#pragma once
#include "beacon_codec.h"          // IWYU pragma: export
#include "byte_stream_base.h"      // IWYU pragma: export
#include "caller_stream_base.h"    // IWYU pragma: export
#include "config_transfer_codec.h" // IWYU pragma: export
#include "control_message_codec.h" // IWYU pragma: export
#include "control_message_type.h"  // IWYU pragma: export
#include "crash_report_codec.h"    // IWYU pragma: export
#include "frame_codec.h"           // IWYU pragma: export
#include "framed_socket_base.h"    // IWYU pragma: export
#include "http_client_base.h"      // IWYU pragma: export
#include "http_codec.h"            // IWYU pragma: export
#include "http_session_base.h"     // IWYU pragma: export
#include "http_type.h"             // IWYU pragma: export
#include "memory_budget_base.h"    // IWYU pragma: export
#include "peer_stream_base.h"      // IWYU pragma: export
#include "quota_codec.h"           // IWYU pragma: export
#include "response_memory.h"       // IWYU pragma: export
#include "rollout_news_codec.h"    // IWYU pragma: export
#include "server_stream_base.h"    // IWYU pragma: export
#include "shared_body_type.h"      // IWYU pragma: export
#include "timer_queue_base.h"      // IWYU pragma: export
#include "traffic_message_codec.h" // IWYU pragma: export
#include "traffic_message_type.h"  // IWYU pragma: export
