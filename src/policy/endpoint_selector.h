// Determines the order in which endpoints are asked to take a request: the order of the consistent hash ring
// (hash_ring), sorted by selection tier. Keeps the endpoint weights that the ring uses, which do not change
// while weights are frozen. docs/design.md describes the ring and the tiers.
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "policy/hash_ring.h"
#include "policy/messages.h"

namespace dapplewharf {

/// Endpoints of a lower tier are asked earlier; within a tier the ring determines the order. Endpoints in
/// this node's zone are "near", and so are those in other zones for which counts_as_near() returns true. All
/// others are "far". "Over the mean" means that the endpoint's connections, with the new one included, exceed
/// the mean by at least kConnectionCountMargin and are more than a multiple of it. That multiple is
/// kGroupOverMeanFactor if the endpoint holds connections of the request's group and gossip is not used,
/// otherwise a smaller one.
enum class SelectionTier {
  affinity = 0,        // near, with connections of the request's group; or near, for a mid-connection request
  near = 1,            // near; or far, for a mid-connection request
  near_over_mean = 2,  // near, and over the mean
  far_affinity = 3,    // far, with connections of the request's group
  far = 4,
  // Near or far, with more than half of the connections per capacity that the tenants' quotas allow; or far,
  // and over the mean.
  full_or_far_over_mean = 5,
  near_slow = 6,      // near, with slow messages
  far_slow = 7,       // far, with slow messages
  failed_before = 9,  // an earlier attempt of this request was at this endpoint
};

/// Selects the candidates for each request.
class EndpointSelector {
 public:
  explicit EndpointSelector(PolicyContext& context) : context_(context) {}

  /// Handles one message; answers SelectEndpoints with a CandidateList to the request table.
  void handle_message(const SelectorMessage& message);

 private:
  using Ranked = std::vector<std::pair<SelectionTier, const std::string*>>;

  void handle(const WeightsFreezeChanged& message);
  void handle(const SelectEndpoints& message);
  void handle(const EndpointStatusChanged& message);

  [[nodiscard]] Ranked rank_endpoints(const SelectionQuery& query, const FleetStatistics& fleet);
  [[nodiscard]] std::vector<std::string> limit_candidates(const Ranked& ranked, bool is_surge) const;
  [[nodiscard]] bool is_in_deduplication_scope(const SelectionQuery& query,
                                               const EndpointStatus& status) const;
  [[nodiscard]] SelectionTier selection_tier(const SelectionQuery& query, const FleetStatistics& fleet,
                                             const std::string& id, const EndpointStatus& status) const;
  [[nodiscard]] bool counts_as_near(const SelectionQuery& query, const FleetStatistics& fleet,
                                    const EndpointStatus& status) const;

  PolicyContext& context_;
  std::map<std::string, EndpointStatus> statuses_;  // with the weights that the ring uses
  std::map<std::string, double> deferred_weights_;  // received while weights are frozen, applied afterwards
  HashRing ring_;
  bool is_ring_stale_ = true;
  bool weights_frozen_ = false;
};

}  // namespace dapplewharf
