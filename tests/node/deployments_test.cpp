// The node with settings made of each deployment under deploy/sites/, without the bench: other names, limits
// and deadlines than any it was measured on. One client of each type is served, then every host drains, then
// it stops.
#include <gtest/gtest.h>
#include <toml++/toml.h>

#include <filesystem>

#include "support/fixtures.h"

using namespace dapplewharf;

namespace {

double figure(const toml::table& site, const char* path, double otherwise) {
  const auto at = site.at_path(path);
  if (const auto* range = at.as_array()) {
    return range->front().value_or(otherwise);
  }
  return at.value_or(otherwise);
}

// As the platform would state them; what the node does not read is left out.
nlohmann::json settings_made_of(const toml::table& site) {
  nlohmann::json to = {
      {"peersTotal", 1},
      {"me", 0},
      {"zone", site.at_path("harness.zones[0]").value_or("")},
      {"weights", site.at_path("tier[0].weights").value_or("")},
      {"discovery",
       site.at_path("discovery.mode").value_or("") == std::string("push") ? "pushed" : "on_request"},
      {"guarantees",
       {{"coldFrom", figure(site, "tier[0].kind[0].cold_from", 0)},
        {"coldMs", 1000 * figure(site, "tier[0].kind[0].cold_s", 0)},
        {"fallMs", figure(site, "rules.fall_ms", 0)},
        {"fallMultiple", figure(site, "rules.fall_multiple", 0)},
        {"stopSendingWithinMs", figure(site, "rules.drain_grace_ms", 0)},
        {"askWithinMs", 10000}}},
      {"bounds",
       {{"maxAttempts", figure(site, "allow.max_attempts", 0)},
        {"maxRetryAfterMs", figure(site, "clients.max_retry_after_ms", 0)},
        {"retryAfter", site.at_path("allow.retry_after").value_or(false)},
        {"probes", false},  // the story has one listener for all hosts
        {"dialTimeoutMs", figure(site, "tier[0].conn.connect_timeout_ms", 0)}}},
      {"charges",
       {{"probe", figure(site, "prices.probe", 0)},
        {"moves", figure(site, "prices.moves", 0)},
        {"crossZone", figure(site, "prices.cross_zone", 0)}}}};
  for (const auto& entry : *site["class"].as_array()) {
    const toml::table& type = *entry.as_table();
    to["lanes"].push_back({{"name", type["name"].value_or("")},
                           {"semantics", "idempotent"},
                           {"group", "all"},
                           {"objectiveMs", type["aim_ms"].value_or(0.0)},
                           {"hardLimitMs", type["deadline_ms"].value_or(0.0)},
                           {"worth", type["worth"].value_or(0.0)}});
  }
  for (const auto& entry : *site.at_path("fam.class").as_array()) {
    to["extra"]["messageAimMs"].push_back((*entry.as_table())["message_ms"].value_or(0.0));
  }
  if (const auto* tenants = site["tenant"].as_array()) {
    for (const auto& entry : *tenants) {
      to["realms"].push_back({{"name", (*entry.as_table())["name"].value_or("")},
                              {"portion", (*entry.as_table())["share"].value_or(0.0)}});
    }
  }
  return to;
}

void plays(const toml::table& site) {
  const nlohmann::json env = settings_made_of(site);
  NodeHarness harness(1024, true, [&](Configuration& to) {
    to.env = env;
    for (auto& host : to.known["instances"]) {
      host["zone"] = env["zone"];
    }
  });
  const std::string tenant = env.contains("realms") ? env["realms"][0]["name"].get<std::string>() : "anybody";
  std::vector<int> clients;
  for (const auto& lane : env["lanes"]) {
    const std::string name = lane["name"].get<std::string>();
    const std::string wait = std::to_string(lane["hardLimitMs"].get<int>());
    const std::string id = "v" + std::to_string(clients.size());
    clients.push_back(
        harness.connect_client("OPEN " + id + " 2e c=" + name + ",t=" + tenant + ",d=" + wait + "\r\n"));
    harness.write(harness.accept_endpoint_connection(), "UP x\r\n");
    EXPECT_EQ(harness.read(clients.back()), "UP x\r\n") << name;
    const int beyond =
        harness.connect_client("OPEN b" + id + " 2e c=" + name + ",t=" + tenant + ",d=" + wait + "1\r\n");
    EXPECT_EQ(harness.read(beyond), "ERR\r\n") << name << ": longer than its type allows";
  }
  EXPECT_EQ(harness.read(harness.connect_client("OPEN o 2e c=plain,t=" + tenant + ",d=100\r\n")), "ERR\r\n")
      << "another's type";
  nlohmann::json hosts = nlohmann::json::array();
  for (const char* id : {"h0", "h1", "h2", "h3"}) {
    hosts.push_back({{"instanceId", id},
                     {"hostPort", NodeHarness::address_text(harness.endpoint_address)},
                     {"lifecycle", "draining"}});
  }
  harness.discovery_responses = {
      NodeHarness::http(nlohmann::json({{"generation", 2}, {"reset", false}, {"instances", hosts}}).dump(2))};
  EXPECT_TRUE(harness.run_until([&] { return harness.discovery_responses.empty(); }, 9000));
  harness.run_for(20);
  const std::string name = env["lanes"][0]["name"].get<std::string>();
  const std::string last = "OPEN l 2e c=" + name + ",t=" + tenant + ",d=500\r\n";
  EXPECT_EQ(harness.read(harness.connect_client(last)).substr(0, 4), "BUSY")
      << "nothing new to hosts that leave";
  harness.node->stop();
  for (const int client : clients) {
    EXPECT_EQ(harness.read(client, 6, 3000), "MOVE\r\n");
  }
  EXPECT_TRUE(harness.run_until([&] { return harness.node->done(); }, 5000));
}

}  // namespace

TEST(Variants, TheNodeServesDrainsAndStopsWithEachDeploymentsSettings) {
  int played = 0;
  for (const auto& folder : std::filesystem::directory_iterator(SITES)) {
    for (const auto& file : std::filesystem::directory_iterator(folder)) {
      if (file.path().extension() == ".toml") {
        SCOPED_TRACE(file.path().filename().string());
        plays(toml::parse_file(file.path().string()));
        ++played;
      }
    }
  }
  EXPECT_GE(played, 2);
}
