// Says in which order endpoints are asked to take a request: the order of the consistent hash ring
// (hash_ring), sorted by selection tier. Owns the endpoints' weights as the ring uses them, which stay while
// weights are frozen. Pure but for the random generator of the context. docs/design.md describes the ring and
// the tiers.
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "policy/hash_ring.h"
#include "policy/messages.h"

namespace dapplewharf {

/// Endpoints of a lower tier are asked earlier; within a tier the ring decides.
enum class SelectionTier {
  affinity = 0,        // holds the request's group already, or takes a mid-connection request in this zone
  near = 1,            // in this zone
  near_over_mean = 2,  // in this zone, well over the mean
  far_affinity = 3,    // in another zone, holds the group already
  far = 4,             // in another zone
  full_or_far_over =
      5,          // over half of its part of the tenants' quotas; or in another zone and well over the mean
  near_slow = 6,  // its messages are slow
  far_slow = 7,
  failed_before = 9,  // an attempt of this request has failed there
};

class EndpointSelector {
 public:
  explicit EndpointSelector(PolicyContext& context) : context_(context) {}

  /// Handles one message; answers SelectEndpoints with a CandidateList to the request table.
  void read(const SelectorMessage& message);

 private:
  using Ranked = std::vector<std::pair<SelectionTier, const std::string*>>;

  void handle(const WeightsFreezeChanged& message);
  void handle(const SelectEndpoints& message);
  void handle(const StatusChanged& message);

  [[nodiscard]] Ranked rank_endpoints(const SelectionQuery& query, const FleetStatistics& fleet);
  [[nodiscard]] std::vector<std::string> limit_candidates(const Ranked& ranked, bool is_surge) const;
  [[nodiscard]] bool is_in_deduplication_scope(const SelectionQuery& query,
                                               const EndpointStatus& status) const;
  [[nodiscard]] SelectionTier tier_of(const SelectionQuery& query, const FleetStatistics& fleet,
                                      const std::string& id, const EndpointStatus& status) const;
  [[nodiscard]] bool counts_as_near(const SelectionQuery& query, const FleetStatistics& fleet,
                                    const EndpointStatus& status) const;

  PolicyContext& context_;
  std::map<std::string, EndpointStatus> statuses_;  // with the weights that the ring uses
  std::map<std::string, double> thawed_weights_;    // told while weights are frozen: in force afterwards
  HashRing ring_;
  bool ring_is_stale_ = true;
  bool weights_frozen_ = false;
};

}  // namespace dapplewharf
