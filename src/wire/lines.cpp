// Parses and rewrites the lines of the protocol; see wire/lines.h.
#include "wire/lines.h"

#include <algorithm>
#include <charconv>
#include <set>
#include <utility>

#include "base/random.h"
#include "config/platform_settings.h"

namespace dapplewharf {
namespace {

constexpr std::size_t kMaxNameBytes = 64;  // of ids, keys and names of attributes
constexpr std::size_t kMaxDigits = 16;     // of numbers
constexpr double kMinWaitMs = 1;
constexpr double kMaxWaitMs = 1e8;
constexpr int kHexadecimal = 16;

std::string_view without_end(std::string_view line) {
  if (line.ends_with('\n')) {
    line.remove_suffix(1);
  }
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  return line;
}

/// Hexadecimal digits as a number, anything else as its hash.
std::int64_t whole_of(std::string_view word) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(word.data(), word.data() + word.size(), value, kHexadecimal);
  if (error != std::errc() || end != word.data() + word.size()) {
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

/// Takes a word and the one space behind it off `rest`.
std::string_view next_word(std::string_view& rest) {
  const std::string_view word = rest.substr(0, rest.find(' '));
  rest.remove_prefix(std::min(word.size() + 1, rest.size()));
  return word;
}

/// Whether a word is not empty, not too long, and made of the allowed letters.
bool only(std::string_view word, const char* allowed, std::size_t longest) {
  return !word.empty() && word.size() <= longest && word.find_first_not_of(allowed) == std::string_view::npos;
}

bool is_hexadecimal(std::string_view word) {
  return only(word, "0123456789abcdefABCDEF", kMaxDigits);
}

bool is_plain_figure(std::string_view word) {
  return only(word, "0123456789.", kMaxDigits);
}

bool is_name(std::string_view word) {
  return only(word, "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ_-", kMaxNameBytes);
}

std::optional<double> figure_of(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

/// Takes the word OPEN, the id and the key off `rest`.
/// @return what is wrong, empty if nothing is.
std::string read_id_and_key(std::string_view& rest, RequestLine& to) {
  if (next_word(rest) != "OPEN") {
    return "no OPEN line";
  }
  const std::string_view id = next_word(rest);
  const std::string_view key = next_word(rest);
  if (!is_name(id)) {
    return "no id";
  }
  if (!is_name(key)) {
    return "no key";
  }
  to.id = id;
  to.key = whole_of(key);
  return "";
}

/// One attribute of a request line, NAME=VALUE.
struct Attribute {
  std::string_view name;
  std::string_view value;
};

/// Takes one attribute and the comma behind it off `rest`; nothing where there is no "=" or no valid name.
std::optional<Attribute> next_attribute(std::string_view& rest, bool& more) {
  const std::size_t comma = rest.find(',');
  more = comma != std::string_view::npos;
  const std::string_view entry = rest.substr(0, comma);
  rest.remove_prefix(more ? comma + 1 : rest.size());
  const std::size_t equals = entry.find('=');
  const std::string_view name = entry.substr(0, equals);
  if (equals == std::string_view::npos || !is_name(name)) {
    return std::nullopt;
  }
  return Attribute{name, entry.substr(equals + 1)};
}

std::string read_flag(std::string_view value, bool& to) {
  if (value != "0" && value != "1") {
    return "neither 0 nor 1";
  }
  to = value == "1";
  return "";
}

std::string read_group(std::string_view value, RequestLine& to) {
  if (!is_hexadecimal(value)) {
    return "no group";
  }
  to.group = whole_of(value);
  return "";
}

std::string read_wait(std::string_view value, std::string_view line, RequestLine& to) {
  const std::optional<double> ms = figure_of(value);
  if (!is_plain_figure(value) || !ms || !(*ms >= kMinWaitMs && *ms <= kMaxWaitMs)) {
    return "no figure for d";
  }
  to.wait = ticks_of_ms(*ms);
  to.wait_offset = static_cast<std::size_t>(value.data() - line.data());
  to.wait_length = value.size();
  return "";
}

/// Takes over one attribute; those that are not known are passed on unread.
/// @param line the whole line that the attribute is a part of.
/// @return what is wrong, empty if nothing is.
std::string read_attribute(const Attribute& attribute, std::string_view line, RequestLine& to) {
  const auto& [name, value] = attribute;
  if (value.empty() || value.find_first_of(" =") != std::string_view::npos) {
    return "no value";
  }
  if (name == "c") {
    to.traffic_type = value;
  }
  if (name == "t") {
    to.tenant = value;
  }
  if (name == "at") {
    to.current_endpoint = value;
  }
  if (name == "g") {
    return read_group(value, to);
  }
  if (name == "r") {
    return read_flag(value, to.is_retry);
  }
  if (name == "again") {
    return read_flag(value, to.is_migrated);
  }
  if (name == "d") {
    return read_wait(value, line, to);
  }
  return "";
}

std::string read_attributes(std::string_view rest, std::string_view line, RequestLine& to) {
  std::set<std::string_view> names;
  for (bool more = !rest.empty(); more;) {
    const std::optional<Attribute> attribute = next_attribute(rest, more);
    if (!attribute) {
      return "no name and value";
    }
    if (!names.insert(attribute->name).second) {
      return "a name twice";
    }
    if (std::string error = read_attribute(*attribute, line, to); !error.empty()) {
      return error;
    }
  }
  return "";
}

/// What the settings do not allow in a request line, empty if nothing.
std::string schema_error(const RequestLine& request, const RequestSchema& schema) {
  const auto type = schema.traffic.find(request.traffic_type);
  if (type == schema.traffic.end()) {
    return "no c that the settings know";
  }
  if (!schema.tenants.empty() && !schema.tenants.count(request.tenant)) {
    return "no t that the settings know";
  }
  if (request.wait == 0) {
    return "no d";
  }
  // A request that stands at an endpoint already also waits for as long as this node takes to start.
  if (request.current_endpoint.empty() && request.wait > type->second) {
    return "a d beyond the expiry";
  }
  return "";
}

bool is_printable(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char byte) { return byte >= ' ' && byte <= '~'; });
}

/// @return what is wrong, empty if nothing is.
std::string read_request_line(std::string_view line, const RequestSchema& schema, RequestLine& to) {
  if (!line.ends_with("\r\n")) {
    return "no end of line";
  }
  std::string_view rest = without_end(line);
  // An endpoint closes a connection on bytes that it cannot read, with all requests that wait on it.
  if (!is_printable(rest)) {
    return "bytes that are no text";
  }
  if (std::string error = read_id_and_key(rest, to); !error.empty()) {
    return error;
  }
  if (std::string error = read_attributes(rest, line, to); !error.empty()) {
    return error;
  }
  return schema_error(to, schema);
}

}  // namespace

ParsedRequestLine parse_request_line(std::string_view line, const RequestSchema& schema) {
  RequestLine request;
  std::string error = read_request_line(line, schema, request);
  if (!error.empty()) {
    return {std::nullopt, std::move(error)};
  }
  request.line = line;
  return {std::move(request), ""};
}

std::string with_wait(const RequestLine& request, Duration wait) {
  std::string line = request.line;
  const Duration ms = std::max<Duration>(wait / kMs, 1);
  return line.replace(request.wait_offset, request.wait_length, std::to_string(ms));
}

LineType line_type_of(std::string_view line) {
  std::string_view rest = without_end(line);
  const std::string_view word = first_word(rest);
  if (word == "UP") {
    return LineType::up;
  }
  if (word == "BUSY") {
    return LineType::busy;
  }
  if (word == "ERR") {
    return LineType::error;
  }
  if (word == "BYE") {
    return LineType::bye;
  }
  if (word == "MOVE") {
    return LineType::move;
  }
  if (word == "LOAD") {
    return LineType::load;
  }
  if (word == "PONG") {
    return LineType::pong;
  }
  if (word == "NO") {
    return LineType::no;
  }
  return LineType::other;
}

double parse_load(std::string_view line) {
  std::string_view rest = without_end(line);
  first_word(rest);
  return figure_of(first_word(rest)).value_or(-1);
}

}  // namespace dapplewharf
