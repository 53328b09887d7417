// Conversions between the flat events, actions and settings of scripted tests (support/flat_events.h) and the
// typed ones of the policy.
#pragma once
#include "policy/actions.h"
#include "policy/events.h"
#include "policy/settings.h"
#include "support/flat_events.h"

namespace dapplewharf {

PolicyEvent from_flat(const FlatEvent& event);
FlatAction to_flat(const PolicyAction& action);
/// @throws std::runtime_error if a setting of slow start or the drain grace period is missing.
Settings settings_from_map(const SettingsMap& map);

}  // namespace dapplewharf
