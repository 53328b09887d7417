// Which links between zones are cut by faults just now. Owns a count of cuts for each ordered pair of zones;
// both drivers use it. See docs/emulator.md.
#pragma once
#include <cstddef>
#include <vector>

namespace dapplewharf::emulator {

/// Zones are numbered in the order of the scenario.
class ZoneCuts {
 public:
  explicit ZoneCuts(std::size_t zones) : zones_(zones), both_ways_(zones * zones, 0), one_way_(both_ways_) {}

  /// Whether nothing passes between an endpoint and a node, in either direction.
  bool is_cut(int endpoint_zone, int node_zone) const {
    return both_ways_[link(endpoint_zone, node_zone)] > 0;
  }

  /// Whether what an endpoint sends to a node is lost.
  bool responses_lost(int endpoint_zone, int node_zone) const {
    return is_cut(endpoint_zone, node_zone) || one_way_[link(endpoint_zone, node_zone)] > 0;
  }

  /// Adds `change` to the cuts of both directions between two zones.
  void change_cut(int zone, int other_zone, int change) {
    both_ways_[link(zone, other_zone)] += change;
    both_ways_[link(other_zone, zone)] += change;
  }

  /// Adds `change` to the cuts from a zone's endpoints to another zone's nodes.
  void change_one_way_cut(int endpoint_zone, int node_zone, int change) {
    one_way_[link(endpoint_zone, node_zone)] += change;
  }

 private:
  std::size_t link(int endpoint_zone, int node_zone) const {
    return static_cast<std::size_t>(endpoint_zone) * zones_ + static_cast<std::size_t>(node_zone);
  }

  std::size_t zones_;
  std::vector<int> both_ways_;  // by link: how many faults cut it now
  std::vector<int> one_way_;
};

}  // namespace dapplewharf::emulator
