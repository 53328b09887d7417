// From the settings' names and values to the node's typed ones. Design: docs/design.md.
#include "node/node_settings.h"

#include <nlohmann/json.hpp>

#include "policy/notes.h"

namespace dapplewharf {
namespace {

// Stands for "no limit" and leaves room for sums.
constexpr auto kUnlimited = static_cast<double>(INT64_MAX / 2);

Idempotency idempotency_of(const std::string& word) {
  if (word == "idempotent") {
    return Idempotency::idempotent;
  }
  return word == "deduplicated" ? Idempotency::deduplicated : Idempotency::non_idempotent;
}

DeduplicationScope scope_of(const std::string& word) {
  if (word == "all") {
    return DeduplicationScope::all;
  }
  return word == "zone" ? DeduplicationScope::zone : DeduplicationScope::cell;
}

void read_traffic_types(const SettingsMap& settings, NodeSettings& to) {
  for (int i = 0; settings.count("traffic." + std::to_string(i) + ".name"); ++i) {
    const std::string prefix = "traffic." + std::to_string(i) + ".";
    const std::string name = text(settings, prefix + "name");
    to.request_schema.traffic[name] = static_cast<Tenths>(number(settings, prefix + "expiry", kUnlimited));
    to.repeat_rules.try_emplace(
        name, RepeatRule{idempotency_of(text(settings, prefix + "effect")),
                         scope_of(text(settings, prefix + "repeat_group")),
                         static_cast<Tenths>(number(settings, prefix + "repeat_window", 0))});
  }
}

}  // namespace

RepeatRule NodeSettings::repeat_rule(const std::string& traffic_type) const {
  const auto found = repeat_rules.find(traffic_type);
  return found == repeat_rules.end() ? RepeatRule{} : found->second;
}

NodeSettings node_settings_of(const SettingsMap& settings, const nlohmann::json& source) {
  NodeSettings to;
  const nlohmann::json::json_pointer groups("/extra/groups");
  to.affinity_groups = source.contains(groups) && source.at(groups) == true;
  to.zone = text(settings, "zone");
  to.only_draining_binds = number(settings, "drain_binds_alone", 0) != 0;
  to.watches_discovery = text(settings, "discovery") != "on_request";
  to.nodes = number(settings, "nodes", 1);
  to.drain_grace = static_cast<Tenths>(number(settings, "drain_grace", 0));
  to.message_objective = static_cast<Tenths>(extreme(settings, "message_goal.", "", -1, 0));
  to.connect_timeout = static_cast<Tenths>(number(settings, "connect_time", kSecond));
  if (settings.count("traffic.0.expiry")) {
    to.longest_wait = static_cast<Tenths>(extreme(settings, "traffic.", ".expiry", 1, 0));
  }
  read_traffic_types(settings, to);
  for (int i = 0; settings.count("tenant." + std::to_string(i) + ".name"); ++i) {
    to.request_schema.tenants.insert(text(settings, "tenant." + std::to_string(i) + ".name"));
  }
  return to;
}

}  // namespace dapplewharf
