// Health checks: sends PING to an endpoint on a connection that is kept open between checks. Owns these
// connections and reports how each check ended; the caller decides when to check. Design: docs/design.md.
#pragma once
#include <functional>
#include <map>
#include <string>

#include "base/counters.h"
#include "base/event_loop.h"
#include "base/socket.h"
#include "node/attempt_result.h"

namespace dapplewharf {

/// How a health check ended. Durations are in ticks of 0.1 ms.
struct HealthCheckResult {
  AttemptResult result;  ///< its reason is `completed` if the endpoint answered PONG
  Duration duration = 0;
  Duration latency = 0;  ///< from sending the last byte of PING to PONG; 0 if there was no PONG
};

/// Executes health checks, at most one per endpoint at a time.
class HealthChecker {
 public:
  using OnEnded = std::function<void(const std::string& endpoint, const HealthCheckResult& result)>;
  /// @param on_ended called once for each health check.
  HealthChecker(EventLoop& loop, Counters& counters, const Limits& limits, OnEnded on_ended);

  /// Begins a health check, unless one of this endpoint is in progress.
  /// @param address "a.b.c.d:port".
  void check(const std::string& endpoint, const std::string& address);
  /// Cancels the health check in progress and closes the connection to the endpoint.
  void stop_checking(const std::string& endpoint);

 private:
  struct CheckedEndpoint {
    std::string address;
    Socket socket;
    Handle watch_handle;
    EventLoop::Deadline deadline;
    AttemptProgress progress = AttemptProgress::not_connected;
    bool is_in_progress = false;
    /// The connection has served an earlier check and may have been closed since.
    bool is_reused_connection = false;
    TimePoint began_at = 0;
    TimePoint written_at = 0;
    std::string received;
    std::size_t sent = 0;
  };
  void connect(const std::string& endpoint, CheckedEndpoint& checked);
  void on_ready(const std::string& endpoint);
  bool send_ping(CheckedEndpoint& checked);
  void on_connection_ended(const std::string& endpoint, CheckedEndpoint& checked, bool closed);
  void read_answer(const std::string& endpoint, CheckedEndpoint& checked);
  void end(const std::string& endpoint, CheckedEndpoint& checked, TerminationReason reason);
  void close(CheckedEndpoint& checked);

  EventLoop& loop_;
  Counters& counters_;
  const Limits& limits_;
  OnEnded on_ended_;
  std::map<std::string, CheckedEndpoint> checked_endpoints_;
};

}  // namespace dapplewharf
