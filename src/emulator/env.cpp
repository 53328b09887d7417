#include "emulator/env.h"

#include <cmath>

using nlohmann::json;

namespace dapplewharf::emulator {
namespace {

/// The share of the endpoints' total capacity that is divided among the tenants as quotas.
constexpr double kTenantQuotaShare = 0.85;

}  // namespace

json make_node_settings(const Scenario& scenario, const Plan& plan, int node) {
  json lanes = json::array();
  json realms = json::array();
  json goals = json::array();
  json quotas = json::array();
  for (const TrafficType& type : scenario.traffic_types) {
    lanes.push_back({{"name", type.name},
                     {"semantics", type.effect == "unrepeatable" ? "at_most_once" : type.effect},
                     {"group", type.repeat_group},
                     {"windowMs", type.repeat_window_ms},
                     {"objectiveMs", type.latency_goal_ms},
                     {"hardLimitMs", type.expiry_ms},
                     {"worth", type.value},
                     {"stream", true}});
    goals.push_back(type.message_goal_ms);
  }
  double cores = 0;
  for (const PlannedHost& host : plan.hosts) {
    if (host.join_time_s == 0) {
      cores += host.nominal_size;
    }
  }
  for (const Tenant& tenant : scenario.tenants) {
    realms.push_back({{"name", tenant.name}, {"portion", tenant.share}, {"quotaPerS", 0.0}});
    quotas.push_back(std::floor(tenant.share * kTenantQuotaShare * cores * scenario.connections_per_core /
                                plan.mean_load));
  }
  return {{"bounds",
           {{"cancel", true},
            {"dialTimeoutMs", scenario.connect_timeout_ms},
            {"maxAttempts", scenario.max_attempts},
            {"maxRetryAfterMs", scenario.max_retry_after_ms},
            {"peerMessages", false},
            {"probes", true},
            {"retryAfter", scenario.max_retry_after_ms > 0},
            {"secondCopies", false}}},
          {"charges", {{"probe", 0.0016}, {"moves", 0.021}, {"crossZone", 0.16}}},
          {"discovery", scenario.list_mode},
          {"extra",
           {{"groups", scenario.group_count > 0},
            {"messageAimMs", goals},
            {"mode", "proxy"},
            {"parkMs", 0.0},
            {"tellsDelay", true},
            {"tellsLoad", true},
            {"tenantQuotaConnections", quotas}}},
          {"guarantees",
           {{"askWithinMs", scenario.list_poll_limit_s * 1000},
            {"coldFrom", scenario.cold_capacity_share},
            {"coldMs", scenario.warm_up_s * 1000},
            {"fallMs", scenario.cold_failure_window_ms},
            {"fallMultiple", scenario.cold_failure_multiple},
            {"graceToAnswerMs", scenario.grace_to_answer_ms},
            {"stopSendingWithinMs", scenario.drain_grace_ms}}},
          {"lanes", lanes},
          {"me", node},
          {"overShareWorth", 0.1},
          {"peersTotal", scenario.node_count},
          {"realms", realms},
          {"tickMs", 2.0},
          {"weights", "nominal"},
          {"workload", "conn"},
          {"worthBy", "request"},
          {"zone", scenario.zones[static_cast<std::size_t>(plan.zone_of_node(node, scenario))]},
          {"zones", scenario.zones}};
}

}  // namespace dapplewharf::emulator
