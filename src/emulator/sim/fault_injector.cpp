#include "emulator/sim/fault_injector.h"

#include <algorithm>

#include "emulator/sim/client_simulator.h"
#include "emulator/sim/endpoint_list_service.h"
#include "emulator/sim/endpoint_simulator.h"
#include "emulator/sim/node_simulator.h"
#include "emulator/sim/sim_time.h"

namespace dapplewharf::emulator {

void FaultInjector::handle(const FaultBegins& event) {
  const Fault& fault = state_.plan.faults[event.fault].fault;
  state_.schedule(state_.now() + from_seconds(fault.duration_s), FaultEnds{event.fault});
  apply(event.fault, Change::begins);
}

void FaultInjector::handle(const FaultEnds& event) {
  apply(event.fault, Change::ends);
}

void FaultInjector::apply(Index index, Change change) {
  const PlannedFault& planned = state_.plan.faults[index];
  for (std::size_t position = 0; position < planned.hosts.size(); ++position) {
    apply_to_endpoint(index, position, change);
  }
  if (change == Change::begins) {
    for (const int node : planned.nodes) {
      apply_to_node(planned.fault, static_cast<Index>(node));
    }
  }
  apply_to_deployment(index, change);
}

void FaultInjector::apply_to_endpoint(Index index, std::size_t position, Change change) {
  const PlannedFault& planned = state_.plan.faults[index];
  const Fault& fault = planned.fault;
  const auto endpoint_index = static_cast<Index>(planned.hosts[position]);
  SimulatedEndpoint& endpoint = state_.endpoints[endpoint_index];
  const bool begins = change == Change::begins;
  endpoint.model.advance(state_.now());
  switch (fault.kind) {
    case FaultKind::silent:
      silence(endpoint_index, change);
      break;
    case FaultKind::slow:
      endpoint.model.slowdown *= begins ? fault.magnitude : 1 / fault.magnitude;
      break;
    case FaultKind::reset:
    case FaultKind::failing:
      endpoint.failing_share = begins ? fault.magnitude : 0;
      break;
    case FaultKind::hang:
      endpoint.hang_faults += begins ? 1 : -1;
      break;
    case FaultKind::vanish:
    case FaultKind::restart:
    case FaultKind::drain:
      if (begins) {
        stop_endpoint(index, position);
      }
      break;
    case FaultKind::neighbour:
      if (begins) {
        state_.schedule(state_.now(), NeighbourLoadChanges{index, true});
      }
      break;
    case FaultKind::disconnect:
    case FaultKind::burst:
    case FaultKind::scale_out:
    case FaultKind::list_stale:
    case FaultKind::list_down:
    case FaultKind::node_killed:
    case FaultKind::node_restarted:
    case FaultKind::node_reload:
    case FaultKind::zone_cut:
    case FaultKind::one_way:
    case FaultKind::quiet_period:
    case FaultKind::surge:
      break;
  }
  parts_.endpoints.reschedule_setup_work(endpoint_index);
}

void FaultInjector::stop_endpoint(Index index, std::size_t position) {
  const PlannedFault& planned = state_.plan.faults[index];
  const Fault& fault = planned.fault;
  const auto endpoint = static_cast<Index>(planned.hosts[position]);
  if (fault.kind == FaultKind::drain) {
    const double delay_s = fault.interval_s * static_cast<double>(position);
    state_.schedule(state_.now() + from_seconds(delay_s), DrainBegins{index, endpoint});
    return;
  }
  const bool vanishes = fault.kind == FaultKind::vanish;
  const EndpointCondition how = vanishes ? EndpointCondition::vanished : EndpointCondition::down;
  const double noticed_after_s =
      vanishes ? state_.scenario.list_removal_delay_s : state_.scenario.list_delay_s;
  parts_.endpoints.take_away(endpoint, how, fault.duration_s, noticed_after_s);
}

void FaultInjector::silence(Index index, Change change) {
  SimulatedEndpoint& endpoint = state_.endpoints[index];
  if (change == Change::begins && endpoint.condition == EndpointCondition::up) {
    endpoint.condition = EndpointCondition::silent;
    endpoint.condition_since = state_.now();
  } else if (change == Change::ends && endpoint.condition == EndpointCondition::silent) {
    endpoint.condition = EndpointCondition::up;
    parts_.endpoints.reschedule_setup_work(index);
  }
}

void FaultInjector::apply_to_node(const Fault& fault, Index node) {
  if (!state_.nodes[node].alive) {
    return;
  }
  if (fault.kind == FaultKind::node_reload) {
    state_.nodes[node].watches_list = false;
    parts_.list_service.request_list(node, true);
  } else if (fault.kind == FaultKind::node_killed) {
    parts_.nodes.kill(node);
    state_.schedule(state_.now() + from_seconds(fault.duration_s), NodeRestarts{node});
  } else {
    parts_.nodes.stop(node, from_seconds(fault.duration_s));
  }
}

void FaultInjector::apply_to_deployment(Index index, Change change) {
  const Fault& fault = state_.plan.faults[index].fault;
  const bool begins = change == Change::begins;
  const int step = begins ? 1 : -1;
  switch (fault.kind) {
    case FaultKind::list_stale:
      parts_.list_service.change_delay(step * fault.magnitude);
      break;
    case FaultKind::list_down:
      begins ? parts_.list_service.begin_outage() : parts_.list_service.end_outage();
      break;
    case FaultKind::zone_cut:
      state_.network.cuts().change_cut(zone_number(fault.from_zone), zone_number(fault.to_zone), step);
      break;
    case FaultKind::one_way:
      state_.network.cuts().change_one_way_cut(zone_number(fault.from_zone), zone_number(fault.to_zone),
                                               step);
      break;
    case FaultKind::disconnect:
      if (begins) {
        parts_.clients.disconnect_share(index);
      }
      break;
    case FaultKind::silent:
    case FaultKind::slow:
    case FaultKind::failing:
    case FaultKind::hang:
    case FaultKind::vanish:
    case FaultKind::restart:
    case FaultKind::drain:
    case FaultKind::neighbour:
    case FaultKind::reset:
    case FaultKind::burst:
    case FaultKind::scale_out:
    case FaultKind::node_killed:
    case FaultKind::node_restarted:
    case FaultKind::node_reload:
    case FaultKind::quiet_period:
    case FaultKind::surge:
      break;
  }
}

int FaultInjector::zone_number(const std::string& zone) const {
  const auto found = std::find(state_.scenario.zones.begin(), state_.scenario.zones.end(), zone);
  const bool known = found != state_.scenario.zones.end();
  return known ? static_cast<int>(found - state_.scenario.zones.begin()) : 0;
}

void FaultInjector::handle(const NeighbourLoadChanges& event) {
  const PlannedFault& planned = state_.plan.faults[event.fault];
  const Fault& fault = planned.fault;
  const bool has_ended = state_.now() >= from_seconds(fault.start_s + fault.duration_s);
  for (const int number : planned.hosts) {
    const auto index = static_cast<Index>(number);
    SimulatedEndpoint& endpoint = state_.endpoints[index];
    endpoint.model.advance(state_.now());
    endpoint.model.neighbour_share = event.active && !has_ended ? fault.magnitude : 0;
    parts_.endpoints.reschedule_setup_work(index);
  }
  if (has_ended) {
    return;
  }
  const double interval_s = fault.interval_s > 0 ? fault.interval_s : fault.duration_s;
  state_.schedule(state_.now() + from_seconds(interval_s), NeighbourLoadChanges{event.fault, !event.active});
}

}  // namespace dapplewharf::emulator
