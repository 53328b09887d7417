// Health checks: PING to a host on a connection that is kept for them, opened when there is none. Owns those
// connections; reports how each check ended and never decides when to check. Design: docs/design.md.
#pragma once
#include <functional>
#include <map>
#include <string>

#include "base/counters.h"
#include "base/event_loop.h"
#include "base/socket.h"
#include "node/attempt_result.h"

namespace dapplewharf {

/// How a health check ended. Spans are in ticks of 0.1 ms.
struct HealthCheckResult {
  AttemptResult result;  ///< `completed`: answered well
  Duration duration = 0;
  Duration latency = 0;  ///< from the last byte of PING to PONG; 0 where no PONG came
};

class HealthChecker {
 public:
  using OnEnded = std::function<void(const std::string& host, const HealthCheckResult& result)>;
  /// @param on_ended is told of each health check once.
  HealthChecker(EventLoop& loop, Counters& counters, const Limits& limits, OnEnded on_ended);

  /// Begins a health check, unless one of this host is in progress. @param address "a.b.c.d:port".
  void check(const std::string& host, const std::string& address);
  /// Cancels the health check in progress and closes the host's connection.
  void forget(const std::string& host);

 private:
  struct Probe {
    std::string address;
    Socket socket;
    Handle watched;
    EventLoop::Deadline deadline;
    AttemptProgress progress = AttemptProgress::not_connected;
    bool in_progress = false;
    bool reused = false;  // the connection served an earlier check and may have been closed meanwhile
    TimePoint began_at = 0;
    TimePoint written_at = 0;
    std::string received;
    std::size_t sent = 0;
  };
  void connect(const std::string& host, Probe& probe);
  void on_ready(const std::string& host);
  bool send_ping(Probe& probe);
  void on_connection_ended(const std::string& host, Probe& probe, bool closed);
  void read_answer(const std::string& host, Probe& probe);
  void end(const std::string& host, Probe& probe, TerminationReason reason);
  void close(Probe& probe);

  EventLoop& loop_;
  Counters& counters_;
  const Limits& limits_;
  OnEnded on_ended_;
  std::map<std::string, Probe> probes_;
};

}  // namespace dapplewharf
