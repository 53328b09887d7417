// Accepts clients' connections on the node's address. Owns the listening socket, a spare descriptor with
// which it can answer a client when no other descriptor is left, and the retry after a failed accept. Passes
// every accepted socket to its owner, which decides whether the client is served. Design: docs/design.md.
#pragma once
#include <functional>
#include <optional>
#include <string>

#include "base/counters.h"
#include "base/event_loop.h"
#include "base/socket.h"
#include "node/log_rate_limit.h"

namespace dapplewharf {

/// The listening socket of the node.
class Listener {
 public:
  using OnAccepted = std::function<void(Socket)>;

  /// @param on_accepted receives each accepted socket, which is non-blocking, and takes ownership.
  Listener(EventLoop& loop, Counters& counters, const Limits& limits, LogRateLimit& log_limit,
           OnAccepted on_accepted);

  /// Starts listening at `address`. Returns an error message on failure, otherwise nothing; may block like
  /// `listen_on`.
  std::optional<std::string> listen(const sockaddr_in& address);

  /// Accepts the clients in the accept queue. Returns whether there were any, or may be some because accept
  /// failed.
  bool accept_pending();

 private:
  void accept_ready();
  void retry_later(int error);
  bool reject_one();

  EventLoop& loop_;
  Counters& counters_;
  const Limits& limits_;
  LogRateLimit& log_limit_;
  OnAccepted on_accepted_;
  Socket socket_;
  Socket spare_descriptor_;
  Handle watch_handle_;
  EventLoop::Deadline retry_deadline_;
  // Since when every accept has failed; empty if the last one succeeded.
  std::optional<TimePoint> failing_since_;
};

/// Answers BUSY to a client for which this process has no descriptor, and closes the sending side.
void reject_for_descriptors(const Socket& client, Counters& counters);

}  // namespace dapplewharf
