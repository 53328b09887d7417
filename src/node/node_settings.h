// The node's settings: the load balancer's and those that the node itself uses. Parsed at the start and at
// each reload. Plain data. Design: docs/design.md.
#pragma once
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "policy/settings.h"
#include "wire/lines.h"

namespace dapplewharf {

/// The parsed settings.
struct NodeSettings {
  Settings policy;               ///< the load balancer's settings
  bool affinity_groups = false;  ///< whether affinity groups are passed to the load balancer
  RequestSchema request_schema;  ///< the traffic types and tenants that a request line may name

  /// Returns the rule of a traffic type; for an unknown type, the default rule, which is non-idempotent.
  [[nodiscard]] RepeatRule repeat_rule(const std::string& traffic_type) const;
};

/// Parses the platform's JSON settings. Throws SettingsError or nlohmann::json::exception.
[[nodiscard]] NodeSettings parse_node_settings(const nlohmann::json& source);

}  // namespace dapplewharf
