// Public header of the upper of the two libraries of this folder: the proxy, and the control thread
// and the traffic threads of a node, which own the objects that serve requests and links.
// Outside this library, only the command line and tests include this header.
#pragma once
#include "control_base.h"        // IWYU pragma: export
#include "control_thread_base.h" // IWYU pragma: export
#include "control_type.h"        // IWYU pragma: export
#include "edge_thread_base.h"    // IWYU pragma: export
#include "operator_api_base.h"   // IWYU pragma: export
#include "proxy_node_base.h"     // IWYU pragma: export
#include "role_policy.h"         // IWYU pragma: export
#include "server_thread_base.h"  // IWYU pragma: export
