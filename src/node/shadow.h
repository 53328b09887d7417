// Compares the node's decisions with those that other settings would lead to. Owns a second load balancer,
// which is told of all that happens and whose actions are never carried out, its decision on each request,
// and counts by kind. Never changes what the node does; where the two differ the second load balancer is
// brought back to what really happened. It cannot see the further attempts of a request after a difference.
// Pure: the caller gives the time. Design: docs/design.md.
#pragma once
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "policy/load_balancer.h"

namespace dapplewharf {

/// How the shadowed settings would have decided: one count for each request and kind, one each health check.
struct ShadowCounts {
  std::uint64_t same = 0;                ///< the same endpoint, or no endpoint in both cases
  std::uint64_t other_endpoint = 0;      ///< an attempt, at another endpoint
  std::uint64_t would_reject = 0;        ///< rejected or failed, where there was an attempt
  std::uint64_t would_attempt = 0;       ///< an attempt, where the request was rejected or failed
  std::uint64_t would_wait = 0;          ///< nothing yet, where there was a decision
  std::uint64_t would_migrate = 0;       ///< a migration, where the connection stayed
  std::uint64_t would_stay = 0;          ///< no migration, where the connection was migrated
  std::uint64_t health_checks = 0;       ///< health checks that it would have sent
  std::uint64_t real_health_checks = 0;  ///< health checks that were sent

  /// One line, for the log.
  [[nodiscard]] std::string format() const;
};

class Shadow {
 public:
  /// Throws SettingsError when a setting is missing. @param now in ticks of 0.1 ms.
  Shadow(Settings settings, std::uint64_t seed, TimePoint now);

  /// Other settings from now on.
  void update_settings(Settings settings);
  /// Takes a batch of events that the real load balancer has been given, and its answer. Never throws: a
  /// second load balancer that does is dropped, and `error()` says why.
  void follow(TimePoint now, const std::vector<PolicyEvent>& events, const std::vector<PolicyAction>& real);
  /// Whether the second load balancer has been dropped.
  [[nodiscard]] bool stopped() const { return !load_balancer_; }
  [[nodiscard]] const std::string& error() const { return error_; }
  [[nodiscard]] const ShadowCounts& counts() const { return counts_; }
  /// Requests and connections that are being compared.
  [[nodiscard]] std::size_t followed() const { return followed_.size(); }

 private:
  /// What was decided on a request.
  struct Decision {
    std::optional<std::string> endpoint;  // nothing: rejected or failed
    bool operator==(const Decision&) const = default;
  };
  struct Followed {
    RequestAttributes request;
    bool is_pending = false;           // as it was adopted
    bool is_known = true;              // the second load balancer holds it, as it really is
    bool attempt_in_progress = false;  // really, or the connection that it became
    bool answered = false;             // really
    bool would_migrate = false;
    int attempts = 0;  // real ones
    std::optional<Decision>
        pending_decision;  // taken by the second load balancer and not yet by the real one
  };
  void feed(TimePoint now, const std::vector<PolicyEvent>& events);
  void follow_batch(TimePoint now, const std::vector<PolicyEvent>& events,
                    const std::vector<PolicyAction>& real);
  Followed* find(const std::string& request_id);
  void open(const RequestAttributes& request, bool adopted, bool is_pending);
  void forget_if_over(const std::string& request_id);

  std::optional<PolicyEvent> translate(const PolicyEvent& event);
  std::optional<PolicyEvent> translate_established(const AttemptEstablished& event);
  std::optional<PolicyEvent> translate_ended(const AttemptEnded& event);
  std::optional<PolicyEvent> translate_latency(const LatencyReported& event);
  [[nodiscard]] bool knows(const std::string& request_id);

  void record(TimePoint now, const PolicyAction& would);
  void record_decision(const std::string& request_id, Decision would);
  void record_migration(const std::string& request_id);
  void compare(const PolicyAction& real, std::vector<PolicyEvent>& corrections);
  void compare_migration(const std::string& request_id);
  void compare_decision(const std::string& request_id, const Decision& real,
                        std::vector<PolicyEvent>& corrections);
  void count_difference(const std::optional<Decision>& would, const Decision& real);

  std::unique_ptr<LoadBalancer> load_balancer_;
  std::string error_;
  ShadowCounts counts_;
  std::unordered_map<std::string, Followed> followed_;  // as long as the node holds them
  std::optional<TimePoint> timer_;                      // when the second load balancer's next timer expires
};

}  // namespace dapplewharf
