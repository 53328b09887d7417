// Accepts clients' connections on the node's address. Owns the listening socket, a spare descriptor that lets
// it answer a client when no other descriptor is left, and the retry after a failed accept. Hands every
// accepted socket on and never decides who is served. Design: docs/design.md.
#pragma once
#include <functional>
#include <optional>
#include <string>

#include "base/counters.h"
#include "base/event_loop.h"
#include "base/socket.h"
#include "node/log_rate_limit.h"

namespace dapplewharf {

class Listener {
 public:
  using OnAccepted = std::function<void(Socket)>;

  /// @param on_accepted is given each accepted socket, non-blocking; takes ownership.
  Listener(EventLoop& loop, Counters& counters, const Limits& limits, LogRateLimit& log_limit,
           OnAccepted on_accepted);

  /// Starts to listen at `address`. Returns what went wrong, if anything; may wait as `listen_at` does.
  std::optional<std::string> listen(const sockaddr_in& address);

  /// Accepts whoever the kernel has queued. Returns whether there was anybody, or may be because accept
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
  Socket spare_;
  Handle watched_;
  EventLoop::Deadline retry_;
  std::optional<Tenths> failing_since_;
};

/// Answers BUSY to a client that this process has no descriptor for, and ends the sending side.
void reject_for_descriptors(const Socket& client, Counters& counters);

}  // namespace dapplewharf
