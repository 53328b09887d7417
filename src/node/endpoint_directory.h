// The node's record of each endpoint, separate from the load balancer's: address, location, whether it is
// draining or removed, and the latency estimate. Pure: the caller passes endpoint lists and times. Design:
// docs/design.md.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "node/endpoint_discovery.h"
#include "node/latency_estimator.h"
#include "policy/request_ledger.h"

namespace dapplewharf {

/// The record of one endpoint.
struct EndpointRecord {
  std::string address;                         ///< "a.b.c.d:port"; empty if no list has named one
  std::optional<EndpointLocation> location;    ///< nothing if no list has named the endpoint
  std::optional<EndpointState> leaving_state;  ///< draining or removed; nothing if neither
  std::optional<double> size_in_own_zone;      ///< only for endpoints in this node's zone
  std::optional<LatencyEstimator> latency;
  /// The number of connections that all other nodes hold there, as last reported to the load balancer.
  std::optional<double> connections_elsewhere;
};

/// The purpose for which an endpoint is to be used.
enum class EndpointUse {
  new_request,  ///< a client's request that has not been sent to any endpoint
  reconnect     ///< another attempt for an adopted connection, which belongs to this endpoint alone
};

/// The records of all endpoints.
class EndpointDirectory {
 public:
  /// Applies an endpoint list. Returns the endpoints that must no longer be health-checked, the draining ones
  /// first; an endpoint may be returned twice.
  std::vector<std::string> apply(const EndpointSnapshot& list, const std::string& own_zone);
  /// Whether the endpoint lists permit `use` of the endpoint. This is the only place that decides what may
  /// still be sent to a draining or removed endpoint.
  [[nodiscard]] bool permits(const std::string& endpoint, EndpointUse use) const;
  /// Records that a list has been received from discovery. Until then the records are those of a cached list.
  void set_confirmed() { is_confirmed_ = true; }
  /// Whether the adopted connections of an endpoint may be given up because no list names it, or because it
  /// is draining or removed.
  [[nodiscard]] bool is_confirmed() const { return is_confirmed_; }
  /// @param only_draining_binds the setting `drainBindsAlone`: if true, removed endpoints may still be used.
  void set_only_draining_binds(bool only_draining_binds) { only_draining_binds_ = only_draining_binds; }

  /// The address of an endpoint; empty if no list has named one.
  [[nodiscard]] std::string address(const std::string& endpoint) const;
  /// The location of an endpoint; without a zone and in cell 0 if no list has named the endpoint.
  [[nodiscard]] EndpointLocation location(const std::string& endpoint) const;

  /// The latency estimator of an endpoint; created if there is none.
  LatencyEstimator& latency(const std::string& endpoint);
  /// The endpoints that have a latency estimator, in the order of their names.
  [[nodiscard]] std::vector<std::string> with_latency_estimates() const;
  /// For each endpoint in this node's zone, an estimate of the longest time that a health check takes while
  /// the endpoint is idle, in ticks of 0.1 ms. It depends on the endpoint's size and on the shortest health
  /// check latencies of all endpoints in the zone.
  [[nodiscard]] std::map<std::string, Duration> idle_health_check_times() const;
  /// Forgets which endpoints are in the node's zone, because the node is now in another zone; the next list
  /// names those of the new zone.
  void clear_zone_sizes();

  /// Calls `visit(endpoint, record)` for each endpoint whose address is known, in the order of their names.
  template <class Visit>
  void for_each_addressable(Visit visit) {
    for (auto& [endpoint, record] : records_) {
      if (!record.address.empty()) {
        visit(endpoint, record);
      }
    }
  }

 private:
  void apply_draining_states(const EndpointSnapshot& list, std::vector<std::string>& unusable);
  void remove(const std::string& endpoint);
  [[nodiscard]] std::vector<std::string> endpoints_removed_by(const EndpointSnapshot& list) const;
  [[nodiscard]] const EndpointRecord* find(const std::string& endpoint) const;

  std::map<std::string, EndpointRecord> records_;
  bool only_draining_binds_ = false;
  bool is_confirmed_ = false;
};

}  // namespace dapplewharf
