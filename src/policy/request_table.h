// The requests of this node and the connections that they became, each with its attempts, its deadline and
// its final answer. The table chooses no endpoint: it queries the endpoint set and the selector for a list of
// candidates, then asks these endpoints for admission one at a time. It keeps two of the four rules in
// docs/design.md: every request gets exactly one final answer before its deadline, and no request takes
// effect twice (policy/retry_policy). Times are in ticks of 0.1 ms.
#pragma once
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "policy/adaptive_attempt_limit.h"
#include "policy/attempt_timeout.h"
#include "policy/messages.h"
#include "policy/retry_budget.h"
#include "policy/retry_policy.h"

namespace dapplewharf {

/// A request until its connection is established, and that connection afterwards.
struct Request {
  RequestAttributes attributes;
  RepeatRule repeat_rule;
  std::vector<Attempt> attempts;
  bool is_established = false;
  // The final answer has been sent or the client has disconnected. The request is kept until its last attempt
  // has ended.
  bool is_answered = false;
  bool is_pending = false;  // adopted, and the endpoint has not confirmed it yet
};

/// All requests of this node, by id.
class RequestTable {
 public:
  explicit RequestTable(PolicyContext& context) : context_(context) {}

  /// Handles one message. May post messages to endpoints and the endpoint set, and add actions.
  void handle_message(const RequestTableMessage& message);

 private:
  void handle(const ShutdownStarted& event);
  void handle(const RequestReceived& event);
  void handle(const ConnectionAdopted& event);
  void handle(const AttemptEstablished& event);
  void handle(const AttemptEnded& event);
  void handle(const LoadReported& event);
  void handle(const LatencyReported& event);
  void handle(const RequestStalled& event);
  void handle(const ClientDisconnected& event);
  void handle(const CandidateList& candidates);
  void handle(const Declined& declined);
  void handle(const Admitted& admitted);
  void handle(const MigrateConnections& message);

  Request& open_request(const RequestAttributes& attributes);
  Request* find_request(const std::string& id);
  void remove_if_done(const std::string& id);
  [[nodiscard]] std::optional<Duration> setup_latency_objective(const Request& request) const;

  void establish(Request& request, const AttemptEstablished& event);
  void end_attempt(Request& request, const AttemptEnded& event);
  void withdraw_attempt(Request& request, const Attempt& attempt);
  [[nodiscard]] Outcome outcome_for_endpoint(const Request& request, const Attempt& attempt, Outcome outcome);
  void record_setup(const std::string& endpoint, bool is_good);

  [[nodiscard]] bool may_attempt(const Request& request) const;
  [[nodiscard]] bool budget_allows_retry();
  [[nodiscard]] bool is_over_quota(const Request& request) const;
  void select_endpoints(Request& request);
  void ask_next_candidate(const CandidateList& candidates, bool is_first);
  void start_attempt(const std::string& id, const std::string& endpoint);
  [[nodiscard]] Duration attempt_timeout(const Request& request) const;
  void send_final_answer(Request& request);

  [[nodiscard]] bool should_migrate(const Request& request, const MigrateConnections& message) const;
  void migrate(Request& request);

  PolicyContext& context_;
  std::map<std::string, Request> requests_;
  RetryBudget retry_budget_;
  AdaptiveAttemptLimit attempt_limit_;
  AttemptTimeout attempt_timeout_;
  int attempts_in_flight_ = 0;                 // does not include established connections
  std::optional<TimePoint> last_shortage_at_;  // when a request last found no endpoint during a surge
  std::deque<TimePoint> migrated_at_;          // migrations within the last second
};

}  // namespace dapplewharf
