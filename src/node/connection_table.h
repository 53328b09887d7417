// Clients' connections, each with at most one connection to a host. Owns all of them and joins the listener,
// the admission of clients, the attempts on hosts and the byte relay; sends the final answers. Tells its
// observer what happened and does what it is told; never chooses a host, a further attempt or an answer.
// Design: docs/design.md.
#pragma once
#include <optional>
#include <string>

#include "base/counters.h"
#include "base/event_loop.h"
#include "base/socket.h"
#include "node/byte_relay.h"
#include "node/client_admission.h"
#include "node/listener.h"
#include "node/log_rate_limit.h"
#include "node/proxied_connection.h"
#include "node/upstream_attempt.h"

namespace dapplewharf {

/// Is told what happens to connections. Handles stay valid until the connection ends.
class ConnectionObserver {
 public:
  virtual ~ConnectionObserver() = default;
  /// A client wants a connection to a host.
  virtual void on_request(Handle handle, const RequestLine& request) = 0;
  /// The client left before it had its answer.
  virtual void on_client_left(Handle handle) = 0;
  /// The host has answered UP; the client has the answer.
  virtual void on_established(Handle handle) = 0;
  /// The attempt or the connection that it became has ended; told once for each attempt.
  virtual void on_attempt_ended(Handle handle, AttemptResult result) = 0;
  /// Whether what permitted the attempt still holds, asked just before its first byte is sent.
  [[nodiscard]] virtual bool may_send(Handle handle) = 0;
  /// The host has answered a client's line after `latency`, in ticks of 0.1 ms.
  virtual void on_line_answered(Handle handle, Duration latency) = 0;
  /// The host has reported the connection's load, in microseconds of work a second.
  virtual void on_load_reported(Handle handle, double load) = 0;
};

class ConnectionTable : private AttemptOwner, private RelayOwner {
 public:
  /// @param limits and `schema` are the node's own and may change between calls.
  ConnectionTable(EventLoop& loop, Counters& counters, const Limits& limits, const RequestSchema& schema,
                  ConnectionObserver& observer);

  /// Starts to listen at `address`. Returns what went wrong, if anything.
  std::optional<std::string> listen(const sockaddr_in& address) { return listener_.listen(address); }
  /// Begins an attempt of a waiting client that has none in progress.
  void begin_attempt(Handle handle, const AttemptParameters& parameters);
  /// Cancels the attempt of a waiting client.
  void cancel_attempt(Handle handle);
  /// Sends the final answer to a waiting client; nothing follows it.
  /// @param line with its end.
  void answer(Handle handle, const std::string& line);
  /// Tells the client to reconnect elsewhere, between two lines.
  void migrate(Handle handle);
  /// Attempts in progress last no longer than until `deadline`.
  void shorten_attempts(TimePoint deadline);

  [[nodiscard]] std::size_t open() const { return connections_.size(); }
  /// Connections of clients that have sent a request, or begun to.
  [[nodiscard]] std::size_t busy();
  /// Accepts whoever waits; whether there was anybody, or may be because accept failed.
  bool accept_pending() { return listener_.accept_pending(); }
  /// Calls `visit(handle, unanswered)` for each established connection with how long its client has waited
  /// for an answer to a line; 0 when it does not wait.
  template <class Visit>
  void each_established(Visit visit) {
    connections_.for_each([&](Handle handle, const ProxiedConnection& connection) {
      if (connection.phase == Phase::established) {
        visit(handle, loop_.now() - connection.relay.request_sent_at.value_or(loop_.now()));
      }
    });
  }

 private:
  using Phase = ProxiedConnection::Phase;

  ProxiedConnection* find(Handle handle) override { return connections_.find(handle); }
  void read_client(Handle handle) override;
  void on_host_ready(Handle handle) override;
  void free_descriptor() override { evict_longest_silent(); }
  bool may_send(Handle handle) override { return observer_.may_send(handle); }
  void on_attempt_established(Handle handle, ProxiedConnection& connection,
                              std::size_t answer_bytes) override;
  void on_attempt_ended(Handle handle, AttemptResult result) override;
  void on_line_answered(Handle handle, Duration latency) override;
  void on_load_reported(Handle handle, double load) override;
  void on_host_unreachable(Handle handle, ProxiedConnection& connection) override;
  void on_line_boundary(Handle handle) override { migrate(handle); }
  void on_finished(Handle handle, ProxiedConnection& connection) override;

  void on_accepted(Socket client);
  void on_client_ready(Handle handle);
  void evict_longest_silent();
  void read_request(Handle handle, ProxiedConnection& connection);
  void read_client_messages(Handle handle, ProxiedConnection& connection);
  void answer_ping(Handle handle, ProxiedConnection& connection);
  void open_request(Handle handle, ProxiedConnection& connection, RequestLine request);
  void on_greeting_closed(Handle handle, ProxiedConnection& connection, bool broken);
  void on_waiting_client_gone(Handle handle, ProxiedConnection& connection, bool broken);
  void start_greeting_deadline(Handle handle, ProxiedConnection& connection, Duration timeout);
  void refuse(Handle handle, ProxiedConnection& connection, const std::string& reason);
  void close_after(Handle handle, ProxiedConnection& connection, const std::string& line);
  void send_last_bytes(Handle handle, ProxiedConnection& connection);
  void discard_input(Handle handle, ProxiedConnection& connection);
  void drop(Handle handle);
  void contain_faults(Handle handle, void (ConnectionTable::*step)(Handle));
  void continue_with_host(Handle handle);

  EventLoop& loop_;
  Counters& counters_;
  ConnectionObserver& observer_;
  LogRateLimit log_limit_;
  SlotMap<ProxiedConnection> connections_;
  ClientAdmission admission_;
  Listener listener_;
  UpstreamAttempts attempts_;
  ByteRelay relay_;
  const Limits& limits_;
};

}  // namespace dapplewharf
