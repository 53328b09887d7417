// Slow start: how many connections this node may open to an endpoint that has started recently and cannot
// take its full load yet. Nodes share the endpoint's capacity without communicating: each node computes from
// the endpoint's age, which is the same at every node, when it is the node's turn to open a connection. Such
// a turn is called a slot. Design: docs/design.md.
#pragma once
#include <optional>
#include <string>

#include "base/random.h"
#include "base/time.h"
#include "policy/sent_work_window.h"
#include "policy/settings.h"

namespace dapplewharf {

/// The inputs for a decision on one new connection to an endpoint in slow start.
struct SlowStartConditions {
  double capacity = 1;  // of the endpoint, relative to a standard endpoint
  /// Connections of this node at a warm endpoint of the same machine type and capacity 1.
  double sustained_per_capacity = 0;
  double quota_per_capacity = 0;       // connections of all nodes that tenants' quotas grant, for capacity 1
  double selections_per_capacity = 0;  // this node's selections within kSelectionWindow, for capacity 1
  double group_selections = 0;         // those among them that were for the connection's affinity group
  bool is_surge = false;               // new connections are limited because some endpoint is overloaded
  bool reports_headroom = false;       // the endpoint recently reported spare capacity
  bool knows_other_nodes_connections = false;  // other nodes' connections to the endpoint are known
};

/// The slow start of one endpoint and this node's share of the connections that it may get meanwhile.
class SlowStart {
 public:
  /// @param settings are read at each call and must outlive this object.
  SlowStart(const Settings& settings, const std::string& endpoint_id);

  /// Sets the time when the endpoint started; 0: long ago.
  void set_started_at(TimePoint started_at) { started_at_ = started_at; }
  [[nodiscard]] TimePoint started_at() const { return started_at_; }

  /// Sets the latest time at which the endpoint may have started without this node's having been told;
  /// nothing if its start time is to be relied on.
  void set_possible_start_at(std::optional<TimePoint> possible_start_at) {
    possible_start_at_ = possible_start_at;
  }

  /// The time since the endpoint's start; the whole warm-up time if the start is long ago. If the endpoint
  /// may have started later than it is said to, the time since then.
  [[nodiscard]] Duration age(TimePoint now) const;

  /// Whether the endpoint is still in slow start.
  [[nodiscard]] bool is_active(TimePoint now) const { return age(now) < settings_.warm_up_time; }

  /// When slow start ends, going by the start time alone; 0 if the endpoint started long ago.
  [[nodiscard]] TimePoint ends_at() const;

  /// Whether this node may open one more connection to the endpoint during slow start.
  /// @param sent this node's recent work at the endpoint.
  /// @param random a random number is drawn from it only if this node has no unused slot and may admit less
  ///     than one connection at random.
  [[nodiscard]] bool admits_connection(TimePoint now, const SlowStartConditions& conditions,
                                       const SentWorkWindow& sent, RandomGenerator& random) const;

  /// The number of connections, with fractions, that this node may have opened in total when the endpoint has
  /// this age. The allowance within a window is the difference of two such values.
  /// @param age ticks of 0.1 ms since the endpoint's start.
  [[nodiscard]] double allowance_since_start(double age, const SlowStartConditions& conditions) const;

 private:
  [[nodiscard]] double sustainable_connections(const SlowStartConditions& conditions) const;
  [[nodiscard]] double slot_offset() const;
  [[nodiscard]] bool admits_at_random(TimePoint now, double allowance_in_window,
                                      const SlowStartConditions& conditions, const SentWorkWindow& sent,
                                      RandomGenerator& random) const;

  const Settings& settings_;
  double endpoint_hash_;
  TimePoint started_at_ = 0;
  std::optional<TimePoint> possible_start_at_;
};

}  // namespace dapplewharf
