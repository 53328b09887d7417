#include "policy/hash_ring.h"

#include <algorithm>
#include <set>

#include "base/random.h"

namespace dapplewharf {
namespace {

constexpr int kNotReached = -1;  // no point of the endpoint has been passed on this walk

}  // namespace

void HashRing::rebuild(const std::map<std::string, EndpointStatus>& statuses, const PointCount& point_count) {
  std::set<std::string> unchanged;
  std::vector<std::uint32_t> free_slots;
  for (std::uint32_t i = 0; i < slots_.size(); ++i) {
    Slot& slot = slots_[i];
    const auto found = statuses.find(slot.id);
    const bool is_unchanged = found != statuses.end() && point_count(found->second) == slot.points;
    slot.status = is_unchanged ? &found->second : nullptr;
    if (is_unchanged) {
      unchanged.insert(slot.id);
    } else {
      free_slots.push_back(i);
    }
  }
  std::erase_if(points_, [this](const Point& point) { return !slots_[point.slot].status; });
  const auto kept = static_cast<std::ptrdiff_t>(points_.size());
  for (const auto& [id, status] : statuses) {
    if (unchanged.count(id)) {
      continue;
    }
    if (free_slots.empty()) {
      free_slots.push_back(static_cast<std::uint32_t>(slots_.size()));
      slots_.emplace_back();
    }
    const std::uint32_t slot_number = free_slots.back();
    free_slots.pop_back();
    slots_[slot_number] = {id, &status, point_count(status)};
    const std::uint64_t start = hash(id);
    for (int i = 0; i < slots_[slot_number].points; ++i) {
      points_.push_back({hash(start + static_cast<unsigned>(i)), slot_number, i});
    }
  }
  std::sort(points_.begin() + kept, points_.end());
  std::inplace_merge(points_.begin(), points_.begin() + kept, points_.end());
}

void HashRing::walk(std::uint64_t key, const PointCount& used_points, const Visitor& visit) const {
  usable_points_.assign(slots_.size(), kNotReached);
  std::size_t unvisited = slots_.size();
  auto point = std::lower_bound(points_.begin(), points_.end(), Point{key, 0, 0});
  for (std::size_t i = 0; i < points_.size() && unvisited > 0; ++i, ++point) {
    if (point == points_.end()) {
      point = points_.begin();
    }
    int& usable_count = usable_points_[point->slot];
    const Slot& slot = slots_[point->slot];
    if (usable_count == kNotReached) {
      usable_count = used_points(*slot.status);
      unvisited -= usable_count <= 0 ? 1 : 0;
    }
    if (point->index >= usable_count) {
      continue;
    }
    usable_count = 0;
    --unvisited;
    if (!visit(slot.id, *slot.status)) {
      return;
    }
  }
}

}  // namespace dapplewharf
