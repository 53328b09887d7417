// Reads and writes the values of the configuration language; see config/values.h.
#include "config/values.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace dapplewharf::config {
namespace {

constexpr double kClockStepMs = 0.1;
constexpr double kStepTolerance = 1e-6;  // of a step; binary fractions miss whole steps by less
constexpr double kLongestMs = 365.0 * 86400 * 1000;
constexpr double kLargestAmount = 1e15;
constexpr unsigned kLargestAddressPart = 255;
constexpr unsigned kLargestPort = 65535;
constexpr int kAddressParts = 4;

/// A suffix of figures; an amount is multiplied by the factor into the unit of Value::amount.
struct Unit {
  const char* name;
  Type type;
  double factor;
};
constexpr Unit kUnits[] = {{"ms", Type::duration, 1},      {"s", Type::duration, 1000},
                           {"min", Type::duration, 60000}, {"h", Type::duration, 3600000},
                           {"B", Type::size, 1},           {"KiB", Type::size, 1024},
                           {"MiB", Type::size, 1048576},   {"GiB", Type::size, 1073741824.0},
                           {"%", Type::share, 0.01},       {"/s", Type::rate, 1},
                           {"", Type::number, 1}};

bool is_address(std::string_view raw) {
  const std::size_t colon = raw.find(':');
  if (colon == std::string_view::npos || colon == 0) {
    return false;
  }
  return raw.substr(0, colon).find_first_not_of("0123456789.") == std::string_view::npos;
}

std::string address_error(std::string_view raw) {
  const std::size_t colon = raw.find(':');
  const std::string_view host = raw.substr(0, colon);
  const std::string_view port = raw.substr(colon + 1);
  int parts = 0;
  for (std::size_t at = 0; at <= host.size(); ++parts) {
    const std::size_t dot = std::min(host.find('.', at), host.size());
    unsigned part = kLargestAddressPart + 1;
    const auto [end, error] = std::from_chars(host.data() + at, host.data() + dot, part);
    if (error != std::errc() || end != host.data() + dot || part > kLargestAddressPart) {
      return "no address; expected a.b.c.d:port";
    }
    at = dot + 1;
  }
  unsigned number = 0;
  const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), number);
  if (parts != kAddressParts || error != std::errc() || end != port.data() + port.size() || number == 0 ||
      number > kLargestPort) {
    return "no address; expected a.b.c.d:port with a port from 1 to 65535";
  }
  return "";
}

bool is_word_letter(char letter) {
  return std::isalnum(static_cast<unsigned char>(letter)) || letter == '_' || letter == '-' || letter == '.';
}

bool looks_like_figure(std::string_view raw) {
  return !raw.empty() &&
         (raw[0] == '-' || raw[0] == '+' || raw[0] == '.' || (raw[0] >= '0' && raw[0] <= '9'));
}

Scalar read_word(std::string_view raw) {
  if (!std::all_of(raw.begin(), raw.end(), is_word_letter)) {
    return {Type::word, 0,
            "'" + std::string(raw) + "' is no word; expected letters, digits, _ and -, or a text in quotes"};
  }
  return {Type::word, 0, ""};
}

/// Why a duration is out of bounds; empty where it is not.
std::string duration_error(double amount, double ms) {
  if (std::signbit(amount)) {
    return "is below nothing; expected a duration from 0ms";
  }
  if (ms > kLongestMs) {
    return "is over a year; expected less";
  }
  const double steps = ms / kClockStepMs;
  if (std::abs(steps - std::round(steps)) > kStepTolerance || (ms > 0 && ms < kClockStepMs)) {
    return "is finer than the clock; expected whole steps of 0.1ms";
  }
  return "";
}

