#include "config/platform_settings.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>

using nlohmann::json;

namespace dapplewharf {
namespace {

constexpr double kEps = 1e-6;  // binary fractions just under a whole tenth

struct Name {
  const char* wire;
  const char* ours;
  bool is_time;
};
const Name kSettingNames[] = {
    {"/peersTotal", "nodes", false},
    {"/me", "me", false},
    {"/zone", "zone", false},
    {"/discovery", "discovery", false},
    {"/weights", "weights", false},
    {"/guarantees/graceToAnswerMs", "grace_to_answer", true},
    {"/guarantees/askWithinMs", "ask_within", true},
    {"/guarantees/coldFrom", "cold_from", false},
    {"/guarantees/coldMs", "cold_time", true},
    {"/guarantees/fallMs", "fall_time", true},
    {"/guarantees/fallMultiple", "fall_multiple", false},
    {"/guarantees/stopSendingWithinMs", "drain_grace", true},
    {"/guarantees/extraFloor", "further_tries_least", false},
    {"/guarantees/repeatRatio", "further_tries_share", false},
    {"/guarantees/countedOverMs", "further_tries_span", true},
    {"/guarantees/drainBindsAlone", "drain_binds_alone", false},
    {"/bounds/maxAttempts", "max_tries", false},
    {"/bounds/maxRetryAfterMs", "max_come_back", true},
    {"/bounds/retryAfter", "come_back_told", false},
    {"/bounds/probes", "probes_allowed", false},
    {"/bounds/secondCopies", "two_tries_allowed", false},
    {"/bounds/cancel", "cancel_allowed", false},
    {"/bounds/dialTimeoutMs", "connect_time", true},
    {"/extra/parkMs", "park_time", true},
    {"/charges/probe", "price_probe", false},
    {"/charges/moves", "price_move", false},
    {"/charges/crossZone", "price_crossing", false},
    {"/overShareWorth", "over_share_value", false},
};
const Name kTrafficNames[] = {
    {"/name", "name", false},
    {"/semantics", "effect", false},
    {"/group", "repeat_group", false},
    {"/windowMs", "repeat_window", true},
    {"/objectiveMs", "latency_goal", true},
    {"/hardLimitMs", "expiry", true},
    {"/worth", "value", false},
};
const Name kTenantNames[] = {
    {"/name", "name", false}, {"/portion", "share", false}, {"/quotaPerS", "quota", false}};

// Danger: a setting of another kind than it has would be passed over, and a rule go by its default.
void holds(const char* wire, const char* name, const json& value) {
  static const std::set<std::string> words = {"zone", "discovery", "weights",
                                              "name", "effect",    "repeat_group"};
  const bool word = words.count(name) != 0;
  if (value.is_null() || (word ? value.is_string() : value.is_number() || value.is_boolean())) {
    return;
  }
  throw std::runtime_error("the setting '" + std::string(wire) + "' is " + value.dump() + "; expected " +
                           (word ? "a word" : "a number, true or false"));
}

void put(SettingsMap& to, const std::string& name, const json& value, bool is_time) {
  if (value.is_boolean()) {
    to[name] = value.get<bool>() ? 1.0 : 0.0;
  }
  if (value.is_number()) {
    to[name] = is_time ? static_cast<double>(tenths_down(value.get<double>())) : value.get<double>();
  }
  if (value.is_string()) {
    const std::string text = value.get<std::string>();
    to[name] = text == "at_most_once" ? "unrepeatable" : text;
  }
}

template <std::size_t N>
void put_all(SettingsMap& to, const std::string& prefix, const json& from, const Name (&names)[N]) {
  for (const Name& name : names) {
    const json::json_pointer at(name.wire);
    if (!from.contains(at)) {
      continue;
    }
    holds(name.wire, name.ours, from.at(at));
    put(to, prefix + name.ours, from.at(at), name.is_time);
  }
}

void put_list(SettingsMap& to, const std::string& name, const json& list, bool is_time,
              const std::string& after = "") {
  for (std::size_t i = 0; i < list.size(); ++i) {
    put(to, name + std::to_string(i) + after, list[i], is_time);
  }
}

}  // namespace

Tenths tenths_down(double ms) {
  return static_cast<Tenths>(std::floor(ms * kPerMs + kEps));
}

SettingsMap settings_of(const json& env) {
  SettingsMap to;
  put_all(to, "", env, kSettingNames);
  const json lanes = env.value("lanes", json::array());
  for (std::size_t i = 0; i < lanes.size(); ++i) {
    put_all(to, "traffic." + std::to_string(i) + ".", lanes[i], kTrafficNames);
  }
  const json realms = env.contains("realms") && env["realms"].is_array() ? env["realms"] : json::array();
  for (std::size_t i = 0; i < realms.size(); ++i) {
    put_all(to, "tenant." + std::to_string(i) + ".", realms[i], kTenantNames);
  }
  if (env.contains("extra") && env["extra"].is_object()) {
    const json& extra = env["extra"];
    if (extra.contains("messageAimMs")) {
      put_list(to, "message_goal.", extra["messageAimMs"], true);
    }
    if (extra.contains("tenantQuotaConnections")) {
      put_list(to, "tenant.", extra["tenantQuotaConnections"], false, ".open");
    }
  }
  const json reports = env.value("/feedback/fields"_json_pointer, json::array());
  for (std::size_t i = 0; i < reports.size(); ++i) {
    if (reports[i] == "x0") {
      to["report.load"] = static_cast<double>(i);  // the place of load over capacity
    }
  }
  return to;
}

}  // namespace dapplewharf
