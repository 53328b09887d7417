// Checks that the settings of one configuration agree with each other: deadlines and objectives, tenants'
// shares, routes, limits, rules. Single settings were checked before, by config/schema_checks.h.
#pragma once
#include "config/diagnostic_sink.h"

namespace dapplewharf::config {

/// Reports to the sink what does not agree. The operators' own file has nothing to check here.
void check_consistency(const Document& document, DiagnosticSink& diagnostics);

}  // namespace dapplewharf::config
