// A scenario of two endpoints, two zones and three traffic types, and its plan, for tests of the model and
// the auditor.
#pragma once
#include "emulator/model/host.h"
#include "emulator/model/plan.h"

namespace dapplewharf::emulator {

struct World {
  Scenario scenario;
  Plan plan;
  World() {
    scenario.name = "test";
    scenario.hosts = 2, scenario.speed_spread = 0, scenario.cold_s = 10, scenario.cold_from = 0.5;
    scenario.per_core = 10, scenario.standing = 20, scenario.swing = 0, scenario.load_spread = 0;
    scenario.zones = {"a", "b"};
    scenario.kinds.push_back({"plain", 1, 1, 1});
    scenario.traffic.push_back({});
    scenario.traffic[0].name = "plain";
    scenario.traffic.push_back(scenario.traffic[0]);
    scenario.traffic[1].name = "once", scenario.traffic[1].effect = "unrepeatable";
    scenario.traffic.push_back(scenario.traffic[0]);
    scenario.traffic[2].name = "marked", scenario.traffic[2].effect = "deduplicated",
    scenario.traffic[2].repeat_group = "zone";
    plan = plan_of(scenario, 1);
  }
  HostModel host(bool cold = false) {
    HostModel made(scenario, plan, plan.hosts[0]);
    made.start(0, cold);
    return made;
  }
};

}  // namespace dapplewharf::emulator
