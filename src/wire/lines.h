// The protocol's lines: parsing and rewriting only. Owns no bytes and no sockets, and never decides what a
// line leads to.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "base/time.h"

namespace dapplewharf {

constexpr std::size_t kLongestLine = 4096;

// A client's first line: the bytes that came, and where in them what decisions need is found.
struct RequestLine {
  std::string line;  // with its end
  std::string id;
  std::string traffic_type, tenant, at;
  std::optional<std::int64_t> key, group;
  Tenths wait = 0;  // how long the client waits, from when it sent the line
  bool repeated = false, returned = false;
  std::size_t wait_at = 0, wait_size = 0;  // the figure of `d` in the line
};

// What a first line may name, as the settings know it.
struct RequestSchema {
  std::map<std::string, Tenths> traffic;  // types, and the longest that a client of each waits
  std::set<std::string> tenants;          // empty: none are told
};

struct Opened {
  std::optional<RequestLine> opening;
  std::string fault;  // what is wrong, where there is none
};

// Of one whole line, with its end. Nothing is taken from a line of which any part is wrong.
Opened opening_of(std::string_view line, const RequestSchema& grammar);
std::string with_wait(const RequestLine& opening, Tenths wait);

enum class Word { up, busy, error, bye, move, load, pong, no, other };
Word word_of(std::string_view line);
double load_of(std::string_view line);  // of a LOAD line; below 0 where there is no figure

}  // namespace dapplewharf
