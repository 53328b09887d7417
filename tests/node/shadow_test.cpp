// The shadow: fed with a long sequence of events, and in a node on loopback sockets.
#include "node/shadow.h"

#include <gtest/gtest.h>

#include <fstream>

#include "node/request_line.h"
#include "support/fixtures.h"
#include "support/flat_conversions.h"

using namespace dapplewharf;

namespace {

PolicyAction from_flat(const FlatAction& flat) {
  switch (flat.kind) {
    case ActionKind::start_attempt:
      return StartAttempt{flat.request_id, flat.endpoint, flat.delay};
    case ActionKind::cancel_attempt:
      return CancelAttempt{flat.request_id, flat.attempt_or_timer};
    case ActionKind::reject_request:
      return RejectRequest{flat.request_id, flat.delay};
    case ActionKind::fail_request:
      return FailRequest{flat.request_id};
    case ActionKind::migrate_connection:
      return MigrateConnection{flat.request_id, flat.endpoint};
    case ActionKind::check_health:
      return CheckHealth{flat.endpoint};
    case ActionKind::set_timer:
      return SetTimer{flat.attempt_or_timer, flat.delay};
    case ActionKind::watch_endpoints:
      return WatchEndpoints{};
    case ActionKind::fetch_endpoints:
      return FetchEndpoints{};
    case ActionKind::log_message:
      break;
  }
  return LogMessage{flat.text};
}

std::vector<PolicyAction> from_flat(const std::vector<FlatAction>& flat_actions) {
  std::vector<PolicyAction> actions;
  for (const FlatAction& action : flat_actions) {
    actions.push_back(from_flat(action));
  }
  return actions;
}

// A load balancer with a shadow that has other settings.
struct ShadowHarness : LoadBalancerHarness {
  std::unique_ptr<Shadow> shadow;
  std::string actions;  // all actions of the real load balancer as text

  void start_with_shadow(int endpoints, const SettingsMap& shadow_settings) {
    shadow = std::make_unique<Shadow>(settings_from_map(shadow_settings), 7, now);
    load_balancer = std::make_unique<LoadBalancer>(settings_from_map(settings), 7, now);
    FlatEvent list;
    list.kind = EventKind::endpoints_cached;
    for (int i = 0; i < endpoints; ++i) {
      list.endpoints.push_back(endpoint_entry("h" + std::to_string(i)));
    }
    send_event(list);
  }
  const std::vector<FlatAction>& send_event(const FlatEvent& event) override {
    LoadBalancerHarness::send_event(event);
    if (shadow) {
      shadow->observe(now, {from_flat(event)}, from_flat(last_actions));
    }
    for (const FlatAction& action : last_actions) {
      actions += std::to_string(static_cast<int>(action.kind)) + " " + action.request_id + " " +
                 action.endpoint + " " + std::to_string(action.delay) + "\n";
    }
    return last_actions;
  }
  FlatEvent event_of(EventKind kind, const std::string& id) {
    FlatEvent event;
    event.kind = kind;
    event.request_id = id;
    event.endpoint = attempts[id].empty() ? "" : attempts[id].back();
    event.attempt_or_timer = static_cast<int>(attempts[id].size()) - 1;
    return event;
  }

  // 120 requests, some of which are rejected, completed or abandoned by their client. One endpoint drains,
  // and some report a high latency.
  void run_long_scenario() {
    for (int i = 0; i < 120; ++i) {
      now += 2000;
      FlatEvent timer;
      timer.attempt_or_timer = 1;
      send_event(timer);
      answer_health_checks();
      const std::string id = "a" + std::to_string(i);
      FlatEvent request = request_from_tenant("");
      request.request_id = id;
      request.client_key = i;
      request.affinity_group = i % 7;
      send_event(request);
      if (i % 5 == 1 && !attempts[id].empty()) {
        FlatEvent rejected = event_of(EventKind::attempt_ended, id);
        rejected.outcome = Outcome::rejected;
        send_event(rejected);
      }
      if (attempts[id].empty()) {
        continue;
      }
      if (i % 11 == 3) {
        send_event(event_of(EventKind::client_disconnected, id));
        FlatEvent cancelled = event_of(EventKind::attempt_ended, id);
        cancelled.outcome = Outcome::cancelled, cancelled.is_final = true;
        send_event(cancelled);
        continue;
      }
      FlatEvent established = event_of(EventKind::attempt_established, id);
      established.duration = 100;
      send_event(established);
      if (i % 3 == 0) {
        FlatEvent completed = event_of(EventKind::attempt_ended, id);
        completed.is_final = true;
        send_event(completed);
      }
      if (i == 60) {
        FlatEvent change;
        change.kind = EventKind::endpoints_update;
        change.endpoints.push_back(endpoint_entry("h1"));
        change.endpoints.back().state = EndpointState::draining;
        send_event(change);
      }
      if (i >= 80 && i < 84) {
        FlatEvent high_latency = event_of(EventKind::latency_reported, id);
        high_latency.value = 600;
        send_event(high_latency);
      }
      for (const std::string& migrated_id : std::exchange(migrated, {})) {
        FlatEvent end = event_of(EventKind::attempt_ended, migrated_id);
        end.outcome = Outcome::cancelled, end.is_final = true;
        send_event(end);
      }
    }
  }
  std::uint64_t difference_count() const {
    const ShadowCounts& counts = shadow->counts();
    return counts.other_endpoint + counts.would_reject + counts.would_attempt + counts.would_wait +
           counts.would_migrate + counts.would_stay;
  }
};

// A file that exists for as long as this object.
struct TemporaryFile {
  std::string path;
  TemporaryFile(const std::string& name, const std::string& text) : path(name) {
    std::ofstream(path) << text;
  }
  ~TemporaryFile() { std::remove(path.c_str()); }
};

}  // namespace

