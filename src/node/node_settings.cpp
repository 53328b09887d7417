// Parsing of the node's settings from the platform's JSON. Design: docs/design.md.
#include "node/node_settings.h"

#include <nlohmann/json.hpp>

#include "config/platform_settings.h"

namespace dapplewharf {

RepeatRule NodeSettings::repeat_rule(const std::string& traffic_type) const {
  const TrafficClass* traffic = policy.find_traffic(traffic_type);
  return traffic ? traffic->repeat_rule : RepeatRule{};
}

NodeSettings parse_node_settings(const nlohmann::json& source) {
  NodeSettings settings;
  settings.policy = parse_platform_settings(source);
  const nlohmann::json::json_pointer groups("/extra/groups");
  settings.affinity_groups = source.contains(groups) && source.at(groups) == true;
  for (const TrafficClass& traffic : settings.policy.traffic) {
    settings.request_schema.traffic[traffic.name] = traffic.deadline.value_or(kNever);
  }
  for (const Tenant& tenant : settings.policy.tenants) {
    if (!tenant.name.empty()) {  // a tenant without a name has only a quota
      settings.request_schema.tenants.insert(tenant.name);
    }
  }
  return settings;
}

}  // namespace dapplewharf
