#include "policy/hash_ring.h"

#include <algorithm>
#include <set>

#include "base/random.h"

namespace dapplewharf {
namespace {

constexpr int kNotSeen = -1;

}  // namespace

void HashRing::lay(const std::map<std::string, EndpointStatus>& statuses, const PointCount& point_count) {
  std::set<std::string> laid;
  std::vector<std::uint32_t> free_places;
  for (std::uint32_t i = 0; i < places_.size(); ++i) {
    Place& place = places_[i];
    const auto found = statuses.find(place.id);
    const bool is_unchanged = found != statuses.end() && point_count(found->second) == place.points;
    place.status = is_unchanged ? &found->second : nullptr;
    if (is_unchanged) {
      laid.insert(place.id);
    } else {
      free_places.push_back(i);
    }
  }
  std::erase_if(points_, [this](const Point& point) { return !places_[point.place].status; });
  const auto kept = static_cast<std::ptrdiff_t>(points_.size());
  for (const auto& [id, status] : statuses) {
    if (laid.count(id)) {
      continue;
    }
    if (free_places.empty()) {
      free_places.push_back(static_cast<std::uint32_t>(places_.size()));
      places_.emplace_back();
    }
    const std::uint32_t at = free_places.back();
    free_places.pop_back();
    places_[at] = {id, &status, point_count(status)};
    const std::uint64_t start = hash(id);
    for (int i = 0; i < places_[at].points; ++i) {
      points_.push_back({hash(start + static_cast<unsigned>(i)), at, i});
    }
  }
  std::sort(points_.begin() + kept, points_.end());
  std::inplace_merge(points_.begin(), points_.begin() + kept, points_.end());
}

void HashRing::walk(std::uint64_t key, const PointCount& used_points, const Visitor& visit) const {
  points_to_use_.assign(places_.size(), kNotSeen);
  std::size_t unvisited = places_.size();
  auto at = std::lower_bound(points_.begin(), points_.end(), Point{key, 0, 0});
  for (std::size_t i = 0; i < points_.size() && unvisited > 0; ++i, ++at) {
    if (at == points_.end()) {
      at = points_.begin();
    }
    int& to_use = points_to_use_[at->place];
    const Place& place = places_[at->place];
    if (to_use == kNotSeen) {
      to_use = used_points(*place.status);
      unvisited -= to_use <= 0 ? 1 : 0;
    }
    if (at->number >= to_use) {
      continue;
    }
    to_use = 0;
    --unvisited;
    if (!visit(place.id, *place.status)) {
      return;
    }
  }
}

}  // namespace dapplewharf
