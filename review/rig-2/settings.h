// The settings of a small deployment, in the form of the simulator's first message.
#pragma once
#include "rig.h"

namespace rig {
struct Settings {
  std::string discovery = "on_request", semantics = "idempotent", group = "all";
  double drain_grace_ms = 750, ask_within_ms = 5000, window_ms = 5000, deadline_ms = 3000, objective_ms = 500;
  double cold_from = 0.13, cold_ms = 24000, fall_multiple = 3, fall_ms = 1000, dial_ms = 250;
  double message_aim_ms = 250;
  int max_attempts = 3, peers = 1, me = 0;
  bool probes = true;
  std::string extra_guarantees;
  std::string json() const {
    char text[4096];
    std::snprintf(
        text, sizeof text,
        "{\"bounds\":{\"cancel\":true,\"dialTimeoutMs\":%.0f,\"maxAttempts\":%d,\"maxOpen\":20000,"
        "\"maxRetryAfterMs\":1500,\"peerMessages\":false,\"probes\":%s,\"retryAfter\":true,\"secondCopies\":false,"
        "\"streamsPerConn\":1},\"charges\":{\"probe\":0.0016,\"moves\":0.021,\"crossZone\":0.16},"
        "\"discovery\":\"%s\",\"extra\":{\"groups\":false,\"messageAimMs\":[%.0f],\"mode\":\"proxy\",\"parkMs\":0.0,"
        "\"tellsDelay\":false,\"tellsLoad\":false,\"tenantQuotaConnections\":[]},"
        "\"feedback\":{\"fields\":[],\"how\":\"silent\"},"
        "\"guarantees\":{\"askWithinMs\":%.0f,\"coldFrom\":%.2f,\"coldMs\":%.0f,\"fallMs\":%.0f,\"fallMultiple\":%.1f,"
        "\"graceToAnswerMs\":8.0,\"stopSendingWithinMs\":%.0f%s},"
        "\"lanes\":[{\"group\":\"%s\",\"hardLimitMs\":%.0f,\"lateWorth\":0.0,\"name\":\"legajo\",\"objectiveMs\":%.0f,"
        "\"semantics\":\"%s\",\"stream\":true,\"windowMs\":%.0f,\"worth\":1.0}],"
        "\"layer\":0,\"machineTypes\":[\"std\"],\"me\":%d,\"overShareWorth\":0.1,\"peersTotal\":%d,\"realms\":[],"
        "\"tickMs\":2.0,\"tiers\":[\"boxes\"],\"weights\":\"nominal\",\"workload\":\"conn\",\"worthBy\":\"request\","
        "\"zone\":\"a\",\"zones\":[\"a\"]}",
        dial_ms, max_attempts, probes ? "true" : "false", discovery.c_str(), message_aim_ms, ask_within_ms, cold_from, cold_ms, fall_ms,
        fall_multiple, drain_grace_ms, extra_guarantees.c_str(), group.c_str(), deadline_ms, objective_ms,
        semantics.c_str(), window_ms, me, peers);
    return text;
  }
};
inline void write_config(const Node& node, const std::string& discovery, const std::string& known,
                         const std::string& settings, int sockets = 512) {
  write_file(node.config_path, "{\"name\":\"" + node.name + "\",\"listen\":\"" + node.address() + "\",\"discovery\":\"" +
                                   discovery + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0," +
                                   "\"memory_mb\":192,\"sockets\":" + std::to_string(sockets) + "},\"known\":" + known +
                                   ",\"settings\":" + settings + "}\n");
}
}  // namespace rig
