// Log events of the node that other programs look for in its log. The writer and the reader of an event share
// the name and the form from here, so that renaming an event cannot blind its reader.
#pragma once
#include <spdlog/fmt/fmt.h>

#include <string>
#include <string_view>

namespace dapplewharf {

/// A step that the request ledger refused.
inline constexpr std::string_view kRuleViolationEvent = "rule_violation";
/// An exception that the event loop caught, so that the other connections go on.
inline constexpr std::string_view kFaultContainedEvent = "fault contained";

/// The text of a log line that reports a refused step.
/// @param operation what was refused, for example "begin an attempt for".
/// @param request the client's id of the request.
/// @param violation the broken rule, or "none".
inline std::string format_rule_violation(std::string_view operation, std::string_view request,
                                         std::string_view violation) {
  return fmt::format("{} operation=\"{}\" request={} violation=\"{}\"", kRuleViolationEvent, operation,
                     request, violation);
}

/// Whether a line of a log, with whatever stands before its text, reports a refused step. The counter
/// rule_violations in a line of counters does not count.
inline bool is_rule_violation(std::string_view line) {
  return line.find(fmt::format("{} operation=", kRuleViolationEvent)) != std::string_view::npos;
}

/// Whether a line of a log reports an exception that the event loop caught.
inline bool is_contained_fault(std::string_view line) {
  return line.find(kFaultContainedEvent) != std::string_view::npos;
}

}  // namespace dapplewharf
