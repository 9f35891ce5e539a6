// Public header of the configuration: documents and compiled versions, which live as long as a
// configuration version, and the log records and replicated state that the versions result from.
#pragma once
#include "compiled_version_base.h"  // IWYU pragma: export
#include "config_packing.h"         // IWYU pragma: export
#include "config_review.h"          // IWYU pragma: export
#include "document_func.h"          // IWYU pragma: export
#include "document_type.h"          // IWYU pragma: export
#include "record_codec.h"           // IWYU pragma: export
#include "record_type.h"            // IWYU pragma: export
#include "replicated_config_base.h" // IWYU pragma: export
#include "route_table_type.h"       // IWYU pragma: export
