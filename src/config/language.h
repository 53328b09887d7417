// The operators' configuration language: text to a tree that keeps every place and every comment, and the
// tree back to text. Owns the grammar (docs/configuration.md) and nothing of what settings mean; reads no
// files, follows no includes.
#pragma once
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/diagnostic.h"
#include "config/values.h"

namespace dapplewharf::config {

constexpr std::size_t kMaxFileBytes = 1 << 20;
constexpr int kMaxBlockDepth = 16;  // blocks within blocks

/// One statement of a file, a comment, or a gap between statements.
struct Item {
  enum class Kind { comment, gap, include, constant, setting, block } kind = Kind::setting;
  Place place;
  std::string name;            // of a constant, a setting or a block; a comment with its #
  std::optional<Value> value;  // of an include its path, of a block its label
  std::vector<Item> items;     // of a block
  std::string note;            // the comment behind it on its line
};

/// The tree of one file.
struct Parsed {
  std::vector<Item> items;
  std::optional<Diagnostic> error;  // the first one; the items are incomplete then
};

/// Parses the text of one file.
/// @param file_number the file's index, for the places in the result.
[[nodiscard]] Parsed parse(std::string_view text, int file_number = 0);

/// Writes a tree in the canonical layout; parsing the result gives the same tree.
[[nodiscard]] std::string format(const std::vector<Item>& items);

}  // namespace dapplewharf::config
