// Parses HTTP responses; see wire/http.h.
#include "wire/http.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <optional>
#include <vector>

namespace dapplewharf {
namespace {

constexpr std::size_t kMaxHeadBytes = 16384;
constexpr std::size_t kMinStatusLineBytes = 12;  // "HTTP/1.1 200"
constexpr std::size_t kStatusOffset = 9;
constexpr std::size_t kStatusDigits = 3;
constexpr std::size_t kMaxStatus = 999;
constexpr int kDecimal = 10;
constexpr int kHexadecimal = 16;

std::string lower_case(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(),
                 [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
  return out;
}

std::string_view trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t' || text.back() == '\r')) {
    text.remove_suffix(1);
  }
  return text;
}

bool parse_number(std::string_view text, int base, std::size_t max_value, std::size_t& number) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, base);
  return error == std::errc() && end != text.data() && number <= max_value;
}

/// Removes the first line from `rest`.
/// @param line set to the line without its end and surrounding blanks.
/// @return false if the line is incomplete.
bool take_line(std::string_view& rest, std::string_view& line) {
  const std::size_t end = rest.find('\n');
  if (end == std::string_view::npos) {
    return false;
  }
  line = trim(rest.substr(0, end));
  rest.remove_prefix(end + 1);
  return true;
}

/// Removes the trailer fields after the last chunk, and the empty line that ends them, from `rest`.
/// @return false if they are incomplete.
bool skip_trailers(std::string_view& rest) {
  std::string_view line;
  while (take_line(rest, line)) {
    if (line.empty()) {
      return true;
    }
  }
  return false;
}

std::string concatenate(const std::vector<std::string_view>& chunks, std::size_t size) {
  std::string out;
  out.reserve(size);
  for (const std::string_view chunk : chunks) {
    out += chunk;
  }
  return out;
}

/// Parses a chunked body. The chunks are copied only when the body is complete, as the whole response is
/// parsed again each time more bytes are received.
void read_chunks(std::string_view rest, std::size_t max_body_bytes, HttpResponse& response) {
  std::string_view line;
  std::size_t size = 0;
  std::size_t total = 0;
  std::vector<std::string_view> chunks;
  while (take_line(rest, line)) {
    if (!parse_number(line.substr(0, line.find(';')), kHexadecimal, max_body_bytes, size)) {
      response.state = HttpResponse::State::malformed;
      return;
    }
    total += size;
    if (total > max_body_bytes) {
      response.state = HttpResponse::State::malformed;
      return;
    }
    if (size == 0) {
      if (skip_trailers(rest)) {
        response.state = HttpResponse::State::complete;
        response.closes_connection = response.closes_connection || !rest.empty();
        response.body = concatenate(chunks, total);
      }
      return;
    }
    if (rest.size() < size + 1) {
      return;
    }
    chunks.push_back(rest.substr(0, size));
    rest.remove_prefix(size);
    if (!take_line(rest, line)) {
      return;
    }
  }
}

/// The header fields that describe the body of a response.
struct Head {
  bool complete = false;
  bool malformed = false;
  bool chunked = false;
  std::optional<std::size_t> length;  // Content-Length, in bytes
};

void read_status_line(std::string_view line, Head& head, HttpResponse& response) {
  std::size_t status = 0;
  if (!line.starts_with("HTTP/1.") || line.size() < kMinStatusLineBytes ||
      !parse_number(line.substr(kStatusOffset, kStatusDigits), kDecimal, kMaxStatus, status)) {
    head.malformed = true;
    return;
  }
  response.status = static_cast<int>(status);
  response.closes_connection = line.starts_with("HTTP/1.0");
}

void read_field(std::string_view line, std::size_t max_body_bytes, Head& head, HttpResponse& response) {
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) {
    return;
  }
  const std::string name = lower_case(line.substr(0, colon));
  const std::string value = lower_case(trim(line.substr(colon + 1)));
  if (name == "content-length") {
    std::size_t length = 0;
    head.malformed = !parse_number(value, kDecimal, max_body_bytes, length);
    head.length = length;
  }
  if (name == "transfer-encoding") {
    head.chunked = value.find("chunked") != std::string::npos;
  }
  if (name == "connection") {
    response.closes_connection = value.find("close") != std::string::npos;
  }
}

/// Parses the head of a response and removes it from `rest`, as far as it has been received.
Head read_head(std::string_view& rest, std::size_t max_body_bytes, HttpResponse& response) {
  Head head;
  std::string_view line;
  if (!take_line(rest, line)) {
    return head;
  }
  read_status_line(line, head, response);
  while (!head.malformed && !head.complete && take_line(rest, line)) {
    head.complete = line.empty();
    read_field(line, max_body_bytes, head, response);
  }
  return head;
}

/// Reads a body that has a Content-Length, or that ends with the connection.
void read_plain_body(std::string_view rest, bool ended, const Head& head, HttpResponse& response) {
  const bool complete = head.length ? rest.size() >= *head.length : ended;
  if (complete) {
    response.body = head.length ? rest.substr(0, *head.length) : rest;
    // If the connection were reused, the surplus bytes would be parsed as the response to the next request.
    response.closes_connection = response.closes_connection || rest.size() > response.body.size();
    response.state = HttpResponse::State::complete;
  }
  if (!head.length) {
    response.closes_connection = true;
  }
}

}  // namespace

std::string format_get_request(const std::string& host, const std::string& target) {
  return "GET " + target + " HTTP/1.1\r\nHost: " + host + "\r\nAccept: application/json\r\n\r\n";
}

HttpResponse parse_response(std::string_view received, bool ended, std::size_t max_body_bytes) {
  HttpResponse response;
  std::string_view rest = received;
  const Head head = read_head(rest, max_body_bytes, response);
  const bool head_missing = !head.complete && (received.size() > kMaxHeadBytes || ended);
  if (head.malformed || head_missing) {
    response.state = HttpResponse::State::malformed;
    return response;
  }
  if (!head.complete) {
    return response;
  }
  if (head.chunked) {
    read_chunks(rest, max_body_bytes, response);
  } else {
    read_plain_body(rest, ended, head, response);
  }
  const std::size_t max_bytes = (head.chunked ? 2 : 1) * max_body_bytes;  // chunk headers take space as well
  const bool unfinished =
      response.state == HttpResponse::State::incomplete && (ended || rest.size() > max_bytes);
  if (response.body.size() > max_body_bytes || unfinished) {
    response.state = HttpResponse::State::malformed;
  }
  return response;
}

}  // namespace dapplewharf
