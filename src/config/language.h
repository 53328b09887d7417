// The operators' language: text to a tree that keeps every place and every comment, and the tree back to
// text. Owns the grammar (docs/configuration.md) and nothing of what settings mean; reads no files, follows
// no includes.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dapplewharf::config {

constexpr std::size_t kLargestFile = 1 << 20;  // bytes
constexpr int kDeepest = 16;                   // blocks within blocks

struct Place {
  int file = 0;  // of those that were loaded together
  std::uint32_t line = 1, column = 1;
  bool operator==(const Place&) const = default;
};

struct Fault {
  Place place;
  std::string what;  // what is wrong; what is expected
  bool warning = false;
};

enum class Type { text, word, number, duration, size, share, rate, address, flag, list, reference };
const char* name_of(Type type);

struct Value {
  Type type = Type::text;
  Place place;
  std::size_t begin = 0, end = 0;  // of the bytes it was read from
  std::string raw;                 // as written; a text without its quotes
  double amount = 0;  // durations in ms, sizes in bytes, shares from 0 to 1, rates a second, flags 0 or 1
  std::vector<Value> items;        // of a list
  std::vector<std::string> notes;  // of a list: the comment before each item, and before the end
};

struct Item {
  enum class Kind { comment, gap, include, constant, setting, block } kind = Kind::setting;
  Place place;
  std::string name;            // of a constant, a setting or a block; a comment with its #
  std::optional<Value> value;  // of an include its path, of a block its label
  std::vector<Item> items;
  std::string note;  // a comment behind it on its line
};

struct Parsed {
  std::vector<Item> items;
  std::optional<Fault> fault;  // the first one; nothing else holds then
};

Parsed parse(std::string_view text, int file = 0);
std::string format(const std::vector<Item>& items);

// A bare word or figure by what it looks like; the reason where it looks like nothing, or is out of all
// bounds.
struct Scalar {
  Type type = Type::word;
  double amount = 0;
  std::string fault;
};
Scalar scalar_of(std::string_view raw);

// The same amount in the largest unit that keeps it whole.
std::string duration_text(double ms);
std::string size_text(double bytes);
std::string number_text(double number);
std::string in_quotes(std::string_view text);

}  // namespace dapplewharf::config
