#include "lines.h"

#include <algorithm>
#include <charconv>

#include "../chance.h"
#include "../settings.h"

namespace dapplewharf {
namespace {

std::string_view without_end(std::string_view line) {
  if (line.ends_with('\n')) line.remove_suffix(1);
  if (line.ends_with('\r')) line.remove_suffix(1);
  return line;
}

// Hexadecimal digits as a number, anything else by its hash.
std::int64_t whole_of(std::string_view word) {
  std::uint64_t value = 0;
  const auto [end, fault] = std::from_chars(word.data(), word.data() + word.size(), value, 16);
  if (fault != std::errc() || end != word.data() + word.size()) value = hash(std::string(word));
  return static_cast<std::int64_t>(value);
}

std::string_view first_word(std::string_view& rest) {
  rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
  const std::string_view word = rest.substr(0, rest.find(' '));
  rest.remove_prefix(word.size());
  return word;
}

std::optional<double> figure_of(std::string_view text) {
  double value = 0;
  const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (fault != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

}  // namespace

Opened opening_of(std::string_view line) {
  Opening to;
  std::string_view rest = without_end(line);
  const char* const start = line.data();
  if (first_word(rest) != "OPEN") return {std::nullopt, "no OPEN line"};
  if (first_word(rest).empty()) return {std::nullopt, "no id"};
  const std::string_view key = first_word(rest);
  if (key.empty()) return {std::nullopt, "no key"};
  to.key = whole_of(key);
  std::string_view list = first_word(rest);
  bool waits = false;
  while (!list.empty()) {
    const std::string_view entry = list.substr(0, list.find(','));
    list.remove_prefix(std::min(entry.size() + 1, list.size()));
    const std::size_t equals = entry.find('=');
    if (equals == std::string_view::npos) continue;
    const std::string_view name = entry.substr(0, equals), value = entry.substr(equals + 1);
    if (name == "c") to.traffic_type = value;
    if (name == "t") to.tenant = value;
    if (name == "at") to.at = value;
    if (name == "g" && !value.empty()) to.group = whole_of(value);
    if (name == "r") to.repeated = value == "1";
    if (name == "again") to.returned = value == "1";
    if (name != "d") continue;
    const std::optional<double> ms = figure_of(value);
    if (!ms || !(*ms >= 0 && *ms < 1e9)) return {std::nullopt, "no figure for d"};
    to.wait = tenths_down(*ms);
    to.wait_at = static_cast<std::size_t>(value.data() - start);
    to.wait_size = value.size();
    waits = true;
  }
  if (to.traffic_type.empty()) return {std::nullopt, "no c"};
  if (!waits) return {std::nullopt, "no d"};
  to.line = line;
  return {std::move(to), ""};
}

std::string with_wait(const Opening& opening, Tenths wait) {
  std::string line = opening.line;
  return line.replace(opening.wait_at, opening.wait_size, std::to_string(std::max<Tenths>(wait / 10, 1)));
}

Word word_of(std::string_view line) {
  std::string_view rest = without_end(line);
  const std::string_view word = first_word(rest);
  if (word == "UP") return Word::up;
  if (word == "BUSY") return Word::busy;
  if (word == "ERR") return Word::error;
  if (word == "BYE") return Word::bye;
  if (word == "MOVE") return Word::move;
  if (word == "LOAD") return Word::load;
  if (word == "PING") return Word::ping;
  if (word == "PONG") return Word::pong;
  if (word == "NO") return Word::no;
  return Word::other;
}

double load_of(std::string_view line) {
  std::string_view rest = without_end(line);
  first_word(rest);
  return figure_of(first_word(rest)).value_or(-1);
}

}  // namespace dapplewharf
