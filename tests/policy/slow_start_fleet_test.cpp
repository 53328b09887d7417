// What all nodes together send a cold host, measured in virtual time against the operators' bound: within the
// time that the settings name no more than N calls, N being what they allow it then, and 2 x root of N + 2
// for chance.
#include <cmath>
#include <cstdio>

#include "support/fixtures.h"

using namespace dapplewharf;

namespace {

constexpr double kBorne = 40;  // connections that stand at a warm host
constexpr double kMultiple = 4, kFrom = 0.14, kColdTime = 24 * kSecond, kFallTime = 1500 * kMs;
constexpr int kWarm = 6;
constexpr Duration kTick = 200 * kMs;

struct Case {
  int nodes;
  bool even, crowd, restarts;
};

// The most that all nodes sent the cold host within the time, over the bound; below 0: within it.
struct Measured {
  double over = -1e9, sum = 0, bound = 0, age_s = 0;
  int sent = 0;
};

double allowed(Duration age) {
  const double filled = std::min(1.0, kFrom + (1 - kFrom) * static_cast<double>(age) / kColdTime);
  const double n = kMultiple * kBorne * filled / kColdTime * kFallTime;
  return n + 2 * std::sqrt(n) + 2;
}

std::unique_ptr<LoadBalancerHarness> node_of(const Case& one, int me, std::uint64_t seed, TimePoint now) {
  auto harness = std::make_unique<LoadBalancerHarness>();
  harness->settings["node_count"] = static_cast<double>(one.nodes),
  harness->settings["node_index"] = static_cast<double>(me);
  harness->settings["cold_capacity_share"] = kFrom, harness->settings["warm_up_time"] = kColdTime;
  harness->settings["overload_window"] = kFallTime, harness->settings["overload_multiple"] = kMultiple;
  harness->settings["health_checks_allowed"] = 0.0;
  harness->now = now;
  harness->start(kWarm, seed * 1000 + static_cast<std::uint64_t>(me));
  return harness;
}

Measured play(const Case& one, std::uint64_t seed) {
  RandomGenerator chance(seed);
  const TimePoint start = 1000000;
  std::vector<std::unique_ptr<LoadBalancerHarness>> nodes;
  std::vector<double> part;  // of the traffic
  double parts = 0;
  for (int i = 0; i < one.nodes; ++i) {
    part.push_back(
        one.even ? 1 : std::exp(3 * chance.next_fraction()));  // the busiest has twenty times the least
    parts += part.back();
  }
  std::map<std::string, int> held;
  std::vector<std::map<std::string, int>> own(static_cast<std::size_t>(one.nodes));
  std::int64_t number = 0;
  double owed = 0;
  for (int i = 0; i < one.nodes; ++i) {
    nodes.push_back(node_of(one, i, seed, start));
    for (owed += kBorne * kWarm * part[static_cast<std::size_t>(i)] / parts; owed >= 1; --owed) {
      const std::string id = "s" + std::to_string(++number);
      const std::string host = nodes.back()->send_request(id, number);
      if (host.empty()) {
        continue;
      }
      nodes.back()->establish(id);
      ++held[host], ++own[static_cast<std::size_t>(i)][host];
    }
  }
  std::deque<TimePoint> sent;
  Measured most;
  const TimePoint born = start + kTick;
  for (TimePoint now = born; now < born + static_cast<Duration>(kColdTime); now += kTick) {
    const Duration age = now - born;
    for (int i = 0; i < one.nodes; ++i) {
      auto& harness = nodes[static_cast<std::size_t>(i)];
      auto& mine = own[static_cast<std::size_t>(i)];
      // Seven in ten forget what they sent and hold, within the time and a second time later.
      if (one.restarts && i % 10 < 7 && (age == 5 * kTick || age == 40 * kTick)) {
        harness = node_of(one, i, seed + 1, now);
        for (const auto& [host, count] : std::exchange(mine, {})) {
          held[host] -= count;
        }
        harness->update_endpoint(LoadBalancerHarness::endpoint_entry("cold", "near", born),
                                 EndpointState::healthy);
      }
      harness->now = now;
      if (age == 0) {
        harness->update_endpoint(LoadBalancerHarness::endpoint_entry("cold", "near", born),
                                 EndpointState::healthy);
      }
      if (age % (5 * kTick) == 0) {
        for (const auto& [host, count] : held) {
          harness->report_peer_connections(host, count - mine[host]);
        }
      }
      if (one.crowd && age % (5 * kTick) == 0) {  // a host with connections of this node is late all along
        FlatEvent late;
        late.kind = EventKind::latency_reported, late.endpoint = "h0", late.value = 600;
        harness->send_event(late);
      }
      harness->send_event(FlatEvent{});  // an alarm
      // Twenty times as much comes as the cold host may have.
      const double comes = 20 * allowed(age) * kTick / kFallTime * part[static_cast<std::size_t>(i)] / parts;
      for (double left = comes; left > 0; --left) {
        if (left < 1 && chance.next_fraction() >= left) {
          break;
        }
        const std::string id = "t" + std::to_string(++number);
        const std::string host = harness->send_request(id, number);
        if (host.empty()) {
          continue;
        }
        if (host == "cold") {
          sent.push_back(now), ++most.sent;
        }
        harness->establish(id);
        harness->end_attempt(id, Outcome::succeeded, true);
      }
    }
    while (!sent.empty() && static_cast<double>(now - sent.front()) >= kFallTime) {
      sent.pop_front();
    }
    const double over = static_cast<double>(sent.size()) - allowed(age);
    if (over > most.over) {
      most = {over, static_cast<double>(sent.size()), allowed(age), static_cast<double>(age) / kSecond,
              most.sent};
    }
  }
  return most;
}

}  // namespace

TEST(ColdFleet, WhatAllNodesSendAColdHostStaysWithinWhatTheSettingsAllow) {
  for (const Case& one :
       {Case{4, true, false, false}, Case{4, false, true, false}, Case{20, false, false, true},
        Case{20, false, true, true}, Case{30, true, true, false}, Case{30, false, false, true},
        Case{300, true, false, false}, Case{350, false, true, true}}) {
    for (std::uint64_t seed = 1; seed <= (one.nodes < 100 ? 4 : 1); ++seed) {
      const Measured most = play(one, seed);
      std::printf("%d nodes, %s, %s%s, seed %d: most %.0f of %.1f at age %.1f s, sent in all %d\n", one.nodes,
                  one.even ? "even" : "uneven", one.crowd ? "crowd" : "no crowd",
                  one.restarts ? ", restarts" : "", static_cast<int>(seed), most.sum, most.bound, most.age_s,
                  most.sent);
      EXPECT_LE(most.over, 0);
    }
  }
}
