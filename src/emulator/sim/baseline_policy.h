// The baselines that the load balancer is compared with: no health checks, no scores, and no migration but
// off endpoints that leave; only the order of endpoints differs. Owns what one node knows. See
// docs/emulator.md.
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
  true_load  // the least loaded; also migrates connections off endpoints that are full
};

class BaselinePolicy : public Policy {
 public:
  /// @param defect NodeDefect::none, ignores_drain or heaps_on_cold; the other defects are not of the policy.
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
    std::vector<std::string> tried;  // endpoints; the last one holds the connection
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
  // What a baseline goes without.
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
