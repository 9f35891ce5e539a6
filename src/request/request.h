// Public header of the request layer, which makes the decisions about single requests: routing,
// server selection, admission, retries and idempotency keys.
#pragma once
#include "account_share_policy.h"         // IWYU pragma: export
#include "admission_policy.h"             // IWYU pragma: export
#include "bulk_pacing_policy.h"           // IWYU pragma: export
#include "call_policy.h"                  // IWYU pragma: export
#include "congestion_policy.h"            // IWYU pragma: export
#include "crash_policy.h"                 // IWYU pragma: export
#include "exchange_policy.h"              // IWYU pragma: export
#include "fleet_retry_policy.h"           // IWYU pragma: export
#include "key_policy.h"                   // IWYU pragma: export
#include "key_table_base.h"               // IWYU pragma: export
#include "pick_policy.h"                  // IWYU pragma: export
#include "quota_policy.h"                 // IWYU pragma: export
#include "retry_policy.h"                 // IWYU pragma: export
#include "returning_caller_policy.h"      // IWYU pragma: export
#include "rollout_policy.h"               // IWYU pragma: export
#include "route_policy.h"                 // IWYU pragma: export
#include "server_choice_policy.h"         // IWYU pragma: export
#include "server_limit_policy.h"          // IWYU pragma: export
#include "slot_policy.h"                  // IWYU pragma: export
#include "table/failure_response_table.h" // IWYU pragma: export
#include "upload_intake_policy.h"         // IWYU pragma: export
#include "zone_spill_policy.h"            // IWYU pragma: export
