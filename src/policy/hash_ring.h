// The points of the endpoints in the order of the consistent hash ring.
#pragma once
#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "base/random.h"
#include "policy/messages.h"

namespace dapplewharf {

// The points of the hosts in the order of the ring.
class HashRing {
 public:
  // Only hosts that are new or of another size are laid anew; a growing fleet would be sorted over and over.
  template <class Points>
  void lay(const std::map<std::string, EndpointStatus>& cards, Points points_of) {
    std::set<std::string> laid;
    std::vector<std::uint32_t> free;
    for (std::uint32_t i = 0; i < places_.size(); ++i) {
      Place& place = places_[i];
      const auto found = cards.find(place.id);
      place.card =
          found != cards.end() && points_of(found->second) == place.points ? &found->second : nullptr;
      if (place.card) {
        laid.insert(place.id);
      } else {
        free.push_back(i);
      }
    }
    std::erase_if(points_, [this](const Point& point) { return !places_[point.place].card; });
    const auto kept = static_cast<std::ptrdiff_t>(points_.size());
    for (const auto& [id, card] : cards) {
      if (laid.count(id)) {
        continue;
      }
      if (free.empty()) {
        free.push_back(static_cast<std::uint32_t>(places_.size())), places_.emplace_back();
      }
      const std::uint32_t at = free.back();
      free.pop_back();
      places_[at] = {id, &card, points_of(card)};
      const std::uint64_t start = hash(id);
      for (int i = 0; i < places_[at].points; ++i) {
        points_.push_back({hash(start + static_cast<unsigned>(i)), at, i});
      }
    }
    std::sort(points_.begin() + kept, points_.end());
    std::inplace_merge(points_.begin(), points_.begin() + kept, points_.end());
  }

  // Visits each host once, at the first of as many of its points as it has `taken`, while `visit` wants more.
  template <class Taken, class Visit>
  void walk(std::uint64_t key, Taken taken, Visit visit) const {
    left_.assign(places_.size(), kUnseen);
    std::size_t unseen = places_.size();
    auto at = std::lower_bound(points_.begin(), points_.end(), Point{key, 0, 0});
    for (std::size_t i = 0; i < points_.size() && unseen > 0; ++i, ++at) {
      if (at == points_.end()) {
        at = points_.begin();
      }
      int& left = left_[at->place];
      const Place& place = places_[at->place];
      if (left == kUnseen && (left = taken(*place.card)) <= 0) {
        --unseen;
      }
      if (at->number >= left) {
        continue;
      }
      left = 0, --unseen;
      if (!visit(place.id, *place.card)) {
        return;
      }
    }
  }

 private:
  static constexpr int kUnseen = -1;
  struct Place {
    std::string id;
    const EndpointStatus* card = nullptr;  // of the map that was laid; null: free
    int points = 0;
  };
  struct Point {
    std::uint64_t at;
    std::uint32_t place;
    std::int32_t number;
    bool operator<(const Point& other) const { return std::tie(at, place) < std::tie(other.at, other.place); }
  };
  std::vector<Place> places_;
  std::vector<Point> points_;
  mutable std::vector<int> left_;  // of a walk: the points of each host that still count
};

}  // namespace dapplewharf
