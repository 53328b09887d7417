// The lines of the platform's protocol: bytes to values and back. Pure; owns no bytes and no sockets, and
// never decides what a line leads to. The platform's names for things end here.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "base/time.h"

namespace dapplewharf {

constexpr std::size_t kMaxLineBytes = 4096;  // bytes

/// A client's first line, OPEN: the bytes, and what decisions need of them.
struct RequestLine {
  std::string line;  // with its end
  std::string id;
  std::string traffic_type;
  std::string tenant;
  std::string current_endpoint;       // the endpoint where the connection stands already; empty: none
  std::optional<std::int64_t> key;    // session affinity key
  std::optional<std::int64_t> group;  // affinity group
  Duration wait = 0;                  // how long the client waits, from when it sent the line
  bool is_retry = false;              // the client repeats the request by itself
  bool is_migrated = false;           // the client comes back after a migration or a break
  std::size_t wait_offset = 0;        // offset of the digits of `d` in the line
  std::size_t wait_length = 0;        // how many they are
};

/// What a first line may name, according to the settings.
struct RequestSchema {
  std::map<std::string, Duration> traffic;  // by type: the longest that a client waits
  std::set<std::string> tenants;            // empty: none are told
};

/// A parsed first line, or why it cannot be used.
struct ParsedRequestLine {
  std::optional<RequestLine> request_line;
  std::string error;  // what is wrong, where there is none
};

/// Parses a complete first line, with its end.
[[nodiscard]] ParsedRequestLine parse_request_line(std::string_view line, const RequestSchema& schema);

/// The line with another time to wait, rounded down to whole ms and at least 1 ms.
[[nodiscard]] std::string with_wait(const RequestLine& request, Duration wait);

/// The first word of an endpoint's line.
enum class LineType { up, busy, error, bye, move, load, pong, no, other };
[[nodiscard]] LineType line_type_of(std::string_view line);

/// The figure of a LOAD line; below 0 if there is none.
[[nodiscard]] double parse_load(std::string_view line);

}  // namespace dapplewharf
