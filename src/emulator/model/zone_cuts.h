// The links between zones that faults cut at present, as counts for each ordered pair of zones. Simulated and
// live runs use it. See docs/emulator.md.
#pragma once
#include <cstddef>
#include <vector>

namespace dapplewharf::emulator {

/// Zones are numbered in the order of the scenario. Several faults may cut the same link.
class ZoneCuts {
 public:
  explicit ZoneCuts(std::size_t zones) : zones_(zones), both_ways_(zones * zones, 0), one_way_(both_ways_) {}

  /// Whether all packets between an endpoint and a node are lost, in both directions.
  bool is_cut(int endpoint_zone, int node_zone) const {
    return both_ways_[link(endpoint_zone, node_zone)] > 0;
  }

  /// Whether all packets from an endpoint to a node are lost.
  bool responses_lost(int endpoint_zone, int node_zone) const {
    return is_cut(endpoint_zone, node_zone) || one_way_[link(endpoint_zone, node_zone)] > 0;
  }

  /// Changes the number of cuts between two zones, in both directions.
  void change_cut(int zone, int other_zone, int change) {
    both_ways_[link(zone, other_zone)] += change;
    both_ways_[link(other_zone, zone)] += change;
  }

  /// Changes the number of cuts from the endpoints of one zone to the nodes of another.
  void change_one_way_cut(int endpoint_zone, int node_zone, int change) {
    one_way_[link(endpoint_zone, node_zone)] += change;
  }

 private:
  std::size_t link(int endpoint_zone, int node_zone) const {
    return static_cast<std::size_t>(endpoint_zone) * zones_ + static_cast<std::size_t>(node_zone);
  }

  std::size_t zones_;
  std::vector<int> both_ways_;  // by link: the number of faults that cut it now
  std::vector<int> one_way_;
};

}  // namespace dapplewharf::emulator
