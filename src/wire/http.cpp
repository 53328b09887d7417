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
constexpr std::size_t kLargestStatus = 999;
constexpr int kDecimal = 10;
constexpr int kHexadecimal = 16;

std::string lower(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(),
                 [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
  return out;
}

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t' || text.back() == '\r')) {
    text.remove_suffix(1);
  }
  return text;
}

bool number_of(std::string_view text, int base, std::size_t most, std::size_t& to) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), to, base);
  return error == std::errc() && end != text.data() && to <= most;
}

/// Takes one line without its end off `rest`; false when it is incomplete.
bool line_of(std::string_view& rest, std::string_view& line) {
  const std::size_t end = rest.find('\n');
  if (end == std::string_view::npos) {
    return false;
  }
  line = trimmed(rest.substr(0, end));
  rest.remove_prefix(end + 1);
  return true;
}

/// Takes the empty line after the last chunk, and trailers before it, off `rest`; false when it is
/// incomplete.
bool skip_trailers(std::string_view& rest) {
  std::string_view line;
  while (line_of(rest, line)) {
    if (line.empty()) {
      return true;
    }
  }
  return false;
}

std::string concatenated(const std::vector<std::string_view>& chunks, std::size_t size) {
  std::string out;
  out.reserve(size);
  for (const std::string_view chunk : chunks) {
    out += chunk;
  }
  return out;
}

/// Reads a chunked body. The chunks are copied only once all have come; otherwise every piece that arrives
/// would copy a long body anew.
void read_chunks(std::string_view rest, std::size_t largest, HttpResponse& answer) {
  std::string_view line;
  std::size_t size = 0;
  std::size_t total = 0;
  std::vector<std::string_view> chunks;
  while (line_of(rest, line)) {
    if (!number_of(line.substr(0, line.find(';')), kHexadecimal, largest, size)) {
      answer.state = HttpResponse::State::malformed;
      return;
    }
    total += size;
    if (total > largest) {
      answer.state = HttpResponse::State::malformed;
      return;
    }
    if (size == 0) {
      if (skip_trailers(rest)) {
        answer.state = HttpResponse::State::complete;
        answer.closes_connection = answer.closes_connection || !rest.empty();
        answer.body = concatenated(chunks, total);
      }
      return;
    }
    if (rest.size() < size + 1) {
      return;
    }
    chunks.push_back(rest.substr(0, size));
    rest.remove_prefix(size);
    if (!line_of(rest, line)) {
      return;
    }
  }
}

/// What the head of a response says of its body.
struct Head {
  bool complete = false;
  bool malformed = false;
  bool chunked = false;
  std::optional<std::size_t> length;  // of the body, in bytes
};

void read_status_line(std::string_view line, Head& head, HttpResponse& answer) {
  std::size_t status = 0;
  if (!line.starts_with("HTTP/1.") || line.size() < kMinStatusLineBytes ||
      !number_of(line.substr(kStatusOffset, kStatusDigits), kDecimal, kLargestStatus, status)) {
    head.malformed = true;
    return;
  }
  answer.status = static_cast<int>(status);
  answer.closes_connection = line.starts_with("HTTP/1.0");
}

void read_field(std::string_view line, std::size_t largest, Head& head, HttpResponse& answer) {
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) {
    return;
  }
  const std::string name = lower(line.substr(0, colon));
  const std::string value = lower(trimmed(line.substr(colon + 1)));
  if (name == "content-length") {
    std::size_t length = 0;
    head.malformed = !number_of(value, kDecimal, largest, length);
    head.length = length;
  }
  if (name == "transfer-encoding") {
    head.chunked = value.find("chunked") != std::string::npos;
  }
  if (name == "connection") {
    answer.closes_connection = value.find("close") != std::string::npos;
  }
}

/// Takes the head off `rest`, as far as it has come.
Head read_head(std::string_view& rest, std::size_t largest, HttpResponse& answer) {
  Head head;
  std::string_view line;
  if (!line_of(rest, line)) {
    return head;
  }
  read_status_line(line, head, answer);
  while (!head.malformed && !head.complete && line_of(rest, line)) {
    head.complete = line.empty();
    read_field(line, largest, head, answer);
  }
  return head;
}

/// Reads a body whose length the head states, or that ends with the connection.
void read_plain_body(std::string_view rest, bool ended, const Head& head, HttpResponse& answer) {
  const bool complete = head.length ? rest.size() >= *head.length : ended;
  if (complete) {
    answer.body = head.length ? rest.substr(0, *head.length) : rest;
    // Bytes after a response would be read as the response to the next request.
    answer.closes_connection = answer.closes_connection || rest.size() > answer.body.size();
    answer.state = HttpResponse::State::complete;
  }
  if (!head.length) {
    answer.closes_connection = true;
  }
}

}  // namespace

std::string format_get_request(const std::string& host, const std::string& target) {
  return "GET " + target + " HTTP/1.1\r\nHost: " + host + "\r\nAccept: application/json\r\n\r\n";
}

HttpResponse parse_response(std::string_view in, bool ended, std::size_t largest) {
  HttpResponse answer;
  std::string_view rest = in;
  const Head head = read_head(rest, largest, answer);
  const bool head_missing = !head.complete && (in.size() > kMaxHeadBytes || ended);
  if (head.malformed || head_missing) {
    answer.state = HttpResponse::State::malformed;
    return answer;
  }
  if (!head.complete) {
    return answer;
  }
  if (head.chunked) {
    read_chunks(rest, largest, answer);
  } else {
    read_plain_body(rest, ended, head, answer);
  }
  const std::size_t most = (head.chunked ? 2 : 1) * largest;  // chunks' sizes take room as well
  const bool unfinished = answer.state == HttpResponse::State::incomplete && (ended || rest.size() > most);
  if (answer.body.size() > largest || unfinished) {
    answer.state = HttpResponse::State::malformed;
  }
  return answer;
}

}  // namespace dapplewharf
