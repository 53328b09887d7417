// Printing of the counters. Design: docs/oncall.md, "Counters".
#include "base/counters.h"

#include <spdlog/fmt/fmt.h>

#include <string_view>

namespace dapplewharf {
namespace {

// Where the line with the former names began a new group, by the former name of the group's first counter.
std::string_view group_before(std::string_view former_name) {
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
    line += group_before(counter.former_name);
    line += fmt::format(" {}={}", counter.former_name, this->*counter.value);
  }
  return line;
}

}  // namespace dapplewharf