/// Why an amount in this unit is out of bounds; empty where it is not.
std::string amount_error(const Unit& unit, double amount, double value) {
  if (unit.type == Type::duration) {
    if (std::string error = duration_error(amount, value); !error.empty()) {
      return error;
    }
  }
  if (unit.type != Type::duration && unit.type != Type::number && std::signbit(amount)) {
    return std::string("is below nothing; expected ") + name_of(unit.type);
  }
  if (!std::isfinite(value) || std::abs(value) > kLargestAmount) {
    return "is beyond all bounds; expected a smaller one";
  }
  if (unit.type == Type::size && value != std::floor(value)) {
    return "is no whole number of bytes; expected one";
  }
  return "";
}

}  // namespace

const char* name_of(Type type) {
  switch (type) {
    case Type::text:
      return "a text in quotes";
    case Type::word:
      return "a word";
    case Type::number:
      return "a number";
    case Type::duration:
      return "a duration such as 800ms or 3.2s";
    case Type::size:
      return "a size such as 256B or 4KiB";
    case Type::share:
      return "a share such as 26%";
    case Type::rate:
      return "a rate such as 40/s";
    case Type::address:
      return "an address such as 127.0.0.1:8000";
    case Type::flag:
      return "on or off";
    case Type::list:
      return "a list in [ ]";
    case Type::reference:
      return "a constant";
  }
  return "";
}

Scalar scalar_of(std::string_view raw) {
  if (raw == "on" || raw == "off") {
    return {Type::flag, raw == "on" ? 1.0 : 0.0, ""};
  }
  if (!looks_like_figure(raw)) {
    return read_word(raw);
  }
  const std::string quoted = "'" + std::string(raw) + "' ";
  if (is_address(raw)) {
    const std::string error = address_error(raw);
    return {Type::address, 0, error.empty() ? "" : quoted + "is " + error};
  }
  double amount = 0;
  const auto [end, error] =
      std::from_chars(raw.data(), raw.data() + raw.size(), amount, std::chars_format::fixed);
  if (error == std::errc::result_out_of_range || (error == std::errc() && !std::isfinite(amount))) {
    return {Type::number, 0, quoted + "is beyond all numbers; expected a smaller one"};
  }
  if (error != std::errc()) {
    return {Type::number, 0, quoted + "is no number; expected digits, and a unit where one is needed"};
  }
  const std::string_view suffix = raw.substr(static_cast<std::size_t>(end - raw.data()));
  const Unit* unit = std::find_if(std::begin(kUnits), std::end(kUnits),
                                  [&](const Unit& candidate) { return suffix == candidate.name; });
  if (unit == std::end(kUnits)) {
    return {Type::number, 0,
            quoted + "has an unknown unit '" + std::string(suffix) +
                "'; expected ms, s, min, h, B, KiB, MiB, GiB, % or /s"};
  }
  const double value = amount * unit->factor;
  if (const std::string bounds = amount_error(*unit, amount, value); !bounds.empty()) {
    return {unit->type, 0, quoted + bounds};
  }
  return {unit->type, value, ""};
}

std::string number_text(double number) {
  char text[40];
  const auto [end, error] = std::to_chars(text, text + sizeof text, number, std::chars_format::fixed);
  return error == std::errc() ? std::string(text, end) : "0";
}

std::string duration_text(double ms) {
  if (ms >= 1000 && std::fmod(ms, 100) == 0) {
    return number_text(std::round(ms / 100) / 10) + "s";
  }
  return number_text(std::round(ms * 10) / 10) + "ms";
}

std::string size_text(double bytes) {
  for (const auto& [name, factor] :
       {std::pair("GiB", 1073741824.0), std::pair("MiB", 1048576.0), std::pair("KiB", 1024.0)}) {
    if (bytes >= factor && std::fmod(bytes, factor) == 0) {
      return number_text(bytes / factor) + name;
    }
  }
  return number_text(bytes) + "B";
}

std::string in_quotes(std::string_view text) {
  std::string out = "\"";
  for (const char letter : text) {
    out += (letter == '"' || letter == '\\' ? "\\" : "") + std::string(1, letter);
  }
  return out + "\"";
}

}  // namespace dapplewharf::config
