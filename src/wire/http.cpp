#include "wire/http.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <vector>

namespace dapplewharf {
namespace {

constexpr std::size_t kLongestHead = 16 * 1024;
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
  const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), to, base);
  return fault == std::errc() && end != text.data() && to <= most;
}

// One line without its end; false when it has not come whole.
bool line_of(std::string_view& rest, std::string_view& line) {
  const std::size_t end = rest.find('\n');
  if (end == std::string_view::npos) {
    return false;
  }
  line = trimmed(rest.substr(0, end));
  rest.remove_prefix(end + 1);
  return true;
}

// Danger: a long list in many pieces would be copied anew with each that comes; only a whole one is.
void pieces_of(const std::string_view all, std::size_t largest, Answer& answer) {
  std::string_view rest = all;
  std::string_view line;
  std::size_t size = 0;
  std::size_t whole = 0;
  std::vector<std::string_view> pieces;
  while (line_of(rest, line)) {
    if (!number_of(line.substr(0, line.find(';')), 16, largest, size) || (whole += size) > largest) {
      answer.state = Answer::State::bad;
      return;
    }
    if (size == 0) {
      while (line_of(rest, line) && !line.empty()) {
      }
      if (!line.empty()) {
        return;
      }
      answer.state = Answer::State::done;
      answer.closes = answer.closes || !rest.empty();
      answer.body.reserve(whole);
      for (const std::string_view piece : pieces) {
        answer.body += piece;
      }
      return;
    }
    if (rest.size() < size + 1) {
      return;
    }
    pieces.push_back(rest.substr(0, size));
    rest.remove_prefix(size);
    if (!line_of(rest, line)) {
      return;
    }
  }
}

}  // namespace

std::string get_request(const std::string& host, const std::string& target) {
  return "GET " + target + " HTTP/1.1\r\nHost: " + host + "\r\nAccept: application/json\r\n\r\n";
}

Answer answer_of(std::string_view in, bool ended, std::size_t largest) {
  Answer answer;
  std::string_view rest = in;
  std::string_view line;
  bool chunked = false;
  bool sized = false;
  bool head = false;
  std::size_t size = 0;
  std::size_t status = 0;
  const auto bad = [&] {
    answer.state = Answer::State::bad;
    return answer;
  };
  if (line_of(rest, line)) {
    if (!line.starts_with("HTTP/1.") || line.size() < 12 || !number_of(line.substr(9, 3), 10, 999, status)) {
      return bad();
    }
    answer.status = static_cast<int>(status);
    answer.closes = line.starts_with("HTTP/1.0");
    while (!head && line_of(rest, line)) {
      head = line.empty();
      const std::size_t colon = line.find(':');
      if (head || colon == std::string_view::npos) {
        continue;
      }
      const std::string name = lower(line.substr(0, colon));
      const std::string value = lower(trimmed(line.substr(colon + 1)));
      if (name == "content-length" && !(sized = number_of(value, 10, largest, size))) {
        return bad();
      }
      if (name == "transfer-encoding") {
        chunked = value.find("chunked") != std::string::npos;
      }
      if (name == "connection") {
        answer.closes = value.find("close") != std::string::npos;
      }
    }
  }
  if (!head) {
    return in.size() > kLongestHead || ended ? bad() : answer;
  }
  if (chunked) {
    pieces_of(rest, largest, answer);
  } else if (sized ? rest.size() >= size : ended) {
    answer.body = sized ? rest.substr(0, size) : rest;
    // Danger: what stands behind an answer would be read as that to the next call.
    answer.closes = answer.closes || rest.size() > answer.body.size();
    answer.state = Answer::State::done;
  }
  if (!chunked && !sized) {
    answer.closes = true;
  }
  if (answer.body.size() > largest) {
    return bad();
  }
  if (answer.state == Answer::State::more && (ended || rest.size() > (chunked ? 2 : 1) * largest)) {
    return bad();
  }
  return answer;
}

}  // namespace dapplewharf
