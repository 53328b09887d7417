// The network of a simulated run: random delays between clients, nodes and endpoints, and the links between
// zones that are cut. See docs/emulator.md.
#pragma once
#include "base/time.h"
#include "emulator/model/chance.h"
#include "emulator/model/scenario.h"
#include "emulator/model/zone_cuts.h"

namespace dapplewharf::emulator {

/// Draws delays and holds the cut links.
class NetworkLinks {
 public:
  NetworkLinks(const Scenario& scenario, std::uint64_t seed);

  /// Draws a delay of `milliseconds` with jitter, and with a retransmission where the packet is lost.
  Duration draw_delay(double milliseconds);
  /// Draws the one-way delay between a node and an endpoint.
  Duration draw_node_delay(int endpoint_zone, int node_zone);
  /// Draws the one-way delay between a client and its node.
  Duration draw_client_delay();

  const ZoneCuts& cuts() const { return cuts_; }
  ZoneCuts& cuts() { return cuts_; }

 private:
  const Scenario& scenario_;
  RandomStream draws_;
  ZoneCuts cuts_;
};

}  // namespace dapplewharf::emulator
