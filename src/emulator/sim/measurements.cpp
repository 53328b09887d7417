#include "emulator/sim/measurements.h"

#include <algorithm>

#include "emulator/sim/endpoint_simulator.h"
#include "emulator/sim/node_simulator.h"
#include "emulator/sim/sim_time.h"

namespace dapplewharf::emulator {
namespace {

constexpr double kServiceStepS = static_cast<double>(kServiceStep) / kSecond;
constexpr Duration kNodeReportInterval = kSecond;
/// A node reports latencies above this share of the shortest message latency objective.
constexpr double kReportedObjectiveShare = 1.0 / 3;
/// The share of that objective that a message needs on an idle endpoint, by the estimate of a node.
constexpr double kIdleObjectiveShare = 1.0 / 5;
/// Health checks that exceed their minimum by no more are treated as noise.
constexpr double kHealthCheckNoiseMs = 1.5;
constexpr double kMinHealthCheckMs = 1e-3;
constexpr std::size_t kHealthCheckSamples = 60;  // one a second

struct WeightedQuantile {
  double quantile;
  double weight;
};
constexpr WeightedQuantile kLatencyQuantiles[] = {{0.1, 0.2},  {0.3, 0.2},   {0.5, 0.2},   {0.7, 0.2},
                                                  {0.9, 0.13}, {0.97, 0.05}, {0.995, 0.02}};

}  // namespace

void Measurements::start() {
  state_.schedule(kServiceStep, ServiceMeasured{});
  state_.schedule(kNodeReportInterval, NodeReportsDue{});
}

void Measurements::handle(const ServiceMeasured&) {
  const TimePoint now = state_.now();
  const double step_began_s = to_seconds(now - kServiceStep);
  Second& second = state_.result.second_at(step_began_s);
  Service service;
  add_wanted(service);
  for (Index endpoint = 0; endpoint < state_.endpoints.size(); ++endpoint) {
    add_served(endpoint, second, service);
  }
  connection_s_ += service.connected * kServiceStepS;
  second.value_requested += service.wanted;
  second.value_served += service.served;
  second.established_connections = service.connected;
  if (second.connections_by_endpoint.empty() || now % kSecond == 0) {
    record_open_connections(second);
  }
  if (now <= state_.end && step_began_s >= state_.scenario.settle_s) {
    state_.result.value_requested += service.wanted;
    state_.result.value_served += service.served;
  }
  if (now < state_.end) {
    state_.schedule(now + kServiceStep, ServiceMeasured{});
  }
  if (state_.defect == NodeDefect::corrupts_bytes && now % kSecond == 0) {
    corrupt_one_message();
  }
}

void Measurements::add_wanted(Service& service) const {
  for (std::size_t type = 0; type < state_.clients_in_session.size(); ++type) {
    service.wanted +=
        state_.clients_in_session[type] * state_.scenario.traffic_types[type].value * kServiceStepS;
  }
}

void Measurements::add_served(Index index, Second& second, Service& service) {
  SimulatedEndpoint& endpoint = state_.endpoints[index];
  endpoint.model.advance(state_.now());
  parts_.endpoints.shed_overload(index);
  const int endpoint_zone = state_.zone_of_endpoint(index);
  for (int zone = 0; zone < static_cast<int>(state_.scenario.zones.size()); ++zone) {
    for (std::size_t type = 0; type < state_.scenario.traffic_types.size(); ++type) {
      const int clients = endpoint.served[state_.served_position(zone, type)];
      if (clients == 0) {
        continue;
      }
      service.connected += clients;
      if (!state_.is_up(index) || state_.network.cuts().responses_lost(endpoint_zone, zone)) {
        continue;
      }
      const TrafficType& traffic = state_.scenario.traffic_types[type];
      const double round_trip_ms = 2 * (zone == endpoint_zone ? state_.scenario.same_zone_delay_ms
                                                              : state_.scenario.cross_zone_delay_ms);
      const double in_time = endpoint.model.share_within(traffic.message_goal_ms - round_trip_ms);
      service.served += clients * traffic.value * kServiceStepS * in_time;
      add_latencies(endpoint.model, round_trip_ms, clients, second);
    }
  }
}

void Measurements::add_latencies(const HostModel& model, double round_trip_ms, int clients, Second& second) {
  for (const auto& [quantile, weight] : kLatencyQuantiles) {
    const double latency_ms = round_trip_ms + model.delay_quantile_ms(quantile);
    second.message_latency.add(latency_ms, clients * weight);
    if (state_.now() <= state_.end) {
      state_.result.message_latency.add(latency_ms, clients * weight);
    }
  }
}

void Measurements::record_open_connections(Second& second) const {
  second.connections_by_endpoint.clear();
  for (const SimulatedEndpoint& endpoint : state_.endpoints) {
    const bool down = endpoint.condition == EndpointCondition::down;
    second.connections_by_endpoint.push_back(down ? 0 : static_cast<int>(endpoint.established.size()));
  }
}

void Measurements::corrupt_one_message() {
  for (const SimulatedClient& client : state_.clients) {
    if (client.connected) {
      state_.audit.on_line_compared(client.request_id, false, state_.now());
      return;
    }
  }
}

void Measurements::handle(const NodeReportsDue&) {
  sample_health_checks();
  for (Index node = 0; node < state_.nodes.size(); ++node) {
    if (state_.nodes[node].alive) {
      report_latencies(node);
    }
  }
  for (Index endpoint = 0; endpoint < state_.endpoints.size(); ++endpoint) {
    report_stalled_requests(endpoint);
  }
  if (state_.now() < state_.end) {
    state_.schedule(state_.now() + kNodeReportInterval, NodeReportsDue{});
  }
}

void Measurements::sample_health_checks() {
  for (SimulatedEndpoint& endpoint : state_.endpoints) {
    if (endpoint.condition != EndpointCondition::up) {
      continue;
    }
    endpoint.health_check_ms.push_back(endpoint.model.health_check_ms());
    if (endpoint.health_check_ms.size() > kHealthCheckSamples) {
      endpoint.health_check_ms.pop_front();
    }
  }
}

void Measurements::report_latencies(Index node_index) {
  SimulatedNode& node = state_.nodes[node_index];
  for (Index index = 0; index < state_.endpoints.size(); ++index) {
    const SimulatedEndpoint& endpoint = state_.endpoints[index];
    if (endpoint.condition != EndpointCondition::up || state_.responses_lost(node_index, index)) {
      continue;
    }
    const bool same_zone = node.zone == state_.zone_of_endpoint(index);
    const double round_trip_ms = same_zone ? 0 : 2 * state_.scenario.cross_zone_delay_ms;
    const double latency_ms =
        std::max(endpoint.model.delay_quantile_ms(0.5) + round_trip_ms, latency_by_health_checks(index));
    const double reported_over_ms = state_.shortest_message_objective_ms * kReportedObjectiveShare;
    const bool slow = latency_ms > reported_over_ms && node.established[index] > 0;
    if (!slow && !node.slow_endpoints[index]) {
      continue;
    }
    node.slow_endpoints[index] = slow;
    parts_.nodes.add_event(node_index, LatencyReported{.request_id = "",
                                                       .endpoint = state_.plan.hosts[index].id,
                                                       .latency = latency_ms * kMs});
  }
  parts_.nodes.run_policy(node_index);
}

void Measurements::report_stalled_requests(Index index) {
  const SimulatedEndpoint& endpoint = state_.endpoints[index];
  const std::vector<Index> established = endpoint.established;
  for (const Index number : established) {
    const SimulatedConnection& connection = state_.connections[number];
    const Index node = connection.node;
    const bool responds = state_.is_up(index) && !state_.responses_lost(node, index);
    const bool open_at_node = !connection.closed && connection.established_at_node;
    if (responds || !open_at_node || !state_.node_runs(connection)) {
      continue;
    }
    const TimePoint since =
        std::max({endpoint.condition_since, connection.started, link_cut_since(connection)});
    const Duration stalled_for = (state_.now() - since) / kNodeReportInterval * kNodeReportInterval;
    if (stalled_for <= 0) {
      continue;
    }
    parts_.nodes.add_event(node, RequestStalled{.request_id = state_.request_id(connection),
                                                .endpoint = state_.plan.hosts[index].id,
                                                .unanswered_for = stalled_for});
    parts_.nodes.run_policy(node);
  }
}

// The latency that a node estimates: the excess of the last health check over the fastest one of the last
// minute.
double Measurements::latency_by_health_checks(Index index) const {
  const std::deque<double>& samples = state_.endpoints[index].health_check_ms;
  if (samples.empty()) {
    return 0;
  }
  const double fastest = *std::min_element(samples.begin(), samples.end());
  const double excess_ms = samples.back() - fastest;
  const double scaled_objective_ms = kIdleObjectiveShare * state_.shortest_message_objective_ms *
                                     samples.back() / std::max(fastest, kMinHealthCheckMs);
  return excess_ms > kHealthCheckNoiseMs ? std::max(excess_ms, scaled_objective_ms) : excess_ms;
}

TimePoint Measurements::link_cut_since(const SimulatedConnection& connection) const {
  TimePoint since = 0;
  for (const PlannedFault& planned : state_.plan.faults) {
    const Fault& fault = planned.fault;
    const bool cuts_links = fault.kind == FaultKind::zone_cut || fault.kind == FaultKind::one_way;
    if (cuts_links && from_seconds(fault.start_s) <= state_.now() &&
        state_.responses_lost(connection.node, connection.endpoint)) {
      since = std::max(since, from_seconds(fault.start_s));
    }
  }
  return since;
}

}  // namespace dapplewharf::emulator
