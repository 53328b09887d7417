// The settings as operators write them (nested JSON, milliseconds) to the module's plain map (our names,
// whole tenths). Used by the node and by the drill. No decisions, and no reading of files.
#pragma once
#include <nlohmann/json_fwd.hpp>

#include "policy/words.h"

namespace dapplewharf {

constexpr double kPerMs = 10.0;  // tenths in a millisecond

Tenths tenths_down(double ms);  // rounded down to a whole tenth, so that no expiry or grace grows
SettingsMap settings_of(const nlohmann::json& env);

}  // namespace dapplewharf
