// Converts events in the simulator's wire format to the policy's events. Only this module knows the
// simulator's names for events and their fields. Pure.
#pragma once
#include <simdjson.h>

#include <optional>
#include <string_view>

#include "policy/events.h"

namespace dapplewharf {

/// The value of a text field.
/// @throws simdjson::simdjson_error if it is missing or not a text.
[[nodiscard]] std::string_view required_text(const simdjson::dom::object& json, std::string_view name);

/// Reads the event with this verb; returns nothing if this adapter does not know the verb.
/// @throws simdjson::simdjson_error or std::invalid_argument on malformed input.
[[nodiscard]] std::optional<PolicyEvent> read_event(const simdjson::dom::object& json, std::string_view verb);

}  // namespace dapplewharf
