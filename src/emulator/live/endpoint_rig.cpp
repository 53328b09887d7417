#include "emulator/live/endpoint_rig.h"

namespace dapplewharf::emulator {

EndpointRig::EndpointRig(RigProcess& process)
    : process(process), scenario(process.scenario()), plan(process.plan()), cuts(scenario.zones.size()) {
  for (const PlannedHost& planned : plan.hosts) {
    endpoints.push_back(std::make_unique<EmulatedEndpoint>(scenario, plan, planned));
    EmulatedEndpoint& endpoint = *endpoints.back();
    endpoint.listeners.resize(static_cast<std::size_t>(scenario.node_count));
    if (planned.join_time_s > 0) {
      endpoint.condition = EndpointCondition::down;
      endpoint.listed = false;
    }
  }
}

bool EndpointRig::crosses_zones(int endpoint, int node) const {
  return planned(endpoint).zone != plan.zone_of_node(node, scenario);
}

bool EndpointRig::is_cut(int endpoint, int node) const {
  return cuts.is_cut(planned(endpoint).zone, plan.zone_of_node(node, scenario));
}

bool EndpointRig::responses_lost(int endpoint, int node) const {
  return cuts.responses_lost(planned(endpoint).zone, plan.zone_of_node(node, scenario));
}

std::vector<Handle> EndpointRig::connections_to(int endpoint) {
  std::vector<Handle> found;
  connections.for_each([&](Handle handle, const EndpointConnection& connection) {
    if (connection.endpoint == endpoint) {
      found.push_back(handle);
    }
  });
  return found;
}

}  // namespace dapplewharf::emulator
