// What the node itself, apart from the load balancer, reads in the settings: parsed once at the start and at
// each reload. Plain data. Design: docs/design.md.
#pragma once
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

#include "policy/request_ledger.h"
#include "policy/words.h"
#include "wire/lines.h"

namespace dapplewharf {

/// Spans are in ticks of 0.1 ms.
struct NodeSettings {
  std::string zone;
  bool affinity_groups = false;        ///< clients' groups are passed on to the load balancer
  bool only_draining_binds = false;    ///< a removed endpoint may still be sent to
  bool watches_discovery = true;       ///< false: the load balancer asks for each endpoint list itself
  double nodes = 1;                    ///< of the fleet; spreads calls to discovery
  Tenths drain_grace = 0;              ///< how long a draining endpoint may still be sent to
  Tenths message_objective = 0;        ///< the shortest latency objective of a message; 0: none is set
  Tenths connect_timeout = kSecond;    ///< of an attempt
  std::optional<Tenths> longest_wait;  ///< the longest deadline of all traffic types
  RequestSchema request_schema;
  std::map<std::string, RepeatRule> repeat_rules;  ///< by traffic type

  /// The rule of a traffic type; a request of an unknown type may never be repeated.
  [[nodiscard]] RepeatRule repeat_rule(const std::string& traffic_type) const;
};

/// @param settings as the load balancer has them; @param source the JSON that they were read from.
[[nodiscard]] NodeSettings node_settings_of(const SettingsMap& settings, const nlohmann::json& source);

}  // namespace dapplewharf
