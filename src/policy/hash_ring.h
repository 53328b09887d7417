// A consistent hash ring of endpoints. Each endpoint has points in proportion to its size; a walk from a
// key's place visits endpoints in an order that is the same at every node and changes little when endpoints
// come and go. Owns the points; refers to the statuses that it was last laid for. docs/design.md describes
// the ring.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "policy/endpoint_status.h"

namespace dapplewharf {

class HashRing {
 public:
  /// How many points an endpoint of this status has, or uses of those that it has.
  using PointCount = std::function<int(const EndpointStatus&)>;
  /// Called for each endpoint on a walk; false ends the walk.
  using Visitor = std::function<bool(const std::string& endpoint, const EndpointStatus& status)>;

  /// Lays the points of these endpoints. Only endpoints that are new or of another size are laid anew.
  /// @param statuses have to outlive the ring or be laid again; their addresses are kept.
  void lay(const std::map<std::string, EndpointStatus>& statuses, const PointCount& point_count);

  /// Visits each endpoint once, at the first of its points that it uses, in the order of the ring from the
  /// key on.
  /// @param used_points how many of its points an endpoint uses; it is passed over where that is none.
  void walk(std::uint64_t key, const PointCount& used_points, const Visitor& visit) const;

 private:
  struct Place {
    std::string id;
    const EndpointStatus* status = nullptr;  // null: the place is free
    int points = 0;
  };
  struct Point {
    std::uint64_t at = 0;
    std::uint32_t place = 0;
    std::int32_t number = 0;  // of the endpoint's points
    bool operator<(const Point& other) const { return std::tie(at, place) < std::tie(other.at, other.place); }
  };

  std::vector<Place> places_;
  std::vector<Point> points_;               // in the order of the ring
  mutable std::vector<int> points_to_use_;  // during a walk, by place
};

}  // namespace dapplewharf
