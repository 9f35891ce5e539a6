// The node process: the control thread and the traffic threads, which own what lives shorter.
// Only the command line includes this; it is the upper of this folder's two libraries.
#pragma once
#include "control_base.h"        // IWYU pragma: export
#include "control_thread_base.h" // IWYU pragma: export
#include "control_type.h"        // IWYU pragma: export
#include "edge_thread_base.h"    // IWYU pragma: export
#include "operators_port_base.h" // IWYU pragma: export
#include "proxy_node_base.h"     // IWYU pragma: export
#include "role_policy.h"         // IWYU pragma: export
#include "server_thread_base.h"  // IWYU pragma: export
