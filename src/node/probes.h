// Probes: PING to a host on a connection kept for it, opened when there is none. Owns those connections;
// tells how each probe ended and never decides when to probe.
#pragma once
#include "base/counters.h"
#include "base/loop.h"
#include "base/socket.h"
#include "node/relay.h"

namespace dapplewharf {

class Probes {
 public:
  struct Probed {
    TryEnd end;               // bye: answered well
    Tenths took = 0;          // in all
    Tenths answer_after = 0;  // from when its last byte was written; 0 where no answer came
  };
  using Told = std::function<void(const std::string& host, const Probed& probed)>;
  Probes(Loop& loop, Counters& counters, const Limits& limits, Told told);

  void probe(const std::string& host, const std::string& address);
  void forget(const std::string& host);  // ends what is out, and its connection

 private:
  struct Line {
    std::string address;
    Socket socket;
    Ticket watched;
    Loop::Deadline deadline;
    Reach reach = Reach::not_connected;
    bool out = false, stale = false;
    Tenths since = 0, written = 0;
    std::string in;
    std::size_t sent = 0;
  };
  void dial_out(const std::string& host, Line& line);
  void ready(const std::string& host);
  void over(const std::string& host, Line& line, Cause cause, bool keep);

  Loop& loop_;
  Counters& counters_;
  const Limits& limits_;
  Told told_;
  std::map<std::string, Line> lines_;
};

}  // namespace dapplewharf
