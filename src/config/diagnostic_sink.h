// Collects the diagnostics of a document while it is read and checked. Holds a reference to the document,
// which must outlive it.
#pragma once
#include <string>
#include <utility>

#include "config/document.h"

namespace dapplewharf::config {

class DiagnosticSink {
 public:
  explicit DiagnosticSink(Document& document) : document_(document) {}

  /// Adds an error. Past kMaxDiagnostics errors and warnings, further ones are dropped.
  void error(Place place, std::string what) { add({place, std::move(what), false}); }
  /// Adds a warning, within the same limit.
  void warning(Place place, std::string what) { add({place, std::move(what), true}); }

 private:
  static constexpr std::size_t kMaxDiagnostics = 200;

  void add(Diagnostic diagnostic) {
    if (document_.diagnostics.size() < kMaxDiagnostics) {
      document_.diagnostics.push_back(std::move(diagnostic));
    }
  }

  Document& document_;
};

/// "FILE:LINE" of a place in the document.
[[nodiscard]] std::string file_and_line(const Document& document, Place place);

/// " (perhaps NAME)" with the known name that is nearest to a misspelt one; empty if none is near.
[[nodiscard]] std::string suggestion(const std::string& name, const std::vector<std::string>& known);

/// The words with a separator between them.
[[nodiscard]] std::string joined(const std::vector<std::string>& words, const char* separator = ", ");

}  // namespace dapplewharf::config
