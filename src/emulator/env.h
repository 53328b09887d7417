// The settings that a scenario's node is configured with, in the form that the platform sends.
#pragma once
#include <nlohmann/json.hpp>

#include "emulator/model/plan.h"

namespace dapplewharf::emulator {

/// The settings of one node; without addresses.
nlohmann::json make_node_settings(const Scenario& scenario, const Plan& plan, int node);

}  // namespace dapplewharf::emulator
