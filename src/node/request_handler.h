// Executes the load balancer's decisions on requests and connections and reports the results to it as events.
// Owns the connection table, the ledger that checks every attempt and final answer, and one record per
// request. It does not choose endpoints, retries or rejections. The exception is an adopted connection, which
// was open before this process started: it is reconnected here, always to its own endpoint. Design:
// docs/design.md.
#pragma once
#include <optional>
#include <string>
#include <unordered_map>

#include "base/counters.h"
#include "base/random.h"
#include "gossip/peer_load_table.h"
#include "node/connection_table.h"
#include "node/endpoint_directory.h"
#include "node/event_queue.h"
#include "node/node_settings.h"
#include "node/shutdown.h"
#include "policy/reconnect_policy.h"
#include "policy/request_ledger.h"

namespace dapplewharf {

/// The objects that a RequestHandler shares with the rest of the node. All of them outlive the handler.
struct RequestContext {
  EventLoop& loop;
  Counters& counters;
  const Limits& limits;
  const NodeSettings& settings;
  EndpointDirectory& endpoints;
  const Shutdown& shutdown;
  EventQueue& events;
  RandomGenerator& random;
};

/// Holds all requests and connections of the node.
class RequestHandler : private ConnectionObserver {
 public:
  explicit RequestHandler(const RequestContext& context);

  /// Starts accepting clients at `address`. Returns an error message on failure, otherwise nothing.
  std::optional<std::string> listen(const sockaddr_in& address) { return connections_.listen(address); }

  /// Sets whether PING is answered. PINGs that are not are answered as soon as it is set to true.
  void set_answers_pings(bool answers_pings) { connections_.set_answers_pings(answers_pings); }

  /// Starts an attempt at an endpoint.
  /// @param timeout for the whole attempt, in ticks of 0.1 ms.
  void start_attempt(const std::string& id, const std::string& endpoint, Duration timeout);
  /// Cancels the attempt in progress.
  void cancel_attempt(const std::string& id);
  /// Answers BUSY.
  /// @param retry_after when the client may retry, in ticks of 0.1 ms; 0: the answer names no time.
  void reject(const std::string& id, Duration retry_after);
  /// Answers ERR.
  void fail(const std::string& id);
  /// Tells the client of an established or adopted connection to reconnect elsewhere.
  void migrate(const std::string& id);

  /// Called after the shutdown has begun: limits the deadlines of all attempts and requests in flight to the
  /// times of the shutdown.
  void limit_to_shutdown();
  /// Migrates the remaining connections and fails the remaining requests.
  void close_remaining_requests();
  /// Whether there is no request and no client has begun to send one.
  [[nodiscard]] bool is_idle();
  /// Accepts the clients in the accept queue. Returns whether there were any, or may be some because accept
  /// failed.
  bool accept_pending() { return connections_.accept_pending(); }

  [[nodiscard]] std::size_t connection_count() const { return connections_.count(); }
  /// Attempts in progress and open connections per endpoint.
  [[nodiscard]] PeerLoadTable::Counts load_by_endpoint() const;
  /// Calls `visit(id, endpoint, unanswered)` for each established connection that is not being migrated.
  /// `unanswered` is how long its client has been waiting for the answer to a line, in ticks of 0.1 ms; 0 if
  /// it is not waiting.
  template <class Visit>
  void for_each_established(Visit visit) {
    connections_.for_each_established([&](Handle handle, Duration unanswered) {
      const Request* request = find(handle);
      if (request && request->is_established) {
        visit(id_of(handle), request->endpoint, unanswered);
      }
    });
  }

 private:
  struct Request {
    Handle handle;
    std::string client_id;  // as the client sent it; for the log
    std::string endpoint;
    int attempts = 0;
    TimePoint sent_at = 0;
    bool has_attempt_in_progress = false;  // or an open connection
    bool is_established = false;
    bool is_client_done = false;               // answered, migrated or disconnected
    bool is_adopted = false;                   // open at its endpoint before this process started
    bool is_between_attempts = false;          // adopted; the next attempt has not begun yet
    std::optional<ReconnectPolicy> reconnect;  // only if adopted

    /// Whether it is adopted and its endpoint has not answered UP again yet.
    [[nodiscard]] bool awaits_reconnect() const { return is_adopted && !is_established && !is_client_done; }
  };
  struct AttemptTimeouts {
    Duration total = 0;
    std::optional<Duration> connect;
  };

  void on_request(Handle handle, const RequestLine& line) override;
  void on_client_left(Handle handle) override;
  void on_established(Handle handle) override;
  void on_attempt_ended(Handle handle, AttemptResult result) override;
  bool may_send(Handle handle) override;
  void on_line_answered(Handle handle, Duration latency) override;
  void on_load_reported(Handle handle, double load) override;

  static std::string id_of(Handle handle);
  Request* find(Handle handle);
  Request* find(const std::string& id);
  [[nodiscard]] RequestAttributes attributes_of(const std::string& id, const RequestLine& line) const;
  std::optional<Violation> begin_attempt(Request& request, const std::string& id,
                                         const AttemptTimeouts& timeouts);
  void reconnect(Handle handle);
  [[nodiscard]] AttemptTimeouts reconnect_timeouts(const Request& request) const;
  bool schedule_reconnect(Handle handle, Request& request, AttemptResult result);
  void log_reconnect(const Request& request, AttemptResult result, std::optional<Duration> delay,
                     std::optional<Violation> violation) const;
  void report_attempt_end(Handle handle, Request& request, Outcome outcome);
  void count(Outcome outcome);
  void answer(const std::string& id, FinalAnswer kind, const std::string& line);
  void release(const std::string& id);
  void report_violation(const std::string& operation, const std::string& id,
                        std::optional<Violation> violation);

  EventLoop& loop_;
  Counters& counters_;
  const NodeSettings& settings_;
  EndpointDirectory& endpoints_;
  const Shutdown& shutdown_;
  EventQueue& events_;
  RandomGenerator& random_;
  std::unordered_map<std::string, Request> requests_;  // by the id used in events and actions
  RequestLedger ledger_;
  ConnectionTable connections_;
};

/// Latencies are not recorded in a turn of the event loop that runs this much later than scheduled, in ticks
/// of 0.1 ms, or still later: the process was not running in the meantime, and the latencies would include
/// that delay.
constexpr Duration kMaxSampleLateness = 50 * kMs;

}  // namespace dapplewharf
