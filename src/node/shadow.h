// Compares the node's decisions with those that other settings would cause. The shadow owns a second load
// balancer that receives the same events but whose actions are never executed, its decision on each request,
// and the counts of equal and different decisions. It never affects the node. After a different decision the
// second load balancer is corrected to what really happened, and the request's further attempts are not
// compared. Pure: the caller passes the time. Design: docs/design.md.
#pragma once
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "policy/load_balancer.h"

namespace dapplewharf {

/// How the second load balancer would have decided: counts of decisions on requests, of migrations and of
/// health checks. In the comments "second" is the decision of the second load balancer, and "real" is that of
/// the node.
struct ShadowCounts {
  std::uint64_t same = 0;                ///< the same endpoint, or no attempt in both cases
  std::uint64_t other_endpoint = 0;      ///< second: an attempt; real: an attempt at another endpoint
  std::uint64_t would_reject = 0;        ///< second: rejected or failed; real: an attempt
  std::uint64_t would_attempt = 0;       ///< second: an attempt; real: rejected or failed
  std::uint64_t would_wait = 0;          ///< second: no decision yet; real: a decision
  std::uint64_t would_migrate = 0;       ///< second: a migration; real: the connection was not migrated
  std::uint64_t would_stay = 0;          ///< second: no migration; real: the connection was migrated
  std::uint64_t health_checks = 0;       ///< health checks that the second load balancer would have sent
  std::uint64_t real_health_checks = 0;  ///< health checks that were sent

  /// Formats the counts as one line for the log.
  [[nodiscard]] std::string format() const;
};

/// The second load balancer and the comparison.
class Shadow {
 public:
  /// Throws SettingsError if a setting is missing.
  /// @param now in ticks of 0.1 ms.
  Shadow(Settings settings, std::uint64_t seed, TimePoint now);

  /// Applies other settings to the second load balancer.
  void update_settings(Settings settings);
  /// Processes a batch of events and the actions with which the real load balancer has answered it. Never
  /// throws: if the second load balancer throws, it is destroyed, and `error()` returns the message.
  void observe(TimePoint now, const std::vector<PolicyEvent>& events,
               const std::vector<PolicyAction>& real_actions);
  /// Whether the second load balancer has been destroyed after an exception.
  [[nodiscard]] bool stopped() const { return !load_balancer_; }
  [[nodiscard]] const std::string& error() const { return error_; }
  [[nodiscard]] const ShadowCounts& counts() const { return counts_; }
  /// The number of requests and connections that are tracked.
  [[nodiscard]] std::size_t tracked_count() const { return tracked_requests_.size(); }

 private:
  /// A decision on a request.
  struct Decision {
    std::optional<std::string> endpoint;  // nothing if the request is rejected or failed
    bool operator==(const Decision&) const = default;
  };
  struct TrackedRequest {
    RequestAttributes request;
    bool is_pending = false;               // adopted and not established again yet
    bool is_known = true;                  // the second load balancer has it in its real state
    bool has_attempt_in_progress = false;  // a real attempt or an open connection
    bool is_answered = false;              // by the real node, or the client has disconnected
    bool would_migrate = false;
    int attempts = 0;  // real ones
    /// The second load balancer's decision to which there is no real one yet.
    std::optional<Decision> pending_decision;
  };
  void send_to_shadow(TimePoint now, const std::vector<PolicyEvent>& events);
  void observe_batch(TimePoint now, const std::vector<PolicyEvent>& events,
                     const std::vector<PolicyAction>& real_actions);
  TrackedRequest* find(const std::string& request_id);
  void open(const RequestAttributes& request, bool adopted, bool is_pending);
  void erase_if_ended(const std::string& request_id);

  std::optional<PolicyEvent> translate(const PolicyEvent& event);
  std::optional<PolicyEvent> translate_established(const AttemptEstablished& event);
  std::optional<PolicyEvent> translate_ended(const AttemptEnded& event);
  std::optional<PolicyEvent> translate_latency(const LatencyReported& event);
  [[nodiscard]] bool knows(const std::string& request_id);

  void record(TimePoint now, const PolicyAction& shadow_action);
  void record_decision(const std::string& request_id, Decision shadow_decision);
  void record_migration(const std::string& request_id);
  void compare(const PolicyAction& real_action, std::vector<PolicyEvent>& corrections);
  void compare_migration(const std::string& request_id);
  void compare_decision(const std::string& request_id, const Decision& real_decision,
                        std::vector<PolicyEvent>& corrections);
  void count_difference(const std::optional<Decision>& shadow_decision, const Decision& real_decision);

  std::unique_ptr<LoadBalancer> load_balancer_;
  std::string error_;
  ShadowCounts counts_;
  /// By request id, for as long as the node has the request.
  std::unordered_map<std::string, TrackedRequest> tracked_requests_;
  std::optional<TimePoint> timer_;  // when the second load balancer's earliest timer expires
};

}  // namespace dapplewharf
