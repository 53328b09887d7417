// The platform's JSON as typed settings.
#include "config/platform_settings.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "support/fixtures.h"

using namespace dapplewharf;

namespace {

nlohmann::json sound_settings() {
  return nlohmann::json::parse(R"({"peersTotal": 3, "me": 2, "zone": "near", "discovery": "on_request",
    "guarantees": {"coldFrom": 0.3, "coldMs": 8000, "fallMs": 2000, "fallMultiple": 2.5, "stopSendingWithinMs": 1000,
                   "extraFloor": 2, "repeatRatio": 0.1, "countedOverMs": 5000},
    "bounds": {"maxAttempts": 4, "maxRetryAfterMs": 1500, "retryAfter": true, "probes": true},
    "extra": {"messageAimMs": [80, 50.05], "tenantQuotaConnections": [40, 20]},
    "realms": [{"name": "first"}],
    "feedback": {"fields": ["x3", "x0"]},
    "lanes": [{"name": "plain", "semantics": "idempotent", "group": "all", "windowMs": 5000, "objectiveMs": 800},
              {"name": "marked", "semantics": "deduplicated", "group": "zone", "windowMs": 3000, "hardLimitMs": 2000},
              {"name": "once", "semantics": "at_most_once", "group": "cell"}]})");
}

TEST(PlatformSettings, AMissingFigureOfARuleIsNamed) {
  for (const auto& [key, name] :
       {std::pair("coldFrom", "cold_from"), std::pair("coldMs", "cold_time"),
        std::pair("fallMs", "fall_time"), std::pair("fallMultiple", "fall_multiple"),
        std::pair("stopSendingWithinMs", "drain_grace")}) {
    nlohmann::json source = sound_settings();
    source["guarantees"].erase(key);
    try {
      (void)parse_platform_settings(source);
      FAIL() << key;
    } catch (const std::runtime_error& error) {
      EXPECT_NE(std::string(error.what()).find(name), std::string::npos);
    }
  }
}

TEST(PlatformSettings, AValueOfAnotherKindIsRefusedByName) {
  nlohmann::json source = sound_settings();
  source["guarantees"]["coldMs"] = "long";
  try {
    (void)parse_platform_settings(source);
    FAIL();
  } catch (const SettingsError& error) {
    EXPECT_EQ(error.setting, "/guarantees/coldMs");
    EXPECT_EQ(error.found, "\"long\"");
    EXPECT_EQ(std::string(error.what()),
              "the setting '/guarantees/coldMs' is \"long\"; expected a number, true or false");
  }
}

TEST(PlatformSettings, ANumberOfNodesThatIsMissingOrWrongCountsAsOne) {
  for (const double nodes : {0.0, -3.0}) {
    nlohmann::json source = sound_settings();
    source["peersTotal"] = nodes;
    LoadBalancerHarness harness;
    harness.settings["node_count"] = parse_platform_settings(source).node_count;
    EXPECT_EQ(parse_platform_settings(source).node_count, 1);
    harness.start(3);
    harness.advance_time(20000);
    EXPECT_NE(harness.send_request("a", 1), "");
  }
}

TEST(PlatformSettings, EachFieldComesFromItsSetting) {
  const Settings settings = parse_platform_settings(sound_settings());
  EXPECT_EQ(settings.node_count, 3);
  EXPECT_EQ(settings.node_index, 2);
  EXPECT_TRUE(settings.polls_endpoint_list);
  EXPECT_EQ(settings.warm_up_time, 80000);
  EXPECT_EQ(settings.drain_grace, 10000);
  EXPECT_EQ(settings.max_retry_after, 15000);
  EXPECT_EQ(settings.min_message_latency_objective, 500) << "rounded down to a tick";
  EXPECT_EQ(settings.load_value_index, 1u);
  ASSERT_TRUE(settings.retry_budget);
  EXPECT_EQ(settings.retry_budget->window, 50000);
  EXPECT_EQ(settings.total_connection_quota(), 60) << "a quota without a name counts as well";
  ASSERT_EQ(settings.traffic.size(), 3u);
  EXPECT_EQ(settings.traffic[1].repeat_rule.idempotency, Idempotency::deduplicated);
  EXPECT_EQ(settings.traffic[1].repeat_rule.scope, DeduplicationScope::zone);
  EXPECT_EQ(settings.traffic[2].repeat_rule.idempotency, Idempotency::non_idempotent);
  EXPECT_FALSE(settings.longest_deadline()) << "the first class states none";
}

}  // namespace
