// Checks that settings agree with each other; see config/consistency_checks.h.
#include "config/consistency_checks.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace dapplewharf::config {
namespace {

constexpr double kDescriptorsForRejections = 64;  // the node refuses fewer descriptors
constexpr double kDescriptorsPerClient = 2;       // the client's and its endpoint's
constexpr double kBytesPerClient = 19 * 1024;     // of a client that reads nothing, with its endpoint
constexpr double kBytesWithoutClients = 12e6;
constexpr double kSharesTolerance = 1e-9;  // of a sum of decimal fractions
constexpr double kMinDeadlineRatio = 1.5;  // of the latency objective: room for a retry
constexpr double kMinDrainGraceMs = 200;

/// The place of a setting's value; the block's if the setting is not written.
Place place_of(const Block& block, const char* name) {
  const Setting* found = block.find(name);
  return found ? found->value.place : block.place;
}

std::vector<std::string> labels_of(const std::vector<const Block*>& blocks) {
  std::vector<std::string> labels;
  labels.reserve(blocks.size());
  for (const Block* block : blocks) {
    labels.push_back(block->label);
  }
  return labels;
}

bool contains(const std::vector<std::string>& labels, const std::string& label) {
  return std::find(labels.begin(), labels.end(), label) != labels.end();
}

void check_needed_blocks(const Document& document, DiagnosticSink& diagnostics) {
  for (const BlockRow& row : blocks()) {
    if (row.needed && !document.find(row.name)) {
      diagnostics.error({0, 1, 1}, "the configuration has no '" + std::string(row.name) + "'; expected " +
                                       row.name + (row.labelled ? " \"NAME\"" : "") + " { }");
    }
  }
}

void check_whole_number(const Block& block, const char* name, DiagnosticSink& diagnostics) {
  if (block.find(name) && block.amount(name) != std::floor(block.amount(name))) {
    diagnostics.error(place_of(block, name), "'" + std::string(name) + "' is no whole number; expected one");
  }
}

void check_deadline(const Block& type, DiagnosticSink& diagnostics) {
  if (!type.find("expiry") || !type.find("latency_goal")) {
    return;
  }
  const double goal = type.amount("latency_goal");
  const double expiry = type.amount("expiry");
  if (expiry < goal) {
    diagnostics.error(place_of(type, "expiry"),
                      "traffic type '" + type.label + "' expires after " + duration_text(expiry) +
                          ", before its latency goal; expected " + duration_text(goal) + " or more");
  } else if (expiry < kMinDeadlineRatio * goal) {
    diagnostics.warning(place_of(type, "expiry"),
                        "traffic type '" + type.label +
                            "' leaves no time for a second try; expected an expiry of " +
                            duration_text(kMinDeadlineRatio * goal) + " or more");
  }
}

void check_deduplication(const Block& type, DiagnosticSink& diagnostics) {
  if (type.word("effect") != "deduplicated") {
    for (const char* name : {"repeat_group", "repeat_window"}) {
      if (const Setting* useless = type.find(name)) {
        diagnostics.warning(useless->place, "'" + std::string(name) + "' says nothing where effect is " +
                                                type.word("effect") + "; expected effect = deduplicated");
      }
    }
    return;
  }
  if (type.find("repeat_window") && type.amount("repeat_window") == 0) {
    diagnostics.warning(place_of(type, "repeat_window"),
                        "repeats are known for no time, so none may be sent; expected a repeat_window over "
                        "0ms, or effect = unrepeatable");
  }
}

/// The node reads such settings by the block's position, so a gap would shift those behind it.
bool is_set_for_some_only(const std::vector<const Block*>& blocks, const char* name) {
  const auto is_set = [name](const Block* block) { return block->find(name) != nullptr; };
  return std::any_of(blocks.begin(), blocks.end(), is_set) &&
         !std::all_of(blocks.begin(), blocks.end(), is_set);
}

void check_traffic(const Document& document, DiagnosticSink& diagnostics) {
  const std::vector<const Block*> types = document.all("traffic");
  for (const Block* type : types) {
    check_deadline(*type, diagnostics);
    check_deduplication(*type, diagnostics);
  }
  if (!is_set_for_some_only(types, "message_goal")) {
    return;
  }
  for (const Block* type : types) {
    if (!type->find("message_goal")) {
      diagnostics.error(type->place,
                        "traffic type '" + type->label +
                            "' has no message_goal while others have; expected one for all or for none");
    }
  }
}

void check_tenants(const Document& document, DiagnosticSink& diagnostics) {
  const std::vector<const Block*> tenants = document.all("tenant");
  constexpr double kAll = 1 + kSharesTolerance;
  double sum = 0;
  for (const Block* tenant : tenants) {
    sum += tenant->amount("share");
    if (sum > kAll && sum - tenant->amount("share") <= kAll) {
      diagnostics.error(place_of(*tenant, "share"), "tenants' shares add up to " +
                                                        number_text(std::round(sum * 1e4) / 100) +
                                                        "% here; expected 100% at the most");
    }
  }
  if (!is_set_for_some_only(tenants, "open")) {
    return;
  }
  for (const Block* tenant : tenants) {
    if (!tenant->find("open")) {
      diagnostics.error(
          tenant->place,
          "tenant '" + tenant->label + "' has no 'open' while others have; expected one for all or for none");
    }
  }
}

/// Checks the routes' pools and returns those that exist.
std::set<std::string> check_route_pools(const Document& document, DiagnosticSink& diagnostics) {
  const std::vector<std::string> known = labels_of(document.all("pool"));
  std::set<std::string> routed;
  for (const Block* route : document.all("route")) {
    const Setting* pool = route->find("pool");
    if (!pool) {
      continue;
    }
    const std::string& name = pool->value.raw;
    if (contains(known, name)) {
      routed.insert(name);
    } else {
      diagnostics.error(pool->value.place, "route '" + route->label +
                                               "' goes to no pool: there is none named '" + name +
                                               "'; expected one of the pools" + suggestion(name, known));
    }
  }
  return routed;
}

/// Checks the routes' traffic types and returns those that exist.
std::set<std::string> check_route_traffic(const Document& document, DiagnosticSink& diagnostics) {
  const std::vector<std::string> known = labels_of(document.all("traffic"));
  std::map<std::string, const Block*> route_of;
  std::set<std::string> routed;
  for (const Block* route : document.all("route")) {
    const Setting* types = route->find("traffic");
    if (!types) {
      continue;
    }
    if (types->value.items.empty()) {
      diagnostics.error(types->value.place,
                        "route '" + route->label + "' names no traffic type; expected at least one");
    }
    for (const Value& type : types->value.items) {
      if (!contains(known, type.raw)) {
        diagnostics.error(type.place, "unknown traffic type '" + type.raw +
                                          "'; expected one that a traffic block names" +
                                          suggestion(type.raw, known));
        continue;
      }
      routed.insert(type.raw);
      if (const auto [first, added] = route_of.try_emplace(type.raw, route); !added) {
        diagnostics.error(type.place, "traffic type '" + type.raw + "' is routed by '" +
                                          first->second->label + "' already; expected one route for each");
      }
    }
  }
  return routed;
}

/// Checks that every traffic type and pool has a route, and that all routes go to one pool.
void check_routes(const Document& document, DiagnosticSink& diagnostics) {
  const std::set<std::string> routed_pools = check_route_pools(document, diagnostics);
  const std::set<std::string> routed_types = check_route_traffic(document, diagnostics);
  const std::vector<const Block*> routes = document.all("route");
  const std::vector<const Block*> pools = document.all("pool");
  if (routes.empty()) {
    if (pools.size() > 1) {
      diagnostics.error(pools[1]->place, "there are several pools and no route; expected route \"NAME\" { }");
    }
    return;
  }
  for (const Block* type : document.all("traffic")) {
    if (!routed_types.count(type->label)) {
      diagnostics.error(type->place, "traffic type '" + type->label +
                                         "' has no route; expected it in the 'traffic' of one");
    }
  }
  if (routed_pools.size() > 1) {
    diagnostics.error(routes.back()->place,
                      "routes go to several pools; expected one pool, which is all that a node serves today");
  }
  for (const Block* pool : pools) {
    if (!routed_pools.empty() && !routed_pools.count(pool->label)) {
      diagnostics.warning(pool->place,
                          "no route goes to pool '" + pool->label + "'; expected one, or no such pool");
    }
  }
}

void check_addresses(const Document& document, DiagnosticSink& diagnostics) {
  const Block* sidecar = document.find("sidecar");
  const Setting* listen = sidecar ? sidecar->find("listen") : nullptr;
  if (!listen) {
    return;
  }
  for (const Block* pool : document.all("pool")) {
    const Setting* discovery = pool->find("discovery");
    if (discovery && discovery->value.raw == listen->value.raw) {
      diagnostics.error(discovery->value.place,
                        "pool '" + pool->label + "' has its list at " + discovery->value.raw +
                            ", where the sidecar itself listens; expected another address");
    }
  }
}

void check_memory(const Block& limits, DiagnosticSink& diagnostics) {
  if (!limits.find("descriptors") || !limits.find("memory")) {
    return;
  }
  // docs/architecture.md describes what a client can take.
  const double clients = (limits.amount("descriptors") - kDescriptorsForRejections) / kDescriptorsPerClient;
  const double bytes = clients * kBytesPerClient + kBytesWithoutClients;
  if (bytes > limits.amount("memory")) {
    diagnostics.warning(place_of(limits, "memory"),
                        "clients that read nothing can take " +
                            std::to_string(static_cast<long>(bytes / kBytesPerMebibyte)) +
                            "MiB with so many descriptors; expected as much memory, or fewer");
  }
}

void check_connect_timeout(const Document& document, const Block& limits, DiagnosticSink& diagnostics) {
  double longest = 0;
  for (const Block* type : document.all("traffic")) {
    longest = std::max(longest, type->amount("expiry"));
  }
  if (limits.find("connect") && longest > 0 && limits.amount("connect") >= longest) {
    diagnostics.error(place_of(limits, "connect"),
                      "a connection may take longer to make than any client waits; expected under " +
                          duration_text(longest));
  }
}

void check_limits(const Document& document, DiagnosticSink& diagnostics) {
  const Block* limits = document.find("limits");
  if (!limits) {
    return;
  }
  check_whole_number(*limits, "descriptors", diagnostics);
  check_whole_number(*limits, "tries", diagnostics);
  check_memory(*limits, diagnostics);
  if (!limits->find("probes")) {
    diagnostics.warning(
        limits->place,
        "'probes' is off, so hosts are judged by set-ups alone; expected probes = on where hosts allow it");
  }
  check_connect_timeout(document, *limits, diagnostics);
}

void check_retry_budget(const Block& rules, DiagnosticSink& diagnostics) {
  constexpr const char* kNames[] = {"further_tries", "further_tries_share", "further_tries_span"};
  for (const char* name : kNames) {
    for (const char* other : kNames) {
      if (rules.find(name) && !rules.find(other)) {
        diagnostics.error(place_of(rules, name),
                          "'" + std::string(name) + "' stands without '" + other +
                              "'; expected all three that ration further tries, or none");
      }
    }
  }
  check_whole_number(rules, "further_tries", diagnostics);
}

void check_rules(const Document& document, DiagnosticSink& diagnostics) {
  const Block* rules = document.find("rules");
  if (!rules) {
    return;
  }
  if (rules->find("cold_time") && rules->find("fall_time") &&
      rules->amount("fall_time") > rules->amount("cold_time")) {
    diagnostics.warning(place_of(*rules, "fall_time"),
                        "a cold host is warm before it could fall; expected fall_time within cold_time, " +
                            duration_text(rules->amount("cold_time")));
  }
  if (rules->find("drain_grace") && rules->amount("drain_grace") < kMinDrainGraceMs) {
    diagnostics.warning(place_of(*rules, "drain_grace"),
                        "the grace is shorter than two looks at the clock; expected 200ms or more");
  }
  check_retry_budget(*rules, diagnostics);
  const Block* fleet = document.find("fleet");
  if (!fleet) {
    return;
  }
  const double nodes = fleet->amount("nodes");
  if (fleet->amount("me") >= nodes) {
    diagnostics.error(place_of(*fleet, "me"), "'me' is " + number_text(fleet->amount("me")) + " of " +
                                                  number_text(nodes) + " nodes; expected 0 to " +
                                                  number_text(nodes - 1));
  }
  check_whole_number(*fleet, "me", diagnostics);
  check_whole_number(*fleet, "nodes", diagnostics);
}

}  // namespace

void check_consistency(const Document& document, DiagnosticSink& diagnostics) {
  if (document.use == Use::operators) {
    return;
  }
  check_needed_blocks(document, diagnostics);
  check_traffic(document, diagnostics);
  check_tenants(document, diagnostics);
  check_routes(document, diagnostics);
  check_addresses(document, diagnostics);
  check_limits(document, diagnostics);
  check_rules(document, diagnostics);
}

}  // namespace dapplewharf::config
