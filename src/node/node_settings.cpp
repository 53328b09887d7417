// From the platform's JSON to the node's settings. Design: docs/design.md.
#include "node/node_settings.h"

#include <nlohmann/json.hpp>

#include "config/platform_settings.h"

namespace dapplewharf {

RepeatRule NodeSettings::repeat_rule(const std::string& traffic_type) const {
  const TrafficClass* traffic = policy.find_traffic(traffic_type);
  return traffic ? traffic->repeat_rule : RepeatRule{};
}

NodeSettings node_settings_of(const nlohmann::json& source) {
  NodeSettings to;
  to.policy = parse_platform_settings(source);
  const nlohmann::json::json_pointer groups("/extra/groups");
  to.affinity_groups = source.contains(groups) && source.at(groups) == true;
  for (const TrafficClass& traffic : to.policy.traffic) {
    to.request_schema.traffic[traffic.name] = traffic.deadline.value_or(kNever);
  }
  for (const Tenant& tenant : to.policy.tenants) {
    if (!tenant.name.empty()) {  // of the others only a quota is known
      to.request_schema.tenants.insert(tenant.name);
    }
  }
  return to;
}

}  // namespace dapplewharf
