// What the rig's processes have seen, one line each, merged by time and replayed into the auditor by the
// parent. Owns the form of a line; knows nothing of what lines mean together. Times are tenths since the run
// began.
#pragma once
#include <string>
#include <vector>

#include "base/time.h"

namespace dapplewharf::emulator {

enum class Seen : char {
  asked = 'a',       // id, node, traffic type, 1: it stood before the run
  reply = 'r',       // id, Reply
  gave_up = 'g',     // id
  ended = 'e',       // id, 0 by the client, 1 moved, 2 cut
  bytes = 'b',       // id, 1: as they were sent
  wanted = 'w',      // traffic type, from, to
  served = 'v',      // traffic type, from, to
  standing = 'c',    // clients that stand
  line = 'l',        // node, delay in tenths
  set_up = 'u',      // node, time in tenths
  try_came = 't',    // id, node, host
  try_ran = 'n',     // id, host
  try_over = 'o',    // id, host, 1: may have run
  pushed = 'p',      // host, thousandths of what pushes it over
  told = 'd',        // node, host, 1: leaves
  host_ended = 'x',  // id, host: the host's own doing
  host_is = 's',     // host, 1: up
  open = 'h',        // host, connections
  probe = 'q',       // host
  node_lost = 'k',   // node, killed
  node_new = 'f',    // node, started anew
  node_stops = 'j',  // node, told to end
  starved = 'y',     // the process was out of descriptors
  late = 'z'         // the process, tenths
};

struct Record {
  TimePoint when = 0;
  Seen kind = Seen::late;
  std::string id;
  long a = 0, b = 0, c = 0;
};

class Records {
 public:
  void add(TimePoint when, Seen kind, const std::string& id, long a = 0, long b = 0, long c = 0);
  void write(const std::string& path) const;  // whole, throws InvalidInput
  static std::vector<Record> read(const std::string& path);

 private:
  std::string text_;
};

}  // namespace dapplewharf::emulator
