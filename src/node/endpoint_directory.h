// What the node knows of each endpoint (host), beyond the load balancer's own view. Owns one record an
// endpoint: address, location, whether it is draining or removed, and the latency estimate. Pure: the caller
// gives lists and times. Design: docs/design.md.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "node/endpoint_discovery.h"
#include "node/latency_estimator.h"
#include "policy/request_ledger.h"

namespace dapplewharf {

/// One endpoint as this node knows it.
struct EndpointRecord {
  std::string address;                       ///< "a.b.c.d:port"; empty while no list has given one
  std::optional<EndpointLocation> location;  ///< nothing while no list has named the endpoint
  std::optional<EndpointState> leaving;      ///< draining or removed; nothing while neither
  std::optional<double> size_in_own_zone;    ///< only of endpoints in this node's zone
  std::optional<LatencyEstimator> latency;
  /// Connections that all other nodes hold there, as last reported to the load balancer.
  std::optional<double> connections_elsewhere;
};

/// What a node may want to send to an endpoint.
enum class EndpointUse {
  new_request,     ///< a client's request that no endpoint has seen
  reconnect_later  ///< another attempt for an adopted connection, which belongs to this endpoint alone
};

class EndpointDirectory {
 public:
  /// Takes in an endpoint list. Returns the endpoints that must not be health-checked any more, the draining
  /// ones first; an endpoint may stand there twice.
  std::vector<std::string> apply(const EndpointSnapshot& list, const std::string& own_zone);
  /// Whether `use` of the endpoint is permitted by what the lists say. The only place that decides whether
  /// something may still go to a draining or removed endpoint.
  [[nodiscard]] bool permits(const std::string& host, EndpointUse use) const;
  /// @param only_draining_binds the setting `drainBindsAlone`: a removed endpoint may still be used.
  void set_only_draining_binds(bool only_draining_binds) { only_draining_binds_ = only_draining_binds; }

  /// Empty where no list has given an address.
  [[nodiscard]] std::string address(const std::string& host) const;
  /// Without zone and in cell 0 where no list has named the endpoint.
  [[nodiscard]] EndpointLocation location(const std::string& host) const;

  /// The latency estimator of an endpoint, made when there is none.
  LatencyEstimator& latency(const std::string& host);
  /// Endpoints that have a latency estimator, by name.
  [[nodiscard]] std::vector<std::string> measured() const;
  /// The longest that a health check takes at each endpoint of the own zone while it is idle, in ticks of
  /// 0.1 ms; worked out from all of them.
  [[nodiscard]] std::map<std::string, Tenths> idle_health_check_times() const;
  /// The node is in another zone from now on: the next list says which endpoints are there too.
  void leave_zone();

  /// Calls `visit(host, record)` for each endpoint whose address is known, in the order of names.
  template <class Visit>
  void each_addressable(Visit visit) {
    for (auto& [host, record] : records_) {
      if (!record.address.empty()) {
        visit(host, record);
      }
    }
  }

 private:
  void apply_states(const EndpointSnapshot& list, std::vector<std::string>& leaving);
  void remove(const std::string& host);
  [[nodiscard]] std::vector<std::string> removed_by(const EndpointSnapshot& list) const;
  [[nodiscard]] const EndpointRecord* find(const std::string& host) const;

  std::map<std::string, EndpointRecord> records_;
  bool only_draining_binds_ = false;
};

}  // namespace dapplewharf
