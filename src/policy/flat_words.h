// Conversions between the earlier flat words (policy/words.h) and the typed events, actions and settings.
// Temporary: gone once no caller uses the flat ones.
#pragma once
#include "policy/actions.h"
#include "policy/events.h"
#include "policy/settings.h"
#include "policy/words.h"

namespace dapplewharf {

PolicyEvent from_flat(const Event& event);
Action to_flat(const PolicyAction& action);
Settings settings_from_map(const SettingsMap& from);

}  // namespace dapplewharf
