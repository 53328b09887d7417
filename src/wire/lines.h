// Parses and formats the lines of the platform's protocol between clients, nodes and endpoints. The functions
// do no I/O. The short attribute names of the protocol are used only here; the rest of the node uses the
// fields of RequestLine.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "base/time.h"

namespace dapplewharf {

/// The longest line that is accepted, with its end.
constexpr std::size_t kMaxLineBytes = 4096;

/// The request line of a client, OPEN: its bytes, and the fields that are parsed from them.
struct RequestLine {
  std::string line;  // as received, with its end
  std::string id;
  std::string traffic_type;
  std::string tenant;
  std::string current_endpoint;       // the endpoint that already has the connection; empty: none
  std::optional<std::int64_t> key;    // session affinity key
  std::optional<std::int64_t> group;  // affinity group
  Duration wait = 0;                  // how long the client waits for the answer, since it sent the line
  bool is_retry = false;              // the client retries a request that failed
  bool is_migrated = false;           // the client reconnects after a migration or a lost connection
  std::size_t wait_offset = 0;        // offset of the value of `d` in the line
  std::size_t wait_length = 0;        // length of that value, in bytes
};

/// The values that the settings allow in a request line.
struct RequestSchema {
  std::map<std::string, Duration> traffic;  // the longest wait of a client, by traffic type
  std::set<std::string> tenants;            // empty: any, or none
};

/// A parsed request line, or the reason why it is rejected.
struct ParsedRequestLine {
  std::optional<RequestLine> request_line;
  std::string error;  // why there is no request line
};

/// Parses a complete request line, with its end.
[[nodiscard]] ParsedRequestLine parse_request_line(std::string_view line, const RequestSchema& schema);

/// @return the request line with another wait, rounded down to whole milliseconds, at least 1 ms.
[[nodiscard]] std::string with_wait(const RequestLine& request, Duration wait);

/// The type of a line from an endpoint, given by its first word.
enum class LineType { up, busy, error, bye, move, load, pong, no, other };
[[nodiscard]] LineType line_type_of(std::string_view line);

/// @return the value of a LOAD line, or a negative number if it has none.
[[nodiscard]] double parse_load(std::string_view line);

}  // namespace dapplewharf
