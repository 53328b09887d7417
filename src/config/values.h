// Values of the configuration language: the types, how a bare word or figure is read with its unit, and how a
// value is written. Owns the units and the bounds of what a value can say (docs/configuration.md), not the
// bounds of single settings, which are in config/schema.h.
#pragma once
#include <string>
#include <string_view>
#include <vector>

#include "config/diagnostic.h"

namespace dapplewharf::config {

enum class Type { text, word, number, duration, size, share, rate, address, flag, list, reference };

/// What a value of this type is called in messages, for example "a number".
[[nodiscard]] const char* name_of(Type type);

/// One value as it was written.
struct Value {
  Type type = Type::text;
  Place place;
  std::size_t begin = 0;  // offset of the first byte in its file
  std::size_t end = 0;    // offset behind the last byte
  std::string raw;        // as written; a text without its quotes
  double amount = 0;  // durations in ms, sizes in bytes, shares from 0 to 1, rates per second, flags 0 or 1
  std::vector<Value> items;        // of a list
  std::vector<std::string> notes;  // of a list: the comment before each item, and before the end
};

/// A bare word or figure after its type was recognized.
struct Scalar {
  Type type = Type::word;
  double amount = 0;  // in the unit of Value::amount
  std::string error;  // empty, or why the text cannot be used
};

/// Recognizes the type of a bare word or figure and reads its amount.
[[nodiscard]] Scalar scalar_of(std::string_view raw);

inline constexpr double kBytesPerMebibyte = 1048576;

/// A duration in the largest unit, s or ms, that keeps it exact.
[[nodiscard]] std::string duration_text(double ms);
/// A size in the largest unit from B to GiB that keeps it whole.
[[nodiscard]] std::string size_text(double bytes);
/// A number in decimal notation without an exponent.
[[nodiscard]] std::string number_text(double number);
/// The text in quotes, with quotes and backslashes in it escaped.
[[nodiscard]] std::string in_quotes(std::string_view text);

}  // namespace dapplewharf::config