TEST(Shadow, EqualSettingsMakeEqualDecisions) {
  ShadowHarness harness;
  harness.start_with_shadow(6, harness.settings);
  harness.run_long_scenario();
  EXPECT_FALSE(harness.shadow->stopped()) << harness.shadow->error();
  EXPECT_EQ(harness.difference_count(), 0u) << harness.shadow->counts().format();
  EXPECT_GT(harness.shadow->counts().same, 100u);
  EXPECT_EQ(harness.shadow->counts().health_checks, harness.shadow->counts().real_health_checks);
  EXPECT_LT(harness.shadow->tracked_count(), 90u) << "ended requests are no longer tracked";
}

TEST(Shadow, DifferentDecisionsAreCountedByKindAndDoNotAffectTheRealOnes) {
  ShadowHarness reference;
  reference.start_with_shadow(6, reference.settings);
  reference.run_long_scenario();
  struct Case {
    const char* setting;
    std::variant<double, std::string> value;
    std::uint64_t ShadowCounts::*kind;
  };
  for (const Case& test_case :
       {Case{"max_attempts", 1.0, &ShadowCounts::would_reject},
        Case{"message_latency_objective.0", 5000.0, &ShadowCounts::would_stay},
        Case{"zone", std::string("far"), nullptr}, Case{"load_value_index", 0.0, nullptr}}) {
    ShadowHarness harness;
    SettingsMap shadow_settings = harness.settings;
    shadow_settings[test_case.setting] = test_case.value;
    harness.start_with_shadow(6, shadow_settings);
    harness.run_long_scenario();
    EXPECT_FALSE(harness.shadow->stopped()) << harness.shadow->error();
    EXPECT_EQ(harness.actions, reference.actions) << test_case.setting;
    if (test_case.kind) {
      EXPECT_GT(harness.shadow->counts().*test_case.kind, 0u)
          << test_case.setting << harness.shadow->counts().format();
    }
    EXPECT_LT(harness.shadow->tracked_count(), 90u);
  }
  // The reverse: the real settings allow one attempt, the shadowed settings several.
  ShadowHarness strict;
  const SettingsMap shadow_settings = strict.settings;
  strict.settings["max_attempts"] = 1.0;
  strict.start_with_shadow(6, shadow_settings);
  strict.run_long_scenario();
  EXPECT_GT(strict.shadow->counts().would_attempt, 10u) << strict.shadow->counts().format();
  EXPECT_EQ(strict.shadow->counts().would_reject, 0u);
}

TEST(Shadow, ChangedWeightsAffectOnlyTheSettingsWithLiveWeights) {
  ShadowHarness harness;
  SettingsMap shadow_settings = harness.settings;
  shadow_settings["weights_follow_load"] = 1.0;
  harness.settings["node_count"] = shadow_settings["node_count"] = 30.0;
  harness.start_with_shadow(6, shadow_settings);
  harness.run_long_scenario();
  // With live weights, the largest weight says that an endpoint holds no connections.
  const std::uint64_t other_endpoint_before = harness.shadow->counts().other_endpoint;
  FlatEvent change;
  change.kind = EventKind::endpoints_update;
  for (int i = 0; i < 6; ++i) {
    change.endpoints.push_back(LoadBalancerHarness::endpoint_entry("h" + std::to_string(i)));
    change.endpoints.back().size = i < 3 ? 0.02 : 0.5;
  }
  harness.send_event(change);
  harness.run_long_scenario();
  EXPECT_GT(harness.shadow->counts().other_endpoint, other_endpoint_before + 10)
      << harness.shadow->counts().format();
}

