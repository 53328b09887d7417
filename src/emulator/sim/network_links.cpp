#include "emulator/sim/network_links.h"

#include <algorithm>

#include "emulator/sim/sim_time.h"

namespace dapplewharf::emulator {
namespace {

constexpr Duration kRetransmissionDelay = 200 * kMs;

}  // namespace

NetworkLinks::NetworkLinks(const Scenario& scenario, std::uint64_t seed)
    : scenario_(scenario),
      draws_(seed, "network"),
      cuts_(scenario.zones.size() * scenario.zones.size(), 0),
      one_way_cuts_(cuts_) {}

Duration NetworkLinks::draw_delay(double milliseconds) {
  const bool lost = scenario_.loss > 0 && draws_.share() < scenario_.loss;
  const Duration retransmission = lost ? kRetransmissionDelay : 0;
  const double with_jitter = milliseconds * (1 + scenario_.jitter * draws_.share());
  return retransmission + std::max<Duration>(1, from_milliseconds(with_jitter));
}

Duration NetworkLinks::draw_node_delay(int endpoint_zone, int node_zone) {
  return draw_delay(endpoint_zone == node_zone ? scenario_.same_ms : scenario_.cross_ms);
}

Duration NetworkLinks::draw_client_delay() {
  return draw_delay(scenario_.client_ms);
}

bool NetworkLinks::is_cut(int endpoint_zone, int node_zone) const {
  return cuts_[link(endpoint_zone, node_zone)] > 0;
}

bool NetworkLinks::responses_lost(int endpoint_zone, int node_zone) const {
  return is_cut(endpoint_zone, node_zone) || one_way_cuts_[link(endpoint_zone, node_zone)] > 0;
}

void NetworkLinks::change_cut(int zone, int other_zone, int change) {
  cuts_[link(zone, other_zone)] += change;
  cuts_[link(other_zone, zone)] += change;
}

void NetworkLinks::change_one_way_cut(int endpoint_zone, int node_zone, int change) {
  one_way_cuts_[link(endpoint_zone, node_zone)] += change;
}

std::size_t NetworkLinks::link(int endpoint_zone, int node_zone) const {
  return static_cast<std::size_t>(endpoint_zone) * scenario_.zones.size() +
         static_cast<std::size_t>(node_zone);
}

}  // namespace dapplewharf::emulator
