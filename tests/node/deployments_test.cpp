// The node with the settings of each deployment under deploy/sites/, whose names, limits and deadlines differ
// from those of the other tests. One client of each traffic type is served, then all endpoints drain, then
// the node is shut down.
#include <gtest/gtest.h>
#include <toml++/toml.h>

#include <filesystem>

#include "support/fixtures.h"

using namespace dapplewharf;

namespace {

double number_at(const toml::table& site, const char* path, double default_value) {
  const auto node = site.at_path(path);
  if (const auto* range = node.as_array()) {
    return range->front().value_or(default_value);
  }
  return node.value_or(default_value);
}

// Returns the settings in the form of the platform, without those that the node does not read.
nlohmann::json platform_settings_for(const toml::table& site) {
  nlohmann::json settings = {
      {"peersTotal", 1},
      {"me", 0},
      {"zone", site.at_path("harness.zones[0]").value_or("")},
      {"weights", site.at_path("tier[0].weights").value_or("")},
      {"discovery",
       site.at_path("discovery.mode").value_or("") == std::string("push") ? "pushed" : "on_request"},
      {"guarantees",
       {{"coldFrom", number_at(site, "tier[0].kind[0].cold_from", 0)},
        {"coldMs", 1000 * number_at(site, "tier[0].kind[0].cold_s", 0)},
        {"fallMs", number_at(site, "rules.fall_ms", 0)},
        {"fallMultiple", number_at(site, "rules.fall_multiple", 0)},
        {"stopSendingWithinMs", number_at(site, "rules.drain_grace_ms", 0)},
        {"askWithinMs", 10000}}},
      {"bounds",
       {{"maxAttempts", number_at(site, "allow.max_attempts", 0)},
        {"maxRetryAfterMs", number_at(site, "clients.max_retry_after_ms", 0)},
        {"retryAfter", site.at_path("allow.retry_after").value_or(false)},
        {"probes", false},  // the test has one listener for all endpoints
        {"dialTimeoutMs", number_at(site, "tier[0].conn.connect_timeout_ms", 0)}}},
      {"charges",
       {{"probe", number_at(site, "prices.probe", 0)},
        {"moves", number_at(site, "prices.moves", 0)},
        {"crossZone", number_at(site, "prices.cross_zone", 0)}}}};
  for (const auto& entry : *site["class"].as_array()) {
    const toml::table& type = *entry.as_table();
    settings["lanes"].push_back({{"name", type["name"].value_or("")},
                                 {"semantics", "idempotent"},
                                 {"group", "all"},
                                 {"objectiveMs", type["aim_ms"].value_or(0.0)},
                                 {"hardLimitMs", type["deadline_ms"].value_or(0.0)},
                                 {"worth", type["worth"].value_or(0.0)}});
  }
  for (const auto& entry : *site.at_path("fam.class").as_array()) {
    settings["extra"]["messageAimMs"].push_back((*entry.as_table())["message_ms"].value_or(0.0));
  }
  if (const auto* tenants = site["tenant"].as_array()) {
    for (const auto& entry : *tenants) {
      settings["realms"].push_back({{"name", (*entry.as_table())["name"].value_or("")},
                                    {"portion", (*entry.as_table())["share"].value_or(0.0)}});
    }
  }
  return settings;
}

void serve_drain_and_shut_down(const toml::table& site) {
  const nlohmann::json settings = platform_settings_for(site);
  NodeHarness harness(1024, true, [&](Configuration& configuration) {
    configuration.settings = settings;
    for (auto& endpoint : configuration.cached_endpoint_list["instances"]) {
      endpoint["zone"] = settings["zone"];
    }
  });
  harness.discovery_responses = {NodeHarness::http(R"({"generation":1,"reset":false,"instances":[]})")};
  const std::string tenant =
      settings.contains("realms") ? settings["realms"][0]["name"].get<std::string>() : "any";
  std::vector<int> clients;
  for (const auto& lane : settings["lanes"]) {
    const std::string name = lane["name"].get<std::string>();
    const std::string wait = std::to_string(lane["hardLimitMs"].get<int>());
    const std::string id = "v" + std::to_string(clients.size());
    clients.push_back(
        harness.connect_client("OPEN " + id + " 2e c=" + name + ",t=" + tenant + ",d=" + wait + "\r\n"));
    harness.write(harness.accept_endpoint_connection(), "UP x\r\n");
    EXPECT_EQ(harness.read(clients.back()), "UP x\r\n") << name;
    const int too_long_wait =
        harness.connect_client("OPEN b" + id + " 2e c=" + name + ",t=" + tenant + ",d=" + wait + "1\r\n");
    EXPECT_EQ(harness.read(too_long_wait), "ERR\r\n")
        << name << ": waits longer than its traffic type allows";
  }
  EXPECT_EQ(harness.read(harness.connect_client("OPEN o 2e c=plain,t=" + tenant + ",d=100\r\n")), "ERR\r\n")
      << "a traffic type of another deployment";
  nlohmann::json instances = nlohmann::json::array();
  for (const char* id : {"h0", "h1", "h2", "h3"}) {
    instances.push_back({{"instanceId", id},
                         {"hostPort", NodeHarness::address_text(harness.endpoint_address)},
                         {"lifecycle", "draining"}});
  }
  harness.discovery_responses = {NodeHarness::http(
      nlohmann::json({{"generation", 2}, {"reset", false}, {"instances", instances}}).dump(2))};
  EXPECT_TRUE(harness.run_until([&] { return harness.discovery_responses.empty(); }, 9000));
  harness.run_for(20);
  const std::string name = settings["lanes"][0]["name"].get<std::string>();
  const std::string late_request = "OPEN l 2e c=" + name + ",t=" + tenant + ",d=500\r\n";
  EXPECT_EQ(harness.read(harness.connect_client(late_request)).substr(0, 4), "BUSY")
      << "no new request is sent to draining endpoints";
  harness.node->begin_shutdown();
  for (const int client : clients) {
    EXPECT_EQ(harness.read(client, 6, 3000), "MOVE\r\n");
  }
  EXPECT_TRUE(harness.run_until([&] { return harness.node->may_exit(); }, 5000));
}

}  // namespace

TEST(Deployments, NodeServesDrainsAndShutsDownWithTheSettingsOfEach) {
  int deployments = 0;
  for (const auto& folder : std::filesystem::directory_iterator(SITES)) {
    for (const auto& file : std::filesystem::directory_iterator(folder)) {
      if (file.path().extension() == ".toml") {
        SCOPED_TRACE(file.path().filename().string());
        serve_drain_and_shut_down(toml::parse_file(file.path().string()));
        ++deployments;
      }
    }
  }
  EXPECT_GE(deployments, 2);
}
