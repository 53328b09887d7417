// Reads the platform's JSON settings (nested objects, times in milliseconds) into the typed settings of the
// load-balancing policy. The one place where the platform's names of settings are mapped to the field's
// terms. Used by the node, the simulator's adapter and the emulator; reads no files. docs/configuration.md
// lists the settings.
#pragma once
#include <nlohmann/json_fwd.hpp>

#include "base/time.h"
#include "policy/settings.h"

namespace dapplewharf {

inline constexpr double kTicksPerMs = kMs;

/// Milliseconds as ticks of 0.1 ms, rounded down, so that no deadline and no grace grows.
[[nodiscard]] Duration ticks_of_ms(double ms);

/// The policy's settings from the platform's JSON.
/// @throws SettingsError where a setting is missing or of the wrong kind.
[[nodiscard]] Settings parse_platform_settings(const nlohmann::json& source);

}  // namespace dapplewharf
