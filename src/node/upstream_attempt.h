// UpstreamAttempts executes attempts. An attempt connects to a host, sends the client's request line and
// waits for the host's answer. Uses only the attempt's section of a ProxiedConnection and its deadline; the
// choice of the host and of further attempts is left to the owner. Design: docs/design.md.
#pragma once
#include <netinet/in.h>

#include <optional>

#include "base/counters.h"
#include "base/event_loop.h"
#include "node/log_rate_limit.h"
#include "node/proxied_connection.h"

namespace dapplewharf {

/// The parameters of an attempt. Durations are in ticks of 0.1 ms.
struct AttemptParameters {
  std::optional<sockaddr_in> address;       ///< nothing if it is unknown: the attempt fails
  Duration timeout = 0;                     ///< for the whole attempt
  std::optional<Duration> connect_timeout;  ///< if absent, the connect timeout of the limits applies
};

/// The interface through which attempts look up connections and notify their owner.
class AttemptOwner {
 public:
  virtual ~AttemptOwner() = default;
  /// @return the connection, or null if it has ended; valid until the connection ends.
  virtual ProxiedConnection* find(Handle handle) = 0;
  /// Reads what the client has sent, or that it has closed; this may end the attempt and the connection.
  virtual void read_client(Handle handle) = 0;
  /// The host's socket is ready to be read or written.
  virtual void on_host_ready(Handle handle) = 0;
  /// Closes a connection that is less important than an attempt, if there is one, to free its descriptor.
  virtual void free_descriptor() = 0;
  /// Whether the attempt is still permitted; called just before its first byte is sent.
  virtual bool may_send(Handle handle) = 0;
  /// The host has answered UP.
  /// @param answer_bytes the length of that line at the beginning of the attempt's answer.
  virtual void on_attempt_established(Handle handle, ProxiedConnection& connection,
                                      std::size_t answer_bytes) = 0;
  /// The attempt, or the connection established by it, has ended; called once per attempt.
  virtual void on_attempt_ended(Handle handle, AttemptResult result) = 0;
};

/// Executes the attempts of all connections.
class UpstreamAttempts {
 public:
  UpstreamAttempts(EventLoop& loop, Counters& counters, const Limits& limits, LogRateLimit& log_limit,
                   AttemptOwner& owner);

  /// Begins an attempt for a client that awaits its answer and has no attempt in progress; otherwise does
  /// nothing.
  void begin(Handle handle, const AttemptParameters& parameters);
  /// Ends the attempt in progress, if any, closes the host's connection and reports `reason`.
  void end(Handle handle, ProxiedConnection& connection, TerminationReason reason);
  /// Continues an attempt whose host's socket is ready.
  void on_host_ready(Handle handle, ProxiedConnection& connection);
  /// Sets the deadline of an attempt in progress to `deadline` if the present deadline is later.
  void shorten(Handle handle, ProxiedConnection& connection, TimePoint deadline);
  /// Closes the connection to the host without notifying the owner.
  void close_host(ProxiedConnection& connection);

 private:
  struct ConnectTarget {
    sockaddr_in address{};
    TimePoint deadline = 0;
  };
  ProxiedConnection* find_active(Handle handle);
  ProxiedConnection* read_pending_client_input(Handle handle);
  void connect(Handle handle, const ConnectTarget& target);
  void retry_connect(Handle handle, ProxiedConnection& connection, const ConnectTarget& target);
  void set_timeout(Handle handle, ProxiedConnection& connection, TimePoint when);
  bool may_still_send(Handle handle);
  bool begin_sending(Handle handle, ProxiedConnection& connection);
  bool send_request(Handle handle, ProxiedConnection& connection);
  void await_answer(Handle handle, ProxiedConnection& connection);
  void handle_answer_line(Handle handle, ProxiedConnection& connection, std::size_t answer_bytes,
                          bool host_closed);

  EventLoop& loop_;
  Counters& counters_;
  const Limits& limits_;
  LogRateLimit& log_limit_;
  AttemptOwner& owner_;
};

}  // namespace dapplewharf
