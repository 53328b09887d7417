// What the node itself, beside the load balancer, takes from the settings: parsed once at the start and at
// each reload. Plain data. Design: docs/design.md.
#pragma once
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "policy/settings.h"
#include "wire/lines.h"

namespace dapplewharf {

struct NodeSettings {
  Settings policy;               ///< those of the load balancer
  bool affinity_groups = false;  ///< clients' groups are passed on to the load balancer
  RequestSchema request_schema;  ///< what a request line may name

  /// The rule of a traffic type; a request of an unknown type may never be repeated.
  [[nodiscard]] RepeatRule repeat_rule(const std::string& traffic_type) const;
};

/// All that the node takes from the platform's JSON. Throws SettingsError or nlohmann::json::exception.
[[nodiscard]] NodeSettings node_settings_of(const nlohmann::json& source);

}  // namespace dapplewharf
