// What the tests of src/config share: a folder of their own, a configuration without faults, and
// configurations that are drawn from the schema. Settings are drawn in any order and form, with comments.
#pragma once
#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

#include "config/document.h"

namespace dapplewharf::config {

namespace fs = std::filesystem;

inline std::string text_of(const fs::path& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

/// A new folder, removed with its contents at the end.
struct Folder {
  fs::path path = fs::path(testing::TempDir()) / ("dapplewharf-sidecar-" + std::to_string(getpid()));
  Folder() {
    fs::remove_all(path);
    fs::create_directories(path / "more");
  }
  ~Folder() { fs::remove_all(path); }
  std::string put(const std::string& name, const std::string& text) const {
    std::ofstream(path / name, std::ios::binary) << text;
    return (path / name).string();
  }
};

/// The profile plain.dw, which has no errors.
inline const std::string kGood = text_of(fs::path(PROFILES) / "plain.dw");

/// The first error as "FILE:LINE:COLUMN: what"; empty if there is none.
inline std::string first_error(const Document& document) {
  for (const Diagnostic& diagnostic : document.diagnostics) {
    if (!diagnostic.warning) {
      return format_diagnostic(document, diagnostic, false);
    }
  }
  return "";
}

}  // namespace dapplewharf::config
