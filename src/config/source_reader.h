// Reads the files of a configuration and parses them, following includes. Owns the rules of inclusion: below
// the first file's folder, each file once, no cycles (docs/configuration.md).
#pragma once
#include <filesystem>
#include <set>
#include <string>
#include <vector>

#include "config/diagnostic_sink.h"

namespace dapplewharf::config {

/// The trees of all files of a configuration.
struct ParsedSources {
  std::vector<std::vector<Item>> files;
  bool complete = true;  // false: at least one file was read but could not be parsed
};

/// Adds the files' names and texts to a document, and what is wrong with them to its diagnostics.
class SourceReader {
 public:
  SourceReader(Document& document, DiagnosticSink& diagnostics)
      : document_(document), diagnostics_(diagnostics) {}

  /// Reads the file and all that it includes.
  [[nodiscard]] ParsedSources read_file(const std::string& path);
  /// Parses a text under a file's name.
  [[nodiscard]] ParsedSources read_text(const std::string& text, const std::string& name);

 private:
  /// @param including the files that led here, outermost first.
  /// @param include the statement that names this file, null for the first file.
  void read(const std::string& path, std::vector<std::string> including, const Item* include);
  /// Why the file cannot be included here; empty if it can, or was already (see seen_).
  [[nodiscard]] std::string inclusion_error(const std::string& path, const std::filesystem::path& real,
                                            const std::vector<std::string>& including) const;
  void follow_includes(const std::string& path, const std::vector<std::string>& including);
  void report(const std::string& path, const Item* include, const std::string& what);
  void parse_file(const std::string& text, int number);

  Document& document_;
  DiagnosticSink& diagnostics_;
  std::filesystem::path root_;  // the folder of the first file
  std::set<std::string> seen_;  // canonical paths
  ParsedSources sources_;
};

}  // namespace dapplewharf::config
