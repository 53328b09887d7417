// Stories of the watching mode: by itself on a whole day of events, and in a node on loopback sockets.
#include "node/shadow.h"

#include <gtest/gtest.h>

#include <fstream>

#include "node/request_line.h"
#include "support/fixtures.h"
#include "support/flat_conversions.h"

using namespace dapplewharf;

namespace {

PolicyAction typed(const FlatAction& flat) {
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

std::vector<PolicyAction> typed(const std::vector<FlatAction>& flat) {
  std::vector<PolicyAction> actions;
  for (const FlatAction& action : flat) {
    actions.push_back(typed(action));
  }
  return actions;
}

// A fake fleet whose module is watched by a second one with settings of its own.
struct Watched : LoadBalancerHarness {
  std::unique_ptr<Shadow> shadow;
  std::string actions;  // all that the real module did, in words

  void begin(int hosts, const SettingsMap& others) {
    shadow = std::make_unique<Shadow>(settings_from_map(others), 7, now);
    load_balancer = std::make_unique<LoadBalancer>(settings_from_map(settings), 7, now);
    FlatEvent list;
    list.kind = EventKind::endpoints_cached;
    for (int i = 0; i < hosts; ++i) {
      list.endpoints.push_back(endpoint_entry("h" + std::to_string(i)));
    }
    send_event(list);
  }
  const std::vector<FlatAction>& send_event(const FlatEvent& event) override {
    LoadBalancerHarness::send_event(event);
    if (shadow) {
      shadow->follow(now, {from_flat(event)}, typed(last_actions));
    }
    for (const FlatAction& action : last_actions) {
      actions += std::to_string(static_cast<int>(action.kind)) + " " + action.request_id + " " +
                 action.endpoint + " " + std::to_string(action.delay) + "\n";
    }
    return last_actions;
  }
  FlatEvent of(EventKind kind, const std::string& id) {
    FlatEvent event;
    event.kind = kind;
    event.request_id = id;
    event.endpoint = attempts[id].empty() ? "" : attempts[id].back();
    event.attempt_or_timer = static_cast<int>(attempts[id].size()) - 1;
    return event;
  }

  // Set-ups that stand, fail, are turned away; a host that drains; a late one; clients that leave.
  void day() {
    for (int i = 0; i < 120; ++i) {
      now += 2000;
      FlatEvent alarm;
      alarm.attempt_or_timer = 1;
      send_event(alarm);
      answer_health_checks();
      const std::string id = "a" + std::to_string(i);
      FlatEvent wish = request_from_tenant("");
      wish.request_id = id;
      wish.client_key = i;
      wish.affinity_group = i % 7;
      send_event(wish);
      if (i % 5 == 1 && !attempts[id].empty()) {
        FlatEvent bad = of(EventKind::attempt_ended, id);
        bad.outcome = Outcome::rejected;
        send_event(bad);
      }
      if (attempts[id].empty()) {
        continue;
      }
      if (i % 11 == 3) {
        send_event(of(EventKind::client_disconnected, id));
        FlatEvent gone = of(EventKind::attempt_ended, id);
        gone.outcome = Outcome::cancelled, gone.is_final = true;
        send_event(gone);
        continue;
      }
      FlatEvent up = of(EventKind::attempt_established, id);
      up.duration = 100;
      send_event(up);
      if (i % 3 == 0) {
        FlatEvent over = of(EventKind::attempt_ended, id);
        over.is_final = true;
        send_event(over);
      }
      if (i == 60) {
        FlatEvent change;
        change.kind = EventKind::endpoints_update;
        change.endpoints.push_back(endpoint_entry("h1"));
        change.endpoints.back().state = EndpointState::draining;
        send_event(change);
      }
      if (i >= 80 && i < 84) {
        FlatEvent late = of(EventKind::latency_reported, id);
        late.value = 600;
        send_event(late);
      }
      for (const std::string& one : std::exchange(migrated, {})) {
        FlatEvent end = of(EventKind::attempt_ended, one);
        end.outcome = Outcome::cancelled, end.is_final = true;
        send_event(end);
      }
    }
  }
  std::uint64_t differences() const {
    const ShadowCounts& counts = shadow->counts();
    return counts.other_endpoint + counts.would_reject + counts.would_attempt + counts.would_wait +
           counts.would_migrate + counts.would_stay;
  }
};

struct File {
  std::string path;
  File(const std::string& name, const std::string& text) : path(name) { std::ofstream(path) << text; }
  ~File() { std::remove(path.c_str()); }
};

}  // namespace

TEST(Shadow, TheSameSettingsDecideTheSameOverAWholeDay) {
  Watched fleet;
  fleet.begin(6, fleet.settings);
  fleet.day();
  EXPECT_FALSE(fleet.shadow->stopped()) << fleet.shadow->error();
  EXPECT_EQ(fleet.differences(), 0u) << fleet.shadow->counts().format();
  EXPECT_GT(fleet.shadow->counts().same, 100u);
  EXPECT_EQ(fleet.shadow->counts().health_checks, fleet.shadow->counts().real_health_checks);
  EXPECT_LT(fleet.shadow->followed(), 90u) << "what has ended is forgotten";
}

TEST(Shadow, OtherSettingsAreCountedByKindAndChangeNothing) {
  Watched alone;
  alone.begin(6, alone.settings);
  alone.day();
  struct Case {
    const char* setting;
    std::variant<double, std::string> value;
    std::uint64_t ShadowCounts::*kind;
  };
  for (const Case& one :
       {Case{"max_attempts", 1.0, &ShadowCounts::would_reject},
        Case{"message_latency_objective.0", 5000.0, &ShadowCounts::would_stay},
        Case{"zone", std::string("far"), nullptr}, Case{"load_value_index", 0.0, nullptr}}) {
    Watched fleet;
    SettingsMap others = fleet.settings;
    others[one.setting] = one.value;
    fleet.begin(6, others);
    fleet.day();
    EXPECT_FALSE(fleet.shadow->stopped()) << fleet.shadow->error();
    EXPECT_EQ(fleet.actions, alone.actions) << one.setting;
    if (one.kind) {
      EXPECT_GT(fleet.shadow->counts().*one.kind, 0u) << one.setting << fleet.shadow->counts().format();
    }
    EXPECT_LT(fleet.shadow->followed(), 90u);
  }
  // The other way round: the real one tries once, the other settings would try again.
  Watched strict;
  const SettingsMap others = strict.settings;
  strict.settings["max_attempts"] = 1.0;
  strict.begin(6, others);
  strict.day();
  EXPECT_GT(strict.shadow->counts().would_attempt, 10u) << strict.shadow->counts().format();
  EXPECT_EQ(strict.shadow->counts().would_reject, 0u);
}

TEST(Shadow, WeightsThatMoveAreReadByTheNewShapeOnly) {
  Watched fleet;
  SettingsMap others = fleet.settings;
  others["weights_follow_load"] = 1.0;
  fleet.settings["node_count"] = others["node_count"] = 30.0;
  fleet.begin(6, others);
  fleet.day();
  const std::uint64_t before =
      fleet.shadow->counts().other_endpoint;  // a weight at its largest tells of nothing held
  FlatEvent change;
  change.kind = EventKind::endpoints_update;
  for (int i = 0; i < 6; ++i) {
    change.endpoints.push_back(LoadBalancerHarness::endpoint_entry("h" + std::to_string(i)));
    change.endpoints.back().size = i < 3 ? 0.02 : 0.5;
  }
  fleet.send_event(change);
  fleet.day();
  EXPECT_GT(fleet.shadow->counts().other_endpoint, before + 10) << fleet.shadow->counts().format();
}

TEST(Shadow, ANodeServesAsWithoutItAndCounts) {
  NodeHarness harness(1024, true, [](Configuration& to) {
    to.shadow = to.env;
    (*to.shadow)["bounds"]["maxAttempts"] = 1;
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
  EXPECT_EQ(harness.node->shadow()->counts().same, 1u) << "the first try";
  EXPECT_EQ(harness.node->shadow()->counts().would_reject, 1u) << "the second";
  // A reload changes what is watched, or ends it; to begin takes a restart.
  harness.configuration.shadow = harness.configuration.env;
  harness.node->reload({harness.configuration, ""});
  EXPECT_TRUE(harness.node->shadow());
  harness.configuration.shadow.reset();
  harness.node->reload({harness.configuration, ""});
  EXPECT_FALSE(harness.node->shadow());
  harness.configuration.shadow = harness.configuration.env;
  harness.node->reload({harness.configuration, ""});
  EXPECT_FALSE(harness.node->shadow());
  harness.write(client, "still here\r\n");
  EXPECT_EQ(harness.read(host), "still here\r\n");
}

TEST(Shadow, AFileThatIsMissingOrWrongIsNamedWithItsPlace) {
  const nlohmann::json env = NodeHarness().configuration.env;
  const std::string sound =
      R"({"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"a1","settings":)" +
      env.dump() + "}";
  const File main("shadow-main.json", sound);
  const auto reads = [&](const std::string& path) {
    return read_configuration(Files{main.path, "", "", path}, Source::file_only);
  };
  EXPECT_FALSE(reads("").taken->shadow);
  EXPECT_NE(reads("no-such-file.json").fault.find("no-such-file.json:0:0: "), std::string::npos);
  const File good("shadow-good.json", sound);
  EXPECT_TRUE(reads(good.path).taken->shadow);
  const File half("shadow-half.json", "{\n  \"settings\": {,}\n}");
  EXPECT_EQ(reads(half.path).fault,
            "shadow-half.json:2:16: this is no JSON; expected an object with 'settings'");
  const File none("shadow-none.json", "{}");
  EXPECT_NE(reads(none.path).fault.find("expected an object of that name"), std::string::npos);
  nlohmann::json odd = nlohmann::json::parse(sound);
  odd["settings"]["weights"] = "lively";
  const File weights("shadow-weights.json", odd.dump(2));
  EXPECT_NE(
      reads(weights.path).fault.find("'weights' is \"lively\"; expected silent, nominal, rough or live"),
      std::string::npos);
  EXPECT_NE(reads(weights.path).fault.find("shadow-weights.json:"), std::string::npos);
  odd["settings"]["weights"] = "live", odd["settings"]["charges"]["probe"] = "dear";
  const File price("shadow-price.json", odd.dump(2));
  EXPECT_NE(reads(price.path).fault.find("'probe' is \"dear\"; expected a number"), std::string::npos);
  odd["settings"].erase("charges"), odd["settings"]["guarantees"].erase("coldFrom");
  const File rule("shadow-rule.json", odd.dump(2));
  EXPECT_NE(reads(rule.path).fault.find("cold_from"), std::string::npos) << reads(rule.path).fault;
  std::ifstream example(std::string(EXAMPLES) + "/shapes/core-log.dw");
  std::string text((std::istreambuf_iterator<char>(example)), std::istreambuf_iterator<char>());
  ASSERT_NE(text.find("weights = live"), std::string::npos);
  const File core("shadow-core.dw", text);
  ASSERT_TRUE(reads(core.path).taken) << reads(core.path).fault;
  EXPECT_EQ((*reads(core.path).taken->shadow)["weights"], "live");
  text.replace(text.find("weights = live"), 14, "weights = lively");
  const File words("shadow-words.dw", text);
  EXPECT_NE(reads(words.path).fault.find("silent, nominal, rough, live"), std::string::npos)
      << reads(words.path).fault;
  const File operators("shadow-operators.dw", "shadow {\n  settings = \"shadow-good.json\"\n}\n");
  const Read read = read_configuration(Files{main.path, "", operators.path, ""}, Source::file_only);
  ASSERT_TRUE(read.taken) << read.fault;
  EXPECT_TRUE(read.taken->shadow);
}
