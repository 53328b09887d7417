// A configuration as a whole: its files with what they include, constants substituted, and every setting
// checked. Owns the result of reading and the order of the checks (docs/configuration.md): source files,
// constants, schema, consistency. All diagnostics are reported at once. Never changes a file.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "config/schema.h"

namespace dapplewharf::config {

/// One setting of a block, of a type and within the bounds that the schema asks for.
struct Setting {
  const Row* row = nullptr;
  Place place;
  Value value;  // with constants substituted
};

/// One block and its settings.
struct Block {
  const BlockRow* row = nullptr;
  Place place;
  std::string label;
  std::vector<Setting> settings;

  /// The setting as written, null if it is not.
  [[nodiscard]] const Setting* find(const std::string& name) const;
  /// The value in force, written or by default; nothing if there is neither.
  [[nodiscard]] std::optional<Value> value(const std::string& name) const;
  /// The amount of value(), in the unit of Value::amount; 0 if there is none.
  [[nodiscard]] double amount(const std::string& name) const;
  /// The text of value(); empty if there is none.
  [[nodiscard]] std::string word(const std::string& name) const;
};

/// What a configuration is for.
enum class Use {
  sidecar,   // a whole configuration
  operators  // the operators' own file beside the platform's configuration
};

struct Document {
  Use use = Use::sidecar;
  std::vector<std::string> files;  // as named
  std::vector<std::string> texts;  // as read, one for each file
  std::vector<Block> blocks;
  std::vector<Diagnostic> diagnostics;  // errors and warnings, by place

  /// Whether there are no errors; warnings may stand.
  [[nodiscard]] bool good() const;
  /// The first block of this kind, null if there is none.
  [[nodiscard]] const Block* find(const std::string& block) const;
  /// All blocks of this kind, in the order of their places.
  [[nodiscard]] std::vector<const Block*> all(const std::string& block) const;
};

/// Reads a file with everything that it includes, and checks it.
[[nodiscard]] Document load(const std::string& path, Use use = Use::sidecar);
/// Checks a text under the name given; includes in it are not followed.
[[nodiscard]] Document load_text(const std::string& text, const std::string& name, Use use = Use::sidecar);

/// A diagnostic as "FILE:LINE:COLUMN: what".
/// @param with_line adds the line of the file, if there is one, and a caret below the column.
[[nodiscard]] std::string format_diagnostic(const Document& document, const Diagnostic& diagnostic,
                                            bool with_line);

}  // namespace dapplewharf::config
