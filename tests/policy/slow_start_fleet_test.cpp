// The connections that many nodes together open to one endpoint in slow start, in virtual time. Within any
// overload window they must not exceed N + 2 * sqrt(N) + 2, where N is what the settings allow at the
// endpoint's age and the rest allows for random variation.
#include <cmath>
#include <cstdio>

#include "support/fixtures.h"

using namespace dapplewharf;

namespace {

constexpr double kConnectionsPerWarmEndpoint = 40;
constexpr double kOverloadMultiple = 4;
constexpr double kColdCapacityShare = 0.14;
constexpr double kWarmUpTime = 24 * kSecond;
constexpr double kOverloadWindow = 1500 * kMs;
constexpr int kWarmEndpoints = 6;
constexpr Duration kStep = 200 * kMs;
constexpr Duration kListOutage = 35 * kStep;
constexpr TimePoint kRestartAges[] = {5 * kStep, 40 * kStep};

struct Case {
  int nodes;
  bool has_even_traffic;  // otherwise the busiest node gets about twenty times the least busy one's traffic
  bool has_surge;
  bool has_restarts;  // seven in ten nodes restart twice
  // They then have a cached list in which the endpoint is warm, until the list service is back.
  bool has_list_outage = false;
};

// The overload window in which the endpoint in slow start got the most connections relative to the bound.
struct WorstWindow {
  double excess = -1e9;  // connections over the bound; below 0: within the bound
  double connections = 0;
  double bound = 0;
  double age_s = 0;       // of the endpoint, in seconds
  int sent_in_total = 0;  // over the whole slow start
};

// The bound for the window that ends at this age.
double max_connections_in_window(Duration age) {
  const double capacity_share =
      std::min(1.0, kColdCapacityShare + (1 - kColdCapacityShare) * static_cast<double>(age) / kWarmUpTime);
  const double n =
      kOverloadMultiple * kConnectionsPerWarmEndpoint * capacity_share / kWarmUpTime * kOverloadWindow;
  return n + 2 * std::sqrt(n) + 2;
}

std::unique_ptr<LoadBalancerHarness> start_node(const Case& test_case, int node_index, std::uint64_t seed,
                                                TimePoint now) {
  auto harness = std::make_unique<LoadBalancerHarness>();
  harness->settings["node_count"] = static_cast<double>(test_case.nodes),
  harness->settings["node_index"] = static_cast<double>(node_index);
  harness->settings["cold_capacity_share"] = kColdCapacityShare,
  harness->settings["warm_up_time"] = kWarmUpTime;
  harness->settings["overload_window"] = kOverloadWindow,
  harness->settings["overload_multiple"] = kOverloadMultiple;
  harness->settings["health_checks_allowed"] = 0.0;
  harness->now = now;
  harness->start(kWarmEndpoints, seed * 1000 + static_cast<std::uint64_t>(node_index));
  return harness;
}

// Tells a node of the endpoint in slow start; during the outage of the list service, as the cached list has
// it.
void list_cold_endpoint(LoadBalancerHarness& harness, const Case& test_case, TimePoint started_at) {
  Duration since_restart = kNever;
  for (const TimePoint restart_age : kRestartAges) {
    const Duration since = harness.now - started_at - restart_age;
    since_restart = since >= 0 ? since : since_restart;
  }
  const bool is_in_doubt = test_case.has_list_outage && since_restart < kListOutage;
  harness.update_endpoint(LoadBalancerHarness::endpoint_entry("cold", "near", is_in_doubt ? 0 : started_at),
                          EndpointState::healthy);
  const EndpointListFreshnessChanged in_doubt{ListFreshness::unconfirmed, harness.now};
  harness.load_balancer->handle_events(harness.now,
                                       {is_in_doubt ? in_doubt : EndpointListFreshnessChanged{}});
}

WorstWindow run_case(const Case& test_case, std::uint64_t seed) {
  RandomGenerator random(seed);
  const TimePoint start = 1000000;
  std::vector<std::unique_ptr<LoadBalancerHarness>> nodes;
  std::vector<double> traffic_weight;  // by node
  double total_traffic_weight = 0;
  for (int i = 0; i < test_case.nodes; ++i) {
    traffic_weight.push_back(test_case.has_even_traffic ? 1 : std::exp(3 * random.next_fraction()));
    total_traffic_weight += traffic_weight.back();
  }
  std::map<std::string, int> connections;  // of all nodes, by endpoint
  std::vector<std::map<std::string, int>> connections_by_node(static_cast<std::size_t>(test_case.nodes));
  std::int64_t last_request_number = 0;
  double remaining_connections = 0;
  for (int i = 0; i < test_case.nodes; ++i) {
    nodes.push_back(start_node(test_case, i, seed, start));
    for (remaining_connections += kConnectionsPerWarmEndpoint * kWarmEndpoints *
                                  traffic_weight[static_cast<std::size_t>(i)] / total_traffic_weight;
         remaining_connections >= 1; --remaining_connections) {
      const std::string id = "s" + std::to_string(++last_request_number);
      const std::string endpoint = nodes.back()->send_request(id, last_request_number);
      if (endpoint.empty()) {
        continue;
      }
      nodes.back()->establish(id);
      ++connections[endpoint], ++connections_by_node[static_cast<std::size_t>(i)][endpoint];
    }
  }
  std::deque<TimePoint> sent_in_window;
  WorstWindow worst;
  const TimePoint started_at = start + kStep;
  for (TimePoint now = started_at; now < started_at + static_cast<Duration>(kWarmUpTime); now += kStep) {
    const Duration age = now - started_at;
    for (int i = 0; i < test_case.nodes; ++i) {
      auto& harness = nodes[static_cast<std::size_t>(i)];
      auto& own_connections = connections_by_node[static_cast<std::size_t>(i)];
      // Seven in ten nodes restart and lose their state, once within the first overload window and once
      // later.
      const bool restarts = test_case.has_restarts && i % 10 < 7;
      if (restarts &&
          std::find(std::begin(kRestartAges), std::end(kRestartAges), age) != std::end(kRestartAges)) {
        harness = start_node(test_case, i, seed + 1, now);
        for (const auto& [endpoint, count] : std::exchange(own_connections, {})) {
          connections[endpoint] -= count;
        }
        list_cold_endpoint(*harness, test_case, started_at);
      }
      harness->now = now;
      if (restarts && test_case.has_list_outage && age == kRestartAges[0] + kListOutage) {
        list_cold_endpoint(*harness, test_case, started_at);
      }
      if (age == 0) {
        harness->update_endpoint(LoadBalancerHarness::endpoint_entry("cold", "near", started_at),
                                 EndpointState::healthy);
      }
      if (age % (5 * kStep) == 0) {
        for (const auto& [endpoint, count] : connections) {
          harness->report_peer_connections(endpoint, count - own_connections[endpoint]);
        }
      }
      // An endpoint with connections of this node stays slow, which keeps up the surge.
      if (test_case.has_surge && age % (5 * kStep) == 0) {
        FlatEvent latency_report;
        latency_report.kind = EventKind::latency_reported, latency_report.endpoint = "h0",
        latency_report.value = 600;
        harness->send_event(latency_report);
      }
      harness->send_event(FlatEvent{});  // a timer event
      // Requests arrive at twenty times the rate that the endpoint in slow start may get.
      const double arrivals = 20 * max_connections_in_window(age) * kStep / kOverloadWindow *
                              traffic_weight[static_cast<std::size_t>(i)] / total_traffic_weight;
      for (double remaining = arrivals; remaining > 0; --remaining) {
        if (remaining < 1 && random.next_fraction() >= remaining) {
          break;
        }
        const std::string id = "t" + std::to_string(++last_request_number);
        const std::string endpoint = harness->send_request(id, last_request_number);
        if (endpoint.empty()) {
          continue;
        }
        if (endpoint == "cold") {
          sent_in_window.push_back(now), ++worst.sent_in_total;
        }
        harness->establish(id);
        harness->end_attempt(id, Outcome::succeeded, true);
      }
    }
    while (!sent_in_window.empty() && static_cast<double>(now - sent_in_window.front()) >= kOverloadWindow) {
      sent_in_window.pop_front();
    }
    const double excess = static_cast<double>(sent_in_window.size()) - max_connections_in_window(age);
    if (excess > worst.excess) {
      worst = {excess, static_cast<double>(sent_in_window.size()), max_connections_in_window(age),
               static_cast<double>(age) / kSecond, worst.sent_in_total};
    }
  }
  return worst;
}

}  // namespace

TEST(SlowStartFleet, ConnectionsOfAllNodesStayWithinTheBoundInEveryWindow) {
  for (const Case& test_case :
       {Case{4, true, false, false}, Case{4, false, true, false}, Case{20, false, false, true},
        Case{20, false, true, true}, Case{30, true, true, false}, Case{30, false, false, true},
        Case{300, true, false, false}, Case{350, false, true, true}, Case{4, true, false, true, true},
        Case{30, false, true, true, true}, Case{350, false, false, true, true}}) {
    for (std::uint64_t seed = 1; seed <= (test_case.nodes < 100 ? 4 : 1); ++seed) {
      const WorstWindow worst = run_case(test_case, seed);
      std::printf(
          "%d nodes, %s traffic, %s%s%s, seed %d: at most %.0f connections of %.1f at age %.1f s, %d in "
          "total\n",
          test_case.nodes, test_case.has_even_traffic ? "even" : "uneven",
          test_case.has_surge ? "surge" : "no surge", test_case.has_restarts ? ", restarts" : "",
          test_case.has_list_outage ? " while the list service is down" : "", static_cast<int>(seed),
          worst.connections, worst.bound, worst.age_s, worst.sent_in_total);
      EXPECT_LE(worst.excess, 0);
    }
  }
}
