// Output of the counters as log lines. See docs/oncall.md, "Counters".
#include "base/counters.h"

#include <spdlog/fmt/fmt.h>

#include <string_view>

namespace dapplewharf {
namespace {

// The line with the former names groups its counters under headings.
// @return the heading to print before a counter, empty unless the counter is the first of its group.
std::string_view group_heading(std::string_view former_name) {
  if (former_name == "accepted") {
    return " taken-in";
  }
  if (former_name == "tries") {
    return " | sent";
  }
  if (former_name == "up") {
    return " | tries";
  }
  if (former_name == "honoured") {
    return " | answered";
  }
  if (former_name == "told") {
    return " | words";
  }
  return former_name == "accept-failures" ? " | faults" : "";
}

}  // namespace

std::string Counters::format() const {
  std::string line = "counters";
  for (const CounterDescription& counter : kCounterTable) {
    line += fmt::format(" {}={}", counter.name, this->*counter.value);
  }
  return line;
}

std::string Counters::format_with_former_names() const {
  std::string line = "counters";
  for (const CounterDescription& counter : kCounterTable) {
    line += group_heading(counter.former_name);
    line += fmt::format(" {}={}", counter.former_name, this->*counter.value);
  }
  return line;
}

}  // namespace dapplewharf