TEST(Shadow, NodeWithAShadowServesUnchangedAndCountsDifferences) {
  NodeHarness harness(1024, true, [](Configuration& to) {
    to.shadow_settings = to.settings;
    (*to.shadow_settings)["bounds"]["maxAttempts"] = 1;
  });
  const int client = harness.connect_client(request_line());
  for (int i = 0; i < 3; ++i) {
    const int host = harness.accept_endpoint_connection();
    harness.read(host);
    harness.write(host, "BUSY\r\n");
  }
  const int host = harness.accept_endpoint_connection();
  harness.read(host);
  harness.write(host, "UP x\r\n");
  EXPECT_EQ(harness.read(client), "UP x\r\n");
  ASSERT_TRUE(harness.node->shadow());
  EXPECT_EQ(harness.node->shadow()->counts().same, 1u) << "the first attempt";
  EXPECT_EQ(harness.node->shadow()->counts().would_reject, 1u) << "the second attempt";
  // A reload can change or remove the shadowed settings, but starting a shadow requires a restart.
  harness.configuration.shadow_settings = harness.configuration.settings;
  harness.node->reload({harness.configuration, ""});
  EXPECT_TRUE(harness.node->shadow());
  harness.configuration.shadow_settings.reset();
  harness.node->reload({harness.configuration, ""});
  EXPECT_FALSE(harness.node->shadow());
  harness.configuration.shadow_settings = harness.configuration.settings;
  harness.node->reload({harness.configuration, ""});
  EXPECT_FALSE(harness.node->shadow());
  harness.write(client, "still here\r\n");
  EXPECT_EQ(harness.read(host), "still here\r\n");
}

TEST(Shadow, MissingOrInvalidFileIsReportedWithItsPosition) {
  const nlohmann::json settings = NodeHarness().configuration.settings;
  const std::string valid =
      R"({"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"a1","settings":)" +
      settings.dump() + "}";
  const TemporaryFile main("shadow-main.json", valid);
  const auto read_with_shadow = [&](const std::string& path) {
    return read_configuration(ConfigurationFiles{main.path, "", "", path}, ConfigurationSource::file_only);
  };
  EXPECT_FALSE(read_with_shadow("").configuration->shadow_settings);
  EXPECT_NE(read_with_shadow("no-such-file.json").error.find("no-such-file.json:0:0: "), std::string::npos);
  const TemporaryFile good("shadow-good.json", valid);
  EXPECT_TRUE(read_with_shadow(good.path).configuration->shadow_settings);
  const TemporaryFile invalid_json("shadow-invalid-json.json", "{\n  \"settings\": {,}\n}");
  EXPECT_EQ(read_with_shadow(invalid_json.path).error,
            "shadow-invalid-json.json:2:16: this is not JSON; expected an object with 'settings'");
  const TemporaryFile no_settings("shadow-no-settings.json", "{}");
  EXPECT_NE(read_with_shadow(no_settings.path).error.find("expected an object of that name"),
            std::string::npos);
  nlohmann::json invalid = nlohmann::json::parse(valid);
  invalid["settings"]["weights"] = "lively";
  const TemporaryFile weights("shadow-weights.json", invalid.dump(2));
  EXPECT_NE(read_with_shadow(weights.path)
                .error.find("'weights' is \"lively\"; expected silent, nominal, rough or live"),
            std::string::npos);
  EXPECT_NE(read_with_shadow(weights.path).error.find("shadow-weights.json:"), std::string::npos);
  invalid["settings"]["weights"] = "live", invalid["settings"]["charges"]["probe"] = "dear";
  const TemporaryFile price("shadow-price.json", invalid.dump(2));
  EXPECT_NE(read_with_shadow(price.path).error.find("'probe' is \"dear\"; expected a number"),
            std::string::npos);
  invalid["settings"].erase("charges"), invalid["settings"]["guarantees"].erase("coldFrom");
  const TemporaryFile missing_rule("shadow-missing-rule.json", invalid.dump(2));
  EXPECT_NE(read_with_shadow(missing_rule.path).error.find("cold_from"), std::string::npos)
      << read_with_shadow(missing_rule.path).error;
  std::ifstream example(std::string(EXAMPLES) + "/shapes/core-log.dw");
  std::string text((std::istreambuf_iterator<char>(example)), std::istreambuf_iterator<char>());
  ASSERT_NE(text.find("weights = live"), std::string::npos);
  const TemporaryFile example_file("shadow-core.dw", text);
  ASSERT_TRUE(read_with_shadow(example_file.path).configuration) << read_with_shadow(example_file.path).error;
  EXPECT_EQ((*read_with_shadow(example_file.path).configuration->shadow_settings)["weights"], "live");
  text.replace(text.find("weights = live"), 14, "weights = lively");
  const TemporaryFile invalid_weights("shadow-invalid-weights.dw", text);
  EXPECT_NE(read_with_shadow(invalid_weights.path).error.find("silent, nominal, rough, live"),
            std::string::npos)
      << read_with_shadow(invalid_weights.path).error;
  const TemporaryFile operators("shadow-operators.dw", "shadow {\n  settings = \"shadow-good.json\"\n}\n");
  const ConfigurationResult result = read_configuration(ConfigurationFiles{main.path, "", operators.path, ""},
                                                        ConfigurationSource::file_only);
  ASSERT_TRUE(result.configuration) << result.error;
  EXPECT_TRUE(result.configuration->shadow_settings);
}
