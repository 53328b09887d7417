// Checks all configurations of one machine together: names, listening addresses and limits that only clash
// with those of another one.
#pragma once
#include <cstddef>
#include <vector>

#include "config/document.h"

namespace dapplewharf::config {

/// A diagnostic whose place is in one of several documents.
struct MachineDiagnostic {
  std::size_t document = 0;  // index of the document
  Diagnostic diagnostic;
};

/// Reports what no document alone shows.
/// @param machine_descriptors what the machine allows in all; 0: not known, not checked.
/// @param machine_memory in bytes; 0: not known, not checked.
[[nodiscard]] std::vector<MachineDiagnostic> check_machine(const std::vector<Document>& documents,
                                                           double machine_descriptors, double machine_memory);

}  // namespace dapplewharf::config
