// A scenario of two endpoints, two zones and three traffic types, and its plan, for tests of the model and
// the auditor.
#pragma once
#include "emulator/model/host.h"
#include "emulator/model/plan.h"

namespace dapplewharf::emulator {

/// The scenario and its plan for seed 1.
struct World {
  Scenario scenario;
  Plan plan;
  World() {
    scenario.name = "test";
    scenario.host_count = 2, scenario.speed_spread = 0, scenario.warm_up_s = 10,
    scenario.cold_capacity_share = 0.5;
    scenario.connections_per_core = 10, scenario.initial_clients = 20, scenario.load_swing = 0,
    scenario.load_spread = 0;
    scenario.zones = {"a", "b"};
    scenario.host_kinds.push_back({"plain", 1, 1, 1});
    scenario.traffic_types.push_back({});
    scenario.traffic_types[0].name = "plain";
    scenario.traffic_types.push_back(scenario.traffic_types[0]);
    scenario.traffic_types[1].name = "once", scenario.traffic_types[1].effect = "unrepeatable";
    scenario.traffic_types.push_back(scenario.traffic_types[0]);
    scenario.traffic_types[2].name = "marked", scenario.traffic_types[2].effect = "deduplicated",
    scenario.traffic_types[2].repeat_group = "zone";
    plan = make_plan(scenario, 1);
  }
  /// A freshly started host of the plan.
  HostModel host(bool is_cold = false) {
    HostModel model(scenario, plan, plan.hosts[0]);
    model.start(0, is_cold);
    return model;
  }
};

}  // namespace dapplewharf::emulator
