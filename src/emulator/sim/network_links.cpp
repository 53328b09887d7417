#include "emulator/sim/network_links.h"

#include <algorithm>

#include "emulator/sim/sim_time.h"

namespace dapplewharf::emulator {
namespace {

constexpr Duration kRetransmissionDelay = 200 * kMs;

}  // namespace

NetworkLinks::NetworkLinks(const Scenario& scenario, std::uint64_t seed)
    : scenario_(scenario), draws_(seed, "network"), cuts_(scenario.zones.size()) {}

Duration NetworkLinks::draw_delay(double milliseconds) {
  const bool lost = scenario_.packet_loss > 0 && draws_.next_fraction() < scenario_.packet_loss;
  const Duration retransmission = lost ? kRetransmissionDelay : 0;
  const double with_jitter = milliseconds * (1 + scenario_.jitter * draws_.next_fraction());
  return retransmission + std::max<Duration>(1, from_milliseconds(with_jitter));
}

Duration NetworkLinks::draw_node_delay(int endpoint_zone, int node_zone) {
  return draw_delay(endpoint_zone == node_zone ? scenario_.same_zone_delay_ms
                                               : scenario_.cross_zone_delay_ms);
}

Duration NetworkLinks::draw_client_delay() {
  return draw_delay(scenario_.client_delay_ms);
}

}  // namespace dapplewharf::emulator
