// The baseline policies that the load balancer is compared with. They have no health checks and no scores,
// and migrate connections only away from endpoints that leave; they differ in the order in which they prefer
// endpoints. An object holds the state of one node. See docs/emulator.md.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "base/random.h"
#include "emulator/sim/policy.h"

namespace dapplewharf::emulator {

/// Which endpoint a baseline prefers.
enum class EndpointOrder {
  random,
  fewest_connections,
  hash_ring,
  true_load  ///< the least loaded one by its true load; also migrates connections away from full endpoints
};

/// The policy of one node that selects endpoints in a fixed order of preference.
class BaselinePolicy : public Policy {
 public:
  /// @param defect NodeDefect::none, ignores_drain or prefers_cold; the other defects are outside the policy.
  BaselinePolicy(EndpointOrder order, NodeDefect defect, const Settings& settings, std::uint64_t seed,
                 TrueLoad true_load);

  std::vector<PolicyAction> handle_events(TimePoint now, const std::vector<PolicyEvent>& events) override;

 private:
  struct KnownEndpoint {
    EndpointEntry entry;
    int connections = 0;  // of this node, attempts included
  };
  struct HeldRequest {
    RequestAttributes attributes;
    std::vector<std::string> tried;  // endpoints, in order; the last one has the connection
    bool established = false;
  };

  void handle(const EndpointsCached& event);
  void handle(const EndpointsSnapshot& event);
  void handle(const EndpointsUpdate& event);
  void handle(const EndpointWatchFailed& event);
  void handle(const ShutdownStarted& event);
  void handle(const RequestReceived& event);
  void handle(const AttemptEstablished& event);
  void handle(const AttemptEnded& event);
  void handle(const ClientDisconnected& event);
  void handle(const TimerFired& event);
  // Events that a baseline ignores.
  void handle(const EndpointListFreshnessChanged&) {}
  void handle(const ConnectionAdopted&) {}
  void handle(const LoadReported&) {}
  void handle(const LatencyReported&) {}
  void handle(const RequestStalled&) {}
  void handle(const HealthCheckEnded&) {}
  void handle(const GossipReceived&) {}

  void update_endpoints(const std::vector<EndpointEntry>& entries);
  void relieve_full_endpoints();
  void set_relief_timer();
  void migrate_all();
  void migrate_from(const std::string& endpoint);
  void start_attempt(const std::string& request_id);
  bool may_repeat(const AttemptEnded& event, const HeldRequest& request) const;
  bool holds_affinity_group(const HeldRequest& request, const std::string& endpoint) const;
  double rank(const HeldRequest& request, const std::string& id, const KnownEndpoint& endpoint);
  double rank_on_ring(const HeldRequest& request, const std::string& id, const KnownEndpoint& endpoint) const;
  std::string select_endpoint(const HeldRequest& request);

  const EndpointOrder order_;
  const NodeDefect defect_;
  const Settings settings_;
  RandomGenerator random_;
  const TrueLoad true_load_;
  TimePoint now_ = 0;
  std::map<std::string, KnownEndpoint> endpoints_;
  std::map<std::string, HeldRequest> requests_;
  std::vector<PolicyAction> actions_;
};

}  // namespace dapplewharf::emulator
