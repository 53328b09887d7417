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

constexpr std::size_t kMaxNameBytes = 64;    // of ids, keys and attribute names
constexpr std::size_t kMaxNumberBytes = 16;  // of a number, in digits and its decimal point
constexpr double kMinWaitMs = 1;
constexpr double kMaxWaitMs = 1e8;
constexpr int kHexadecimal = 16;

std::string_view trim_line_end(std::string_view line) {
  if (line.ends_with('\n')) {
    line.remove_suffix(1);
  }
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  return line;
}

/// @return the value of hexadecimal digits, or the hash of any other text.
std::int64_t number_or_hash(std::string_view word) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(word.data(), word.data() + word.size(), value, kHexadecimal);
  if (error != std::errc() || end != word.data() + word.size()) {
    value = hash(std::string(word));
  }
  return static_cast<std::int64_t>(value);
}

/// Removes leading spaces and a word from `rest`.
/// @return the word.
std::string_view take_word_after_blanks(std::string_view& rest) {
  rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
  const std::string_view word = rest.substr(0, rest.find(' '));
  rest.remove_prefix(word.size());
  return word;
}

/// Removes a word and the space after it from `rest`.
/// @return the word.
std::string_view take_word(std::string_view& rest) {
  const std::string_view word = rest.substr(0, rest.find(' '));
  rest.remove_prefix(std::min(word.size() + 1, rest.size()));
  return word;
}

/// Whether a word consists of 1 to `max_bytes` of the allowed characters.
bool has_only(std::string_view word, const char* allowed, std::size_t max_bytes) {
  return !word.empty() && word.size() <= max_bytes &&
         word.find_first_not_of(allowed) == std::string_view::npos;
}

bool is_hexadecimal(std::string_view word) {
  return has_only(word, "0123456789abcdefABCDEF", kMaxNumberBytes);
}

bool is_decimal(std::string_view word) {
  return has_only(word, "0123456789.", kMaxNumberBytes);
}

bool is_name(std::string_view word) {
  return has_only(word, "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ_-", kMaxNameBytes);
}

std::optional<double> parse_decimal(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

/// Parses the word OPEN, the id and the key, and removes them from `rest`.
/// @return the error, empty if there is none.
std::string read_id_and_key(std::string_view& rest, RequestLine& request) {
  if (take_word(rest) != "OPEN") {
    return "the line does not begin with OPEN";
  }
  const std::string_view id = take_word(rest);
  const std::string_view key = take_word(rest);
  if (!is_name(id)) {
    return "the id is missing or invalid";
  }
  if (!is_name(key)) {
    return "the key is missing or invalid";
  }
  request.id = id;
  request.key = number_or_hash(key);
  return "";
}

/// One attribute of a request line, NAME=VALUE.
struct Attribute {
  std::string_view name;
  std::string_view value;
};

/// Parses an attribute and removes it, with the comma after it, from `rest`.
/// @param more set to whether another attribute follows.
/// @return nullopt if the attribute has no "=" or no valid name.
std::optional<Attribute> take_attribute(std::string_view& rest, bool& more) {
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

std::string read_flag(std::string_view value, bool& flag) {
  if (value != "0" && value != "1") {
    return "a flag is neither 0 nor 1";
  }
  flag = value == "1";
  return "";
}

std::string read_group(std::string_view value, RequestLine& request) {
  if (!is_hexadecimal(value)) {
    return "g is not a hexadecimal number";
  }
  request.group = number_or_hash(value);
  return "";
}

std::string read_wait(std::string_view value, std::string_view line, RequestLine& request) {
  const std::optional<double> ms = parse_decimal(value);
  if (!is_decimal(value) || !ms || !(*ms >= kMinWaitMs && *ms <= kMaxWaitMs)) {
    return "d is not a number of milliseconds from 1 to 1e8";
  }
  request.wait = ticks_of_ms(*ms);
  request.wait_offset = static_cast<std::size_t>(value.data() - line.data());
  request.wait_length = value.size();
  return "";
}

/// Stores an attribute in `request`. Unknown attributes are not checked; the endpoint receives them
/// unchanged.
/// @param line the whole request line.
/// @return the error, empty if there is none.
std::string read_attribute(const Attribute& attribute, std::string_view line, RequestLine& request) {
  const auto& [name, value] = attribute;
  if (value.empty() || value.find_first_of(" =") != std::string_view::npos) {
    return "an attribute has no valid value";
  }
  if (name == "c") {
    request.traffic_type = value;
  }
  if (name == "t") {
    request.tenant = value;
  }
  if (name == "at") {
    request.current_endpoint = value;
  }
  if (name == "g") {
    return read_group(value, request);
  }
  if (name == "r") {
    return read_flag(value, request.is_retry);
  }
  if (name == "again") {
    return read_flag(value, request.is_migrated);
  }
  if (name == "d") {
    return read_wait(value, line, request);
  }
  return "";
}

std::string read_attributes(std::string_view rest, std::string_view line, RequestLine& request) {
  std::set<std::string_view> names;
  for (bool more = !rest.empty(); more;) {
    const std::optional<Attribute> attribute = take_attribute(rest, more);
    if (!attribute) {
      return "an attribute is not of the form NAME=VALUE";
    }
    if (!names.insert(attribute->name).second) {
      return "an attribute occurs twice";
    }
    if (std::string error = read_attribute(*attribute, line, request); !error.empty()) {
      return error;
    }
  }
  return "";
}

/// Checks a request line against the settings.
/// @return the error, empty if there is none.
std::string schema_error(const RequestLine& request, const RequestSchema& schema) {
  const auto type = schema.traffic.find(request.traffic_type);
  if (type == schema.traffic.end()) {
    return "c is missing or no traffic type of the settings";
  }
  if (!schema.tenants.empty() && !schema.tenants.count(request.tenant)) {
    return "t is missing or no tenant of the settings";
  }
  if (request.wait == 0) {
    return "d is missing";
  }
  // A request that reconnects to its endpoint may wait longer, as its wait includes the start of this node.
  if (request.current_endpoint.empty() && request.wait > type->second) {
    return "d is longer than the expiry of the traffic type";
  }
  return "";
}

bool is_printable(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char byte) { return byte >= ' ' && byte <= '~'; });
}

/// @return the error, empty if there is none.
std::string read_request_line(std::string_view line, const RequestSchema& schema, RequestLine& request) {
  if (!line.ends_with("\r\n")) {
    return "the line does not end with CRLF";
  }
  std::string_view rest = trim_line_end(line);
  // An endpoint that receives bytes it cannot parse closes the connection, and all requests that wait on it
  // fail.
  if (!is_printable(rest)) {
    return "the line contains bytes other than printable ASCII";
  }
  if (std::string error = read_id_and_key(rest, request); !error.empty()) {
    return error;
  }
  if (std::string error = read_attributes(rest, line, request); !error.empty()) {
    return error;
  }
  return schema_error(request, schema);
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
  std::string_view rest = trim_line_end(line);
  const std::string_view word = take_word_after_blanks(rest);
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
  std::string_view rest = trim_line_end(line);
  take_word_after_blanks(rest);
  return parse_decimal(take_word_after_blanks(rest)).value_or(-1);
}

}  // namespace dapplewharf
