// Reads the events of the simulator's wire into the policy's events. The one place where the simulator's
// words for events are mapped to the field's terms. Pure.
#pragma once
#include <simdjson.h>

#include <optional>
#include <string_view>

#include "policy/events.h"

namespace dapplewharf {

/// A text field that has to be there.
/// @throws simdjson::simdjson_error where it is missing or no text.
[[nodiscard]] std::string_view needed_text(const simdjson::dom::object& from, std::string_view name);

/// The event of this verb; nothing for a verb that this adapter does not know.
/// @throws simdjson::simdjson_error or std::invalid_argument on malformed input.
[[nodiscard]] std::optional<PolicyEvent> read_event(const simdjson::dom::object& from, std::string_view verb);

}  // namespace dapplewharf
