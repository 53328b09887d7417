// A scenario in the platform's words: the settings that a node is configured with. Pure; knows no addresses.
#pragma once
#include <nlohmann/json.hpp>

#include "emulator/model/plan.h"

namespace dapplewharf::emulator {

nlohmann::json env_of(const Scenario& scenario, const Plan& plan, int node);

}  // namespace dapplewharf::emulator
