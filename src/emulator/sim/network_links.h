// The network of a simulated run: delays between clients, nodes and endpoints, and links between zones that
// are cut. Owns the random draws of delays. See docs/emulator.md.
#pragma once
#include <vector>

#include "base/time.h"
#include "emulator/model/chance.h"
#include "emulator/model/scenario.h"

namespace dapplewharf::emulator {

class NetworkLinks {
 public:
  NetworkLinks(const Scenario& scenario, std::uint64_t seed);

  /// Draws a delay of `milliseconds` with jitter, and with a retransmission where the packet is lost.
  Duration draw_delay(double milliseconds);
  /// Draws the one-way delay between a node and an endpoint.
  Duration draw_node_delay(int endpoint_zone, int node_zone);
  /// Draws the one-way delay between a client and its node.
  Duration draw_client_delay();

  /// Whether nothing passes between an endpoint and a node, in either direction.
  bool is_cut(int endpoint_zone, int node_zone) const;
  /// Whether what an endpoint sends to a node is lost.
  bool responses_lost(int endpoint_zone, int node_zone) const;

  /// Adds `change` to the cuts of both directions between two zones.
  void change_cut(int zone, int other_zone, int change);
  /// Adds `change` to the cuts from a zone's endpoints to another zone's nodes.
  void change_one_way_cut(int endpoint_zone, int node_zone, int change);

 private:
  std::size_t link(int endpoint_zone, int node_zone) const;

  const Scenario& scenario_;
  Stream draws_;
  std::vector<int> cuts_;  // by link: how many faults cut it now
  std::vector<int> one_way_cuts_;
};

}  // namespace dapplewharf::emulator
