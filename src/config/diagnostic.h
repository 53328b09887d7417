// A message about a configuration file and the place that it speaks of. Plain values; how they are printed is
// in config/document.h, and the texts' form is described in docs/configuration.md.
#pragma once
#include <cstdint>
#include <string>

namespace dapplewharf::config {

/// A position in one of the files that were loaded together.
struct Place {
  int file = 0;  // index of the file
  std::uint32_t line = 1;
  std::uint32_t column = 1;  // in bytes
  bool operator==(const Place&) const = default;
};

/// A mistake in a configuration, or a warning about it.
struct Diagnostic {
  Place place;
  std::string what;  // "what is wrong; what is expected"
  bool warning = false;
};

}  // namespace dapplewharf::config
