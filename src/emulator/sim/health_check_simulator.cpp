#include "emulator/sim/health_check_simulator.h"

#include "emulator/model/chance.h"
#include "emulator/sim/node_simulator.h"
#include "emulator/sim/sim_time.h"

namespace dapplewharf::emulator {
namespace {

constexpr Duration kResponseTimeout = 50 * kMs;  // in addition to the connect timeout
constexpr std::uint64_t kFailureDraw = 0x9b0be;

}  // namespace

void HealthCheckSimulator::begin(Index node, const std::string& endpoint_name) {
  const std::optional<Index> endpoint = state_.find_endpoint(endpoint_name);
  if (!endpoint) {
    return;
  }
  const SimulatedEndpoint& target = state_.endpoints[*endpoint];
  const auto index = static_cast<Index>(state_.health_checks.size());
  state_.health_checks.push_back({.node = node,
                                  .endpoint = *endpoint,
                                  .node_incarnation = state_.nodes[node].incarnation,
                                  .endpoint_incarnation = target.incarnation,
                                  .started = state_.now()});
  ++state_.result.health_checks;
  const Duration one_way = state_.draw_node_delay(node, *endpoint);
  const Duration timeout = from_milliseconds(state_.scenario.connect_timeout_ms) + kResponseTimeout;
  const bool reachable =
      target.condition != EndpointCondition::vanished && !state_.responses_lost(node, *endpoint);
  const Outcome timeout_outcome = reachable ? Outcome::timed_out : Outcome::connect_failed;
  state_.schedule(state_.now() + timeout, HealthCheckEnds{index, timeout_outcome});
  if (!reachable) {
    return;
  }
  if (target.condition == EndpointCondition::down) {
    state_.schedule(state_.now() + 2 * one_way, HealthCheckEnds{index, Outcome::connect_failed});
  } else {
    state_.schedule(state_.now() + one_way, HealthCheckArrives{index});
  }
}

void HealthCheckSimulator::handle(const HealthCheckArrives& event) {
  const SimulatedHealthCheck& check = state_.health_checks[event.health_check];
  SimulatedEndpoint& endpoint = state_.endpoints[check.endpoint];
  if (check.ended || endpoint.condition != EndpointCondition::up) {
    return;
  }
  const bool fails = stable_fraction(state_.seed, kFailureDraw + event.health_check) < endpoint.failing_share;
  Duration response_time = 0;
  if (!fails) {
    endpoint.model.advance(state_.now());
    response_time = from_milliseconds(endpoint.model.health_check_ms());
  }
  const Duration one_way = state_.draw_node_delay(check.node, check.endpoint);
  state_.schedule(state_.now() + response_time + one_way,
                  HealthCheckEnds{event.health_check, fails ? Outcome::error : Outcome::succeeded});
}

void HealthCheckSimulator::handle(const HealthCheckEnds& event) {
  SimulatedHealthCheck& check = state_.health_checks[event.health_check];
  if (check.ended) {
    return;
  }
  const bool restarted = state_.endpoints[check.endpoint].incarnation != check.endpoint_incarnation;
  if (event.outcome == Outcome::succeeded &&
      (restarted || state_.responses_lost(check.node, check.endpoint))) {
    return;
  }
  check.ended = true;
  const Index node = check.node;
  if (!state_.nodes[node].alive || state_.nodes[node].incarnation != check.node_incarnation) {
    return;
  }
  parts_.nodes.add_event(node, HealthCheckEnded{.endpoint = state_.plan.hosts[check.endpoint].id,
                                                .outcome = event.outcome,
                                                .duration = state_.now() - check.started,
                                                .reported_values = {}});
  parts_.nodes.run_policy(node);
}

}  // namespace dapplewharf::emulator
