// A consistent hash ring of endpoints. Each endpoint has points in proportion to its capacity. A walk from a
// key's position visits endpoints in an order that is the same at every node and changes little when
// endpoints are added or removed. The ring owns its points and refers to the statuses of the last rebuild.
// docs/design.md describes it.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "policy/endpoint_status.h"

namespace dapplewharf {

/// A consistent hash ring of endpoints.
class HashRing {
 public:
  /// Returns the number of points that an endpoint has, or that it uses on a walk.
  using PointCount = std::function<int(const EndpointStatus&)>;
  /// Called for each endpoint on a walk; returning false ends the walk.
  using Visitor = std::function<bool(const std::string& endpoint, const EndpointStatus& status)>;

  /// Updates the ring to these endpoints. Points are recomputed only for endpoints that are new or whose
  /// number of points has changed.
  /// @param statuses must outlive the ring or its next rebuild: the ring keeps pointers to them.
  void rebuild(const std::map<std::string, EndpointStatus>& statuses, const PointCount& point_count);

  /// Visits endpoints in the order of the ring, starting at the key: each once, at the first of the points
  /// that it uses.
  /// @param used_points returns how many of its points an endpoint uses; with 0 the endpoint is skipped.
  void walk(std::uint64_t key, const PointCount& used_points, const Visitor& visit) const;

 private:
  struct Slot {
    std::string id;
    const EndpointStatus* status = nullptr;  // null: the slot is free
    int points = 0;
  };
  struct Point {
    std::uint64_t position = 0;
    std::uint32_t slot = 0;
    std::int32_t index = 0;  // among the endpoint's points
    bool operator<(const Point& other) const {
      return std::tie(position, slot) < std::tie(other.position, other.slot);
    }
  };

  std::vector<Slot> slots_;
  std::vector<Point> points_;               // sorted by position
  mutable std::vector<int> usable_points_;  // during a walk, by slot; 0: visited or skipped
};

}  // namespace dapplewharf
