// HealthChecker: PING to a host on a connection kept for it, opened when there is none. Owns those
// connections; tells how each probe ended and never decides when to probe.
#pragma once
#include <functional>
#include <map>
#include <string>

#include "base/counters.h"
#include "base/event_loop.h"
#include "base/socket.h"
#include "node/attempt_result.h"

namespace dapplewharf {

class HealthChecker {
 public:
  struct Probed {
    AttemptResult end;        // bye: answered well
    Tenths took = 0;          // in all
    Tenths answer_after = 0;  // from when its last byte was written; 0 where no answer came
  };
  using Told = std::function<void(const std::string& host, const Probed& probed)>;
  HealthChecker(EventLoop& loop, Counters& counters, const Limits& limits, Told told);

  void probe(const std::string& host, const std::string& address);
  void forget(const std::string& host);  // ends what is out, and its connection

 private:
  struct Line {
    std::string address;
    Socket socket;
    Handle watched;
    EventLoop::Deadline deadline;
    AttemptProgress reach = AttemptProgress::not_connected;
    bool out = false, stale = false;
    Tenths since = 0, written = 0;
    std::string in;
    std::size_t sent = 0;
  };
  void dial_out(const std::string& host, Line& line);
  void ready(const std::string& host);
  void over(const std::string& host, Line& line, TerminationReason cause, bool keep);

  EventLoop& loop_;
  Counters& counters_;
  const Limits& limits_;
  Told told_;
  std::map<std::string, Line> lines_;
};

}  // namespace dapplewharf
