#include "config/platform_settings.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

using nlohmann::json;

namespace dapplewharf {
namespace {

constexpr double kRoundingSlack = 1e-6;  // ticks: binary fractions just under a whole tick count as that tick

enum class ValueKind { number, text };  // a flag counts as the number 1 or 0

double number_of(const json& value) {
  return value.is_boolean() ? static_cast<double>(value.get<bool>()) : value.get<double>();
}

bool flag_of(const json& value) {
  return number_of(value) != 0;
}

Duration duration_of(const json& value) {
  return value.is_boolean() ? static_cast<Duration>(value.get<bool>()) : ticks_of_ms(value.get<double>());
}

std::string text_of(const json& value) {
  return value.get<std::string>();
}

/// Where a setting stands in the platform's JSON and what it sets.
template <class Target>
struct Field {
  const char* path;
  ValueKind kind;
  void (*apply)(Target& target, const json& value);
};

template <class Target>
void ignore(Target& /*target*/, const json& /*value*/) {}

const Field<Settings> kFields[] = {
    {"/peersTotal", ValueKind::number,
     [](Settings& to, const json& v) { to.node_count = std::max(1.0, number_of(v)); }},
    {"/me", ValueKind::number, [](Settings& to, const json& v) { to.node_index = number_of(v); }},
    {"/zone", ValueKind::text, [](Settings& to, const json& v) { to.zone = text_of(v); }},
    {"/discovery", ValueKind::text,
     [](Settings& to, const json& v) { to.polls_endpoint_list = text_of(v) == "on_request"; }},
    {"/weights", ValueKind::text,
     [](Settings& to, const json& v) { to.weights_follow_load = text_of(v) == "live"; }},
    {"/guarantees/graceToAnswerMs", ValueKind::number, ignore<Settings>},
    {"/guarantees/askWithinMs", ValueKind::number,
     [](Settings& to, const json& v) { to.notification_limit = duration_of(v); }},
    {"/guarantees/coldFrom", ValueKind::number,
     [](Settings& to, const json& v) { to.cold_capacity_share = number_of(v); }},
    {"/guarantees/coldMs", ValueKind::number,
     [](Settings& to, const json& v) { to.warm_up_time = duration_of(v); }},
    {"/guarantees/fallMs", ValueKind::number,
     [](Settings& to, const json& v) { to.overload_window = duration_of(v); }},
    {"/guarantees/fallMultiple", ValueKind::number,
     [](Settings& to, const json& v) { to.overload_multiple = number_of(v); }},
    {"/guarantees/stopSendingWithinMs", ValueKind::number,
     [](Settings& to, const json& v) { to.drain_grace = duration_of(v); }},
    {"/guarantees/drainBindsAlone", ValueKind::number,
     [](Settings& to, const json& v) { to.may_use_removed_endpoints = flag_of(v); }},
    {"/bounds/maxAttempts", ValueKind::number,
     [](Settings& to, const json& v) { to.max_attempts = number_of(v); }},
    {"/bounds/maxRetryAfterMs", ValueKind::number,
     [](Settings& to, const json& v) { to.max_retry_after = duration_of(v); }},
    {"/bounds/retryAfter", ValueKind::number,
     [](Settings& to, const json& v) { to.retry_after_allowed = flag_of(v); }},
    {"/bounds/probes", ValueKind::number,
     [](Settings& to, const json& v) { to.health_checks_allowed = flag_of(v); }},
    {"/bounds/secondCopies", ValueKind::number, ignore<Settings>},
    {"/bounds/cancel", ValueKind::number, ignore<Settings>},
    {"/bounds/dialTimeoutMs", ValueKind::number,
     [](Settings& to, const json& v) { to.connect_timeout = duration_of(v); }},
    {"/extra/parkMs", ValueKind::number, ignore<Settings>},
    {"/charges/probe", ValueKind::number,
     [](Settings& to, const json& v) { to.health_check_price = number_of(v); }},
    {"/charges/moves", ValueKind::number,
     [](Settings& to, const json& v) { to.migration_price = number_of(v); }},
    {"/charges/crossZone", ValueKind::number,
     [](Settings& to, const json& v) { to.cross_zone_price = number_of(v); }},
    {"/overShareWorth", ValueKind::number, ignore<Settings>},
};

const Field<RetryBudgetSettings> kRetryBudgetFields[] = {
    {"/guarantees/extraFloor", ValueKind::number,
     [](RetryBudgetSettings& to, const json& v) { to.min_retries = number_of(v); }},
    {"/guarantees/repeatRatio", ValueKind::number,
     [](RetryBudgetSettings& to, const json& v) { to.retry_ratio = number_of(v); }},
    {"/guarantees/countedOverMs", ValueKind::number,
     [](RetryBudgetSettings& to, const json& v) { to.window = duration_of(v); }},
};

Idempotency idempotency_of(const std::string& name) {
  if (name == "idempotent") {
    return Idempotency::idempotent;
  }
  return name == "deduplicated" ? Idempotency::deduplicated : Idempotency::non_idempotent;
}

DeduplicationScope scope_of(const std::string& name) {
  if (name == "all") {
    return DeduplicationScope::all;
  }
  return name == "zone" ? DeduplicationScope::zone : DeduplicationScope::cell;
}

const Field<TrafficClass> kTrafficFields[] = {
    {"/name", ValueKind::text, [](TrafficClass& to, const json& v) { to.name = text_of(v); }},
    {"/semantics", ValueKind::text,
     [](TrafficClass& to, const json& v) { to.repeat_rule.idempotency = idempotency_of(text_of(v)); }},
    {"/group", ValueKind::text,
     [](TrafficClass& to, const json& v) { to.repeat_rule.scope = scope_of(text_of(v)); }},
    {"/windowMs", ValueKind::number,
     [](TrafficClass& to, const json& v) { to.repeat_rule.window = duration_of(v); }},
    {"/objectiveMs", ValueKind::number,
     [](TrafficClass& to, const json& v) { to.setup_latency_objective = duration_of(v); }},
    {"/hardLimitMs", ValueKind::number,
     [](TrafficClass& to, const json& v) { to.deadline = duration_of(v); }},
    {"/worth", ValueKind::number, ignore<TrafficClass>},
};

const Field<Tenant> kTenantFields[] = {
    {"/name", ValueKind::text, [](Tenant& to, const json& v) { to.name = text_of(v); }},
    {"/portion", ValueKind::number, ignore<Tenant>},
    {"/quotaPerS", ValueKind::number, ignore<Tenant>},
};

// A setting of the wrong kind must not be passed over: its rule would silently go by the default.
void check_kind(const char* path, ValueKind kind, const json& value) {
  const bool fits = kind == ValueKind::text ? value.is_string() : value.is_number() || value.is_boolean();
  if (!fits) {
    throw SettingsError(path, value.dump(), kind == ValueKind::text ? "a word" : "a number, true or false");
  }
}

template <class Target, std::size_t Count>
void apply_fields(Target& target, const json& source, const Field<Target> (&fields)[Count]) {
  for (const Field<Target>& field : fields) {
    const json::json_pointer path(field.path);
    if (!source.contains(path) || source.at(path).is_null()) {
      continue;
    }
    check_kind(field.path, field.kind, source.at(path));
    field.apply(target, source.at(path));
  }
}

void check_required(const json& source) {
  const std::pair<const char*, const char*> required[] = {{"/guarantees/coldFrom", "cold_from"},
                                                          {"/guarantees/coldMs", "cold_time"},
                                                          {"/guarantees/fallMs", "fall_time"},
                                                          {"/guarantees/fallMultiple", "fall_multiple"},
                                                          {"/guarantees/stopSendingWithinMs", "drain_grace"}};
  for (const auto& [path, name] : required) {
    const json::json_pointer at(path);
    if (!source.contains(at) || source.at(at).is_null()) {
      throw SettingsError(name);
    }
  }
}

std::vector<TrafficClass> parse_traffic(const json& lanes) {
  std::vector<TrafficClass> all;
  for (const json& lane : lanes) {
    TrafficClass one;
    one.repeat_rule.scope = DeduplicationScope::cell;  // the narrowest, where the lane names none
    apply_fields(one, lane, kTrafficFields);
    all.push_back(std::move(one));
  }
  return all;
}

// Names and quotas stand in two lists of the platform's JSON, by place; either may be longer.
std::vector<Tenant> parse_tenants(const json& realms, const json& quotas) {
  std::vector<Tenant> all(std::max(realms.size(), quotas.size()));
  for (std::size_t i = 0; i < realms.size(); ++i) {
    apply_fields(all[i], realms[i], kTenantFields);
  }
  for (std::size_t i = 0; i < quotas.size(); ++i) {
    if (quotas[i].is_number() || quotas[i].is_boolean()) {
      all[i].connection_quota = number_of(quotas[i]);
    }
  }
  return all;
}

json array_at(const json& source, const char* path) {
  const json::json_pointer at(path);
  return source.contains(at) && source.at(at).is_array() ? source.at(at) : json::array();
}

Duration shortest_of(const json& objectives) {
  Duration shortest = 0;
  for (const json& objective : objectives) {
    if (objective.is_number()) {
      const Duration one = duration_of(objective);
      shortest = shortest == 0 ? one : std::min(shortest, one);
    }
  }
  return shortest;
}

}  // namespace

Duration ticks_of_ms(double ms) {
  return static_cast<Duration>(std::floor(ms * kTicksPerMs + kRoundingSlack));
}

Settings parse_platform_settings(const json& source) {
  Settings settings;
  apply_fields(settings, source, kFields);
  RetryBudgetSettings retry_budget;
  apply_fields(retry_budget, source, kRetryBudgetFields);
  if (retry_budget.window > 0) {
    settings.retry_budget = retry_budget;
  }
  settings.traffic = parse_traffic(source.value("lanes", json::array()));
  settings.tenants =
      parse_tenants(array_at(source, "/realms"), array_at(source, "/extra/tenantQuotaConnections"));
  settings.min_message_latency_objective = shortest_of(array_at(source, "/extra/messageAimMs"));
  const json reports = array_at(source, "/feedback/fields");
  for (std::size_t i = 0; i < reports.size(); ++i) {
    if (reports[i] == "x0") {  // load over capacity
      settings.load_value_index = i;
    }
  }
  check_required(source);
  return settings;
}

}  // namespace dapplewharf
