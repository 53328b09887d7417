#include "wire/lines.h"

#include <algorithm>
#include <charconv>
#include <set>

#include "base/random.h"
#include "config/platform_settings.h"

namespace dapplewharf {
namespace {

constexpr std::size_t kLongestName = 64;  // ids, keys and names in the list
constexpr double kLongestWaitMs = 1e8;    // over a day: no client's own figure

std::string_view without_end(std::string_view line) {
  if (line.ends_with('\n')) {
    line.remove_suffix(1);
  }
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  return line;
}

// Hexadecimal digits as a number, anything else by its hash.
std::int64_t whole_of(std::string_view word) {
  std::uint64_t value = 0;
  const auto [end, fault] = std::from_chars(word.data(), word.data() + word.size(), value, 16);
  if (fault != std::errc() || end != word.data() + word.size()) {
    value = hash(std::string(word));
  }
  return static_cast<std::int64_t>(value);
}

std::string_view first_word(std::string_view& rest) {
  rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
  const std::string_view word = rest.substr(0, rest.find(' '));
  rest.remove_prefix(word.size());
  return word;
}

// Words of a first line stand one space apart.
std::string_view next_word(std::string_view& rest) {
  const std::string_view word = rest.substr(0, rest.find(' '));
  rest.remove_prefix(std::min(word.size() + 1, rest.size()));
  return word;
}

bool only(std::string_view word, const char* allowed, std::size_t longest) {
  return !word.empty() && word.size() <= longest && word.find_first_not_of(allowed) == std::string_view::npos;
}
bool is_hexadecimal(std::string_view word) {
  return only(word, "0123456789abcdefABCDEF", 16);
}
bool is_plain_figure(std::string_view word) {
  return only(word, "0123456789.", 16);
}
bool is_name(std::string_view word) {
  return only(word, "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ_-", kLongestName);
}

std::optional<double> figure_of(std::string_view text) {
  double value = 0;
  const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (fault != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

Opened opening_of(std::string_view line, const RequestSchema& grammar) {
  RequestLine to;
  const auto wrong = [](const char* fault) { return Opened{std::nullopt, fault}; };
  if (!line.ends_with("\r\n")) {
    return wrong("no end of line");
  }
  std::string_view rest = without_end(line);
  // Danger: what a host can't read ends whatever else waits on that connection.
  if (!std::all_of(rest.begin(), rest.end(), [](char byte) { return byte >= ' ' && byte <= '~'; })) {
    return wrong("bytes that are no text");
  }
  if (next_word(rest) != "OPEN") {
    return wrong("no OPEN line");
  }
  const std::string_view id = next_word(rest);
  const std::string_view key = next_word(rest);
  if (!is_name(id)) {
    return wrong("no id");
  }
  if (!is_name(key)) {
    return wrong("no key");
  }
  to.id = id;
  to.key = whole_of(key);
  std::set<std::string_view> named;
  for (bool more = !rest.empty(); more;) {
    const std::size_t comma = rest.find(',');
    more = comma != std::string_view::npos;
    const std::string_view entry = rest.substr(0, comma);
    rest.remove_prefix(more ? comma + 1 : rest.size());
    const std::size_t equals = entry.find('=');
    const std::string_view name = entry.substr(0, equals);
    if (equals == std::string_view::npos || !is_name(name)) {
      return wrong("no name and value");
    }
    if (!named.insert(name).second) {
      return wrong("a name twice");
    }
    const std::string_view value = entry.substr(equals + 1);
    if (value.empty() || value.find_first_of(" =") != std::string_view::npos) {
      return wrong("no value");
    }
    if (name == "c") {
      to.traffic_type = value;
    }
    if (name == "t") {
      to.tenant = value;
    }
    if (name == "at") {
      to.at = value;
    }
    if (name == "g" && !is_hexadecimal(value)) {
      return wrong("no group");
    }
    if (name == "g") {
      to.group = whole_of(value);
    }
    if ((name == "r" || name == "again") && value != "0" && value != "1") {
      return wrong("neither 0 nor 1");
    }
    if (name == "r") {
      to.repeated = value == "1";
    }
    if (name == "again") {
      to.returned = value == "1";
    }
    if (name != "d") {
      continue;
    }
    const std::optional<double> ms = figure_of(value);
    if (!is_plain_figure(value) || !ms || !(*ms >= 1 && *ms <= kLongestWaitMs)) {
      return wrong("no figure for d");
    }
    to.wait = tenths_down(*ms);
    to.wait_at = static_cast<std::size_t>(value.data() - line.data());
    to.wait_size = value.size();
  }
  const auto type = grammar.traffic.find(to.traffic_type);
  if (type == grammar.traffic.end()) {
    return wrong("no c that the settings know");
  }
  if (!grammar.tenants.empty() && !grammar.tenants.count(to.tenant)) {
    return wrong("no t that the settings know");
  }
  if (to.wait == 0) {
    return wrong("no d");
  }
  // One that stands at a host already waits for as long as the node takes to start.
  if (to.at.empty() && to.wait > type->second) {
    return wrong("a d beyond the expiry");
  }
  to.line = line;
  return {std::move(to), ""};
}

std::string with_wait(const RequestLine& opening, Tenths wait) {
  std::string line = opening.line;
  return line.replace(opening.wait_at, opening.wait_size, std::to_string(std::max<Tenths>(wait / 10, 1)));
}

Word word_of(std::string_view line) {
  std::string_view rest = without_end(line);
  const std::string_view word = first_word(rest);
  if (word == "UP") {
    return Word::up;
  }
  if (word == "BUSY") {
    return Word::busy;
  }
  if (word == "ERR") {
    return Word::error;
  }
  if (word == "BYE") {
    return Word::bye;
  }
  if (word == "MOVE") {
    return Word::move;
  }
  if (word == "LOAD") {
    return Word::load;
  }
  if (word == "PONG") {
    return Word::pong;
  }
  if (word == "NO") {
    return Word::no;
  }
  return Word::other;
}

double load_of(std::string_view line) {
  std::string_view rest = without_end(line);
  first_word(rest);
  return figure_of(first_word(rest)).value_or(-1);
}

}  // namespace dapplewharf
