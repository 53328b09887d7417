#include "emulator/sim/endpoint_list_service.h"

#include <algorithm>

#include "emulator/sim/node_simulator.h"
#include "emulator/sim/sim_time.h"

namespace dapplewharf::emulator {
namespace {

constexpr Duration kOutageTimeout = kSecond;  // of a call to the service while it is down

}  // namespace

bool EndpointListService::runs(Index node, int incarnation) const {
  return state_.nodes[node].alive && state_.nodes[node].incarnation == incarnation;
}

std::vector<EndpointEntry> EndpointListService::complete_list() const {
  std::vector<EndpointEntry> list;
  for (Index endpoint = 0; endpoint < state_.endpoints.size(); ++endpoint) {
    if (state_.endpoints[endpoint].listed) {
      list.push_back(entry(endpoint));
    }
  }
  return list;
}

EndpointEntry EndpointListService::entry(Index index) const {
  const PlannedHost& planned = state_.plan.hosts[index];
  const SimulatedEndpoint& endpoint = state_.endpoints[index];
  return {.id = planned.id,
          .zone = state_.scenario.zones[static_cast<std::size_t>(planned.zone)],
          .cell = planned.zone,
          .state = endpoint.published,
          .size = planned.nominal_size,
          .started_at = endpoint.started > 0 ? kPolicyClockAtStart + endpoint.started : 0};
}

void EndpointListService::record_notification(Index node, const std::vector<EndpointEntry>& list) {
  for (const EndpointEntry& listed : list) {
    const Index endpoint = state_.find_endpoint(listed.id).value();
    const bool leaving = listed.state != EndpointState::healthy;
    state_.audit.on_endpoint_reported(static_cast<int>(node), static_cast<int>(endpoint), leaving,
                                      state_.now());
  }
}

void EndpointListService::deliver_cached_list(Index node) {
  const std::vector<EndpointEntry> list = complete_list();
  record_notification(node, list);
  parts_.nodes.add_event(node, EndpointsCached{list});
}

void EndpointListService::request_list(Index index, bool watch) {
  SimulatedNode& node = state_.nodes[index];
  node.list_requested = state_.now();
  if (watch && node.watches_list) {
    return;
  }
  if (is_down()) {
    state_.schedule(state_.now() + kOutageTimeout, EndpointListFails{index, node.incarnation});
    return;
  }
  const Duration response_time = state_.network.draw_delay(state_.scenario.list_response_ms);
  state_.schedule(state_.now() + response_time, EndpointListArrives{index, node.incarnation, watch});
}

void EndpointListService::handle(const EndpointListArrives& event) {
  if (!runs(event.node, event.incarnation)) {
    return;
  }
  if (is_down()) {
    fail_request(event.node, event.incarnation);
    return;
  }
  SimulatedNode& node = state_.nodes[event.node];
  node.watches_list = node.watches_list || event.watch;
  const std::vector<EndpointEntry> list = complete_list();
  parts_.nodes.add_event(event.node, EndpointsSnapshot{list});
  record_notification(event.node, list);
  for (Index endpoint = 0; endpoint < state_.endpoints.size(); ++endpoint) {
    if (!state_.endpoints[endpoint].listed) {
      state_.audit.on_endpoint_reported(static_cast<int>(event.node), static_cast<int>(endpoint), true,
                                        state_.now());
    }
  }
  parts_.nodes.run_policy(event.node);
}

void EndpointListService::handle(const EndpointListFails& event) {
  fail_request(event.node, event.incarnation);
}

void EndpointListService::fail_request(Index node, int incarnation) {
  if (!runs(node, incarnation)) {
    return;
  }
  state_.nodes[node].watches_list = false;
  parts_.nodes.add_event(node, EndpointWatchFailed{});
  parts_.nodes.run_policy(node);
  if (state_.scenario.list_mode == "pushed" && is_down()) {
    state_.schedule(state_.now() + kOutageTimeout, EndpointListArrives{node, incarnation, true});
  }
}

void EndpointListService::publish_later(Index endpoint, EndpointState state, double delay_s) {
  state_.schedule(state_.now() + from_seconds(delay_s + extra_delay_s_),
                  EndpointStatePublished{endpoint, state_.endpoints[endpoint].incarnation, state});
}

void EndpointListService::handle(const EndpointStatePublished& event) {
  SimulatedEndpoint& endpoint = state_.endpoints[event.endpoint];
  const bool outdated = endpoint.incarnation != event.incarnation;
  if (outdated) {
    return;
  }
  endpoint.published = event.state;
  endpoint.listed = event.state != EndpointState::removed;
  if (is_down()) {
    return;
  }
  for (Index index = 0; index < state_.nodes.size(); ++index) {
    const SimulatedNode& node = state_.nodes[index];
    if (!node.alive) {
      continue;
    }
    if (node.watches_list) {
      const std::vector<EndpointEntry> changed{entry(event.endpoint)};
      parts_.nodes.add_event(index, EndpointsUpdate{changed});
      record_notification(index, changed);
      parts_.nodes.run_policy(index);
    } else if (event.state != EndpointState::healthy) {
      const TimePoint next_poll = node.list_requested + from_seconds(state_.scenario.list_poll_limit_s);
      state_.schedule(next_poll, PollingNodeIsNotified{index, event.endpoint});
    }
  }
}

void EndpointListService::handle(const PollingNodeIsNotified& event) {
  const bool leaving = state_.endpoints[event.endpoint].published != EndpointState::healthy;
  if (leaving && state_.nodes[event.node].alive) {
    state_.audit.on_endpoint_reported(static_cast<int>(event.node), static_cast<int>(event.endpoint), true,
                                      state_.now());
  }
}

void EndpointListService::begin_outage() {
  ++outages_;
  for (Index index = 0; index < state_.nodes.size(); ++index) {
    const SimulatedNode& node = state_.nodes[index];
    if (node.alive && node.watches_list) {
      fail_request(index, node.incarnation);
    }
  }
}

}  // namespace dapplewharf::emulator
