// The table of client connections, each with at most one connection to a host. Owns all connections, connects
// the listener, client admission, upstream attempts and byte relay with each other, and sends the final
// answers. It notifies its observer of what happens; the choice of hosts, retries and answers is left to its
// caller. Design: docs/design.md.
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

/// Receives notifications about connections. A handle stays valid until its connection ends.
class ConnectionObserver {
 public:
  virtual ~ConnectionObserver() = default;
  /// A client has sent a request.
  virtual void on_request(Handle handle, const RequestLine& request) = 0;
  /// The client has disconnected before the final answer.
  virtual void on_client_left(Handle handle) = 0;
  /// The host has answered UP, and the answer is queued for the client.
  virtual void on_established(Handle handle) = 0;
  /// The attempt, or the connection established by it, has ended; called once per attempt.
  virtual void on_attempt_ended(Handle handle, AttemptResult result) = 0;
  /// Whether the attempt is still permitted; called just before its first byte is sent.
  [[nodiscard]] virtual bool may_send(Handle handle) = 0;
  /// The host has answered a client's line after `latency`, in ticks of 0.1 ms.
  virtual void on_line_answered(Handle handle, Duration latency) = 0;
  /// The host has reported the connection's load, in microseconds of work a second.
  virtual void on_load_reported(Handle handle, double load) = 0;
};

/// Owns all client connections and their connections to hosts.
class ConnectionTable : private AttemptOwner, private RelayOwner {
 public:
  /// @param limits the node's own limits, which may change between calls; so may `schema`.
  ConnectionTable(EventLoop& loop, Counters& counters, const Limits& limits, const RequestSchema& schema,
                  ConnectionObserver& observer);

  /// Starts listening at `address`. Returns an error message on failure, otherwise nothing.
  std::optional<std::string> listen(const sockaddr_in& address) { return listener_.listen(address); }
  /// Sets whether PING is answered. PINGs that are not are answered as soon as it is set to true.
  void set_answers_pings(bool answers_pings);
  /// Begins an attempt for a client that awaits its answer and has no attempt in progress.
  void begin_attempt(Handle handle, const AttemptParameters& parameters);
  /// Cancels the attempt of a client that awaits its answer.
  void cancel_attempt(Handle handle);
  /// Sends the final answer to a client that awaits it, then closes the connection.
  /// @param line including its line end.
  void answer(Handle handle, const std::string& line);
  /// Sends MOVE, which asks the client to reconnect elsewhere. If a line is being sent, MOVE follows at the
  /// end of that line.
  void migrate(Handle handle);
  /// Sets the deadline of each attempt in progress that has a later one to `deadline`.
  void shorten_attempts(TimePoint deadline);

  /// The number of client connections.
  [[nodiscard]] std::size_t count() const { return connections_.size(); }
  /// The number of clients that have sent a request or the beginning of one.
  [[nodiscard]] std::size_t active_count();
  /// Accepts the clients in the accept queue. Returns whether there were any, or may be some because accept
  /// failed.
  bool accept_pending() { return listener_.accept_pending(); }
  /// Calls `visit(handle, unanswered)` for each established connection. `unanswered` is how long its client
  /// has been waiting for the answer to a line, in ticks of 0.1 ms; 0 if it is not waiting.
  template <class Visit>
  void for_each_established(Visit visit) {
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
  void on_ping(Handle handle, ProxiedConnection& connection);
  void answer_pings(ProxiedConnection& connection);
  void open_request(Handle handle, ProxiedConnection& connection, RequestLine request);
  void on_client_closed_before_request(Handle handle, ProxiedConnection& connection, bool is_broken);
  void on_client_closed_before_answer(Handle handle, ProxiedConnection& connection, bool is_broken);
  void start_request_line_deadline(Handle handle, ProxiedConnection& connection, Duration timeout);
  void reject_malformed(Handle handle, ProxiedConnection& connection, const std::string& reason);
  void begin_closing(Handle handle, ProxiedConnection& connection, const std::string& last_line);
  void send_last_bytes(Handle handle, ProxiedConnection& connection);
  void discard_input(Handle handle, ProxiedConnection& connection);
  void close_connection(Handle handle);
  void run_contained(Handle handle, void (ConnectionTable::*step)(Handle));
  void handle_host_ready(Handle handle);

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
  bool answers_pings_ = true;
};

}  // namespace dapplewharf
