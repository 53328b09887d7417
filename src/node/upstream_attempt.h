// Attempts of waiting clients on hosts: connects, sends the request line and awaits the answer. Owns nothing
// beyond the attempt's section of a ProxiedConnection and its deadline; never chooses a host and never
// decides whether another attempt follows. Design: docs/design.md.
#pragma once
#include <netinet/in.h>

#include <optional>

#include "base/counters.h"
#include "base/event_loop.h"
#include "node/log_rate_limit.h"
#include "node/proxied_connection.h"

namespace dapplewharf {

/// What an attempt is given. Spans are in ticks of 0.1 ms.
struct AttemptParameters {
  std::optional<sockaddr_in> address;     ///< nothing when the host's address is unknown: the attempt fails
  Tenths timeout = 0;                     ///< for the whole attempt
  std::optional<Tenths> connect_timeout;  ///< the settings' connect time when absent
};

/// What attempts need from the owner of the connections.
class AttemptOwner {
 public:
  virtual ~AttemptOwner() = default;
  /// @return the connection, or null when it has ended; valid until the connection ends.
  virtual ProxiedConnection* find(Handle handle) = 0;
  /// Reads what the client has sent by now, or its end; this may end the attempt and the connection.
  virtual void read_client(Handle handle) = 0;
  /// The host's socket is ready to be read or written.
  virtual void on_host_ready(Handle handle) = 0;
  /// Gives up a descriptor that is less needed than an attempt's, if there is one.
  virtual void free_descriptor() = 0;
  /// Whether what permitted the attempt still holds, asked just before its first byte is sent.
  virtual bool may_send(Handle handle) = 0;
  /// The host has answered UP. The first `answer_bytes` of the attempt's answer are that line.
  virtual void on_attempt_established(Handle handle, ProxiedConnection& connection,
                                      std::size_t answer_bytes) = 0;
  /// The attempt or the connection that it became has ended; told once for each attempt.
  virtual void on_attempt_ended(Handle handle, AttemptResult result) = 0;
};

class UpstreamAttempts {
 public:
  UpstreamAttempts(EventLoop& loop, Counters& counters, const Limits& limits, LogRateLimit& log_limit,
                   AttemptOwner& owner);

  /// Begins an attempt of a waiting client that has none in progress; otherwise does nothing.
  void begin(Handle handle, const AttemptParameters& parameters);
  /// Ends the attempt in progress, if any, closes the host's connection and reports `reason`.
  void end(Handle handle, ProxiedConnection& connection, TerminationReason reason);
  /// Goes on with an attempt whose host's socket is ready.
  void on_host_ready(Handle handle, ProxiedConnection& connection);
  /// An attempt that is in progress lasts no longer than until `deadline`.
  void shorten(Handle handle, ProxiedConnection& connection, Tenths deadline);
  /// Closes the connection to the host without a report.
  void close_host(ProxiedConnection& connection);

 private:
  struct ConnectTarget {
    sockaddr_in address{};
    Tenths deadline = 0;
  };
  ProxiedConnection* find_active(Handle handle);
  ProxiedConnection* read_client_first(Handle handle);
  void connect(Handle handle, const ConnectTarget& target);
  void retry_connect(Handle handle, ProxiedConnection& connection, const ConnectTarget& target);
  void set_timeout(Handle handle, ProxiedConnection& connection, Tenths when);
  bool may_still_send(Handle handle);
  bool begin_sending(Handle handle, ProxiedConnection& connection);
  bool send_request(Handle handle, ProxiedConnection& connection);
  void await_answer(Handle handle, ProxiedConnection& connection);
  void take_answer(Handle handle, ProxiedConnection& connection, std::size_t answer_bytes, bool host_closed);

  EventLoop& loop_;
  Counters& counters_;
  const Limits& limits_;
  LogRateLimit& log_limit_;
  AttemptOwner& owner_;
};

}  // namespace dapplewharf
