// The requests and connections that the node holds: carries out the load balancer's decisions on them and
// tells it what became of each. Owns the connection table, the ledger that every attempt and final answer has
// to pass, and one record a request. Chooses no host, no retry and no rejection; only a connection adopted
// from before this process is dialled again here, at its own host. Design: docs/design.md.
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

/// What a RequestHandler shares with the rest of the node. All of it outlives the handler.
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

class RequestHandler : private ConnectionObserver {
 public:
  explicit RequestHandler(const RequestContext& context);

  /// Starts to accept clients. Returns what went wrong, if anything.
  std::optional<std::string> listen(const sockaddr_in& address) { return connections_.listen(address); }

  /// @param timeout for the whole attempt, in ticks of 0.1 ms.
  void start_attempt(const std::string& id, const std::string& host, Duration timeout);
  void cancel_attempt(const std::string& id);
  /// Answers BUSY. @param retry_after when the client may come back, in ticks of 0.1 ms; 0: not told.
  void reject(const std::string& id, Duration retry_after);
  /// Answers ERR.
  void fail(const std::string& id);
  /// Tells the client of an established or adopted connection to reconnect elsewhere.
  void migrate(const std::string& id);

  /// The shutdown has begun: nothing that is in flight may last longer than it.
  void shorten_to_shutdown();
  /// Migrates or fails whatever is left.
  void close_all();
  /// Whether no request is held and no client has begun one.
  [[nodiscard]] bool idle();
  /// Accepts whoever waits; whether there was anybody, or may be because accept failed.
  bool accept_pending() { return connections_.accept_pending(); }

  [[nodiscard]] std::size_t open_connections() const { return connections_.open(); }
  /// Attempts and connections in progress, by host.
  [[nodiscard]] PeerLoadTable::Counts load_by_host() const;
  /// Calls `visit(id, host, unanswered)` for each established connection that stays where it is, with how
  /// long its client has waited for an answer to a line; 0 when it does not wait.
  template <class Visit>
  void each_established(Visit visit) {
    connections_.each_established([&](Handle handle, Duration unanswered) {
      const Request* request = find(handle);
      if (request && request->established) {
        visit(id_of(handle), request->host, unanswered);
      }
    });
  }

 private:
  struct Request {
    Handle handle;
    std::string client_id;  // the client's own, for the log
    std::string host;
    int attempts = 0;
    TimePoint sent_at = 0;
    bool attempt_in_progress = false;  // or the connection that it became
    bool established = false;
    bool client_done = false;                  // it was answered, migrated or left
    bool adopted = false;                      // it was open at its host before this process started
    bool between_attempts = false;             // of an adopted one: the next attempt has not begun yet
    std::optional<ReconnectPolicy> reconnect;  // of an adopted one

    /// Adopted, and its host has not answered again yet.
    [[nodiscard]] bool awaits_reconnect() const { return adopted && !established && !client_done; }
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
  bool reconnect_later(Handle handle, Request& request, AttemptResult result);
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
  std::unordered_map<std::string, Request> requests_;  // by the id that the load balancer knows
  RequestLedger ledger_;
  ConnectionTable connections_;
};

/// A turn of the event loop that came later than this says that the process was held up: what it measured
/// then is its own delay. Ticks of 0.1 ms.
constexpr Duration kHeldUp = 50 * kMs;

}  // namespace dapplewharf
