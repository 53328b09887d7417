#include "emulator/live/endpoint_faults.h"

#include <algorithm>

#include "emulator/live/endpoint_connections.h"
#include "emulator/live/endpoint_list_server.h"
#include "emulator/live/endpoint_listeners.h"
#include "emulator/model/scenario_time.h"

namespace dapplewharf::emulator {
namespace {

constexpr Duration kDrainStepInterval = 500 * kMs;
constexpr double kDrainStepShare = 0.2;  // of the remaining connections
constexpr double kLongerThanAnyRunS = 1e5;

}  // namespace

void EndpointFaults::schedule_plan() {
  for (int index = 0; index < rig_.endpoint_count(); ++index) {
    const double join_time_s = rig_.planned(index).join_time_s;
    if (join_time_s > 0) {
      rig_.process.schedule_once(from_seconds(join_time_s),
                                 [this, index] { restart(index, rig_.endpoint(index).incarnation); });
    }
  }
  for (std::size_t index = 0; index < rig_.plan.faults.size(); ++index) {
    const Fault& fault = rig_.plan.faults[index].fault;
    rig_.process.schedule_once(from_seconds(fault.start_s), [this, index] { apply(index, Change::begins); });
    rig_.process.schedule_once(from_seconds(fault.start_s + fault.duration_s),
                               [this, index] { apply(index, Change::ends); });
  }
}

void EndpointFaults::apply(std::size_t index, Change change) {
  const PlannedFault& planned = rig_.plan.faults[index];
  for (std::size_t position = 0; position < planned.hosts.size(); ++position) {
    apply_to_endpoint(index, position, change);
  }
  if (planned.fault.kind == FaultKind::neighbour && change == Change::begins) {
    set_neighbour_load(index, true);
  }
  apply_to_deployment(planned.fault, change);
}

void EndpointFaults::apply_to_endpoint(std::size_t index, std::size_t position, Change change) {
  const PlannedFault& planned = rig_.plan.faults[index];
  const Fault& fault = planned.fault;
  const int endpoint_index = planned.hosts[position];
  EmulatedEndpoint& endpoint = rig_.endpoint(endpoint_index);
  const bool begins = change == Change::begins;
  endpoint.model.advance(rig_.process.now());
  switch (fault.kind) {
    case FaultKind::silent:
      silence(endpoint_index, change);
      break;
    case FaultKind::slow:
      endpoint.model.slowdown *= begins ? fault.magnitude : 1 / fault.magnitude;
      break;
    case FaultKind::failing:
      endpoint.failing_share = begins ? fault.magnitude : 0;
      break;
    case FaultKind::reset:
      endpoint.resetting_share = begins ? fault.magnitude : 0;
      break;
    case FaultKind::hang:
      endpoint.hang_faults += begins ? 1 : -1;
      break;
    case FaultKind::vanish:
    case FaultKind::restart:
    case FaultKind::drain:
      if (begins) {
        take_endpoint_away(index, position);
      }
      break;
    case FaultKind::neighbour:
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
  parts_.connections.schedule_setup_work(endpoint_index);
}

void EndpointFaults::take_endpoint_away(std::size_t index, std::size_t position) {
  const PlannedFault& planned = rig_.plan.faults[index];
  const Fault& fault = planned.fault;
  const int endpoint = planned.hosts[position];
  if (fault.kind == FaultKind::drain) {
    const double delay_s = fault.interval_s * static_cast<double>(position);
    rig_.process.schedule_once(rig_.process.now() + from_seconds(delay_s),
                               [this, index, endpoint] { begin_drain(index, endpoint); });
    return;
  }
  const bool vanishes = fault.kind == FaultKind::vanish;
  const EndpointCondition how = vanishes ? EndpointCondition::vanished : EndpointCondition::down;
  const double noticed_after_s = vanishes ? rig_.scenario.list_removal_delay_s : rig_.scenario.list_delay_s;
  take_away(endpoint, how, fault.duration_s, noticed_after_s);
}

void EndpointFaults::silence(int index, Change change) {
  const EndpointCondition condition = rig_.endpoint(index).condition;
  if (change == Change::begins && condition == EndpointCondition::up) {
    set_condition(index, EndpointCondition::silent);
  } else if (change == Change::ends && condition == EndpointCondition::silent) {
    set_condition(index, EndpointCondition::up);
  }
}

void EndpointFaults::apply_to_deployment(const Fault& fault, Change change) {
  const bool begins = change == Change::begins;
  const int step = begins ? 1 : -1;
  if (fault.kind == FaultKind::list_stale) {
    parts_.list_server.change_delay(step * fault.magnitude);
  }
  if (fault.kind == FaultKind::list_down) {
    begins ? parts_.list_server.begin_outage() : parts_.list_server.end_outage();
  }
  if (fault.kind == FaultKind::zone_cut) {
    rig_.cuts.change_cut(zone_number(fault.from_zone), zone_number(fault.to_zone), step);
    update_links();
  }
  if (fault.kind == FaultKind::one_way) {
    rig_.cuts.change_one_way_cut(zone_number(fault.from_zone), zone_number(fault.to_zone), step);
    update_links();
  }
}

void EndpointFaults::update_links() {
  for (int index = 0; index < rig_.endpoint_count(); ++index) {
    parts_.listeners.update_reachability(index);
  }
  for (int index = 0; index < rig_.endpoint_count(); ++index) {
    parts_.connections.update_interest(index);
  }
}

int EndpointFaults::zone_number(const std::string& name) const {
  const auto found = std::find(rig_.scenario.zones.begin(), rig_.scenario.zones.end(), name);
  return static_cast<int>(found - rig_.scenario.zones.begin());
}

void EndpointFaults::set_condition(int index, EndpointCondition condition) {
  rig_.endpoint(index).condition = condition;
  const bool up = condition == EndpointCondition::up;
  rig_.process.record(RecordKind::endpoint_state, "", index, up);
  if (condition != EndpointCondition::down) {
    parts_.listeners.update_reachability(index);
  }
  parts_.connections.update_interest(index);
  if (up) {
    parts_.connections.schedule_setup_work(index);
  }
}

void EndpointFaults::set_neighbour_load(std::size_t index, bool active) {
  const PlannedFault& planned = rig_.plan.faults[index];
  const Fault& fault = planned.fault;
  const bool over = rig_.process.now() >= from_seconds(fault.start_s + fault.duration_s);
  for (const int number : planned.hosts) {
    EmulatedEndpoint& endpoint = rig_.endpoint(number);
    endpoint.model.advance(rig_.process.now());
    endpoint.model.neighbour_share = active && !over ? fault.magnitude : 0;
    parts_.connections.schedule_setup_work(number);
  }
  if (over) {
    return;
  }
  const double span_s = fault.interval_s > 0 ? fault.interval_s : fault.duration_s;
  rig_.process.schedule_once(rig_.process.now() + from_seconds(span_s),
                             [this, index, active] { set_neighbour_load(index, !active); });
}

void EndpointFaults::fall_over(int index) {
  rig_.endpoint(index).overwhelmed = true;
  take_away(index, EndpointCondition::down, kLongerThanAnyRunS, rig_.scenario.list_delay_s);
}

void EndpointFaults::take_away(int index, EndpointCondition how, double away_s, double noticed_after_s) {
  const EmulatedEndpoint& endpoint = rig_.endpoint(index);
  if (endpoint.condition != EndpointCondition::up && endpoint.condition != EndpointCondition::silent) {
    return;
  }
  if (noticed_after_s < away_s) {
    parts_.list_server.publish_later(index, EndpointState::removed, noticed_after_s);
  }
  set_condition(index, how);
  if (how == EndpointCondition::down) {
    parts_.listeners.close(index);
    parts_.connections.reset_all(index);
  }
  rig_.process.schedule_once(
      rig_.process.now() + from_seconds(away_s),
      [this, index, incarnation = endpoint.incarnation] { restart(index, incarnation); });
}

void EndpointFaults::restart(int index, int incarnation) {
  EmulatedEndpoint& endpoint = rig_.endpoint(index);
  if (endpoint.incarnation != incarnation || endpoint.overwhelmed) {
    return;
  }
  parts_.listeners.close(index);
  parts_.connections.reset_all(index);
  ++endpoint.incarnation;
  endpoint.open_connections = 0;
  endpoint.draining = false;
  endpoint.setups.clear();
  endpoint.established.clear();
  endpoint.model.start(rig_.process.now(), true);
  endpoint.started_unix_ms = static_cast<double>(EventLoop::unix_now()) / kMs;
  endpoint.condition = EndpointCondition::up;
  parts_.listeners.open(index);
  rig_.process.record(RecordKind::endpoint_state, "", index, 1);
  parts_.list_server.publish_later(index, EndpointState::healthy, rig_.scenario.list_delay_s);
}

void EndpointFaults::begin_drain(std::size_t fault_index, int index) {
  EmulatedEndpoint& endpoint = rig_.endpoint(index);
  const Fault& fault = rig_.plan.faults[fault_index].fault;
  if (endpoint.condition != EndpointCondition::up) {
    return;
  }
  endpoint.draining = true;
  endpoint.drain_pace = fault.drain_pace;
  parts_.list_server.publish_later(index, EndpointState::draining, rig_.scenario.list_delay_s);
  const int incarnation = endpoint.incarnation;
  if (endpoint.drain_pace != "none") {
    rig_.process.schedule_once(rig_.process.now() + from_seconds(rig_.scenario.list_delay_s),
                               [this, index, incarnation] { drain_step(index, incarnation); });
  }
  rig_.process.schedule_once(rig_.process.now() + from_seconds(drain_duration_s(fault)),
                             [this, index, incarnation] { restart(index, incarnation); });
}

void EndpointFaults::drain_step(int index, int incarnation) {
  const EmulatedEndpoint& endpoint = rig_.endpoint(index);
  const bool drains = endpoint.draining && endpoint.condition == EndpointCondition::up;
  if (endpoint.incarnation != incarnation || !drains || endpoint.established.empty()) {
    return;
  }
  parts_.connections.send_away(index, endpoint.drain_pace == "at_once" ? 1 : kDrainStepShare);
  rig_.process.schedule_once(rig_.process.now() + kDrainStepInterval,
                             [this, index, incarnation] { drain_step(index, incarnation); });
}

}  // namespace dapplewharf::emulator
