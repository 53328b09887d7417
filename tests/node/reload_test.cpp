// Reloading the configuration while the node runs.
#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>

#include "node/request_line.h"
#include "support/fixtures.h"

using namespace dapplewharf;

TEST(Reload, NewDiscoveryIsAskedForTheCompleteListAndThenWatched) {
  NodeHarness harness;
  const std::string h0 = R"([{"instanceId":"h0","hostPort":")" +
                         NodeHarness::address_text(harness.endpoint_address) +
                         R"(","zone":"near","lifecycle":"up"}])";
  harness.discovery_responses = {NodeHarness::http(R"({"generation":7,"reset":false,"instances":[]})")};
  EXPECT_TRUE(harness.run_until([&] { return harness.discovery_responses.empty(); }));
  const int client = harness.connect_client(request_line());
  const int host = harness.accept_endpoint_connection();
  harness.read(host);
  harness.write(host, "UP x\r\n");
  harness.read(client);
  harness.run_for(50);  // the watch at the old address is waiting for its answer
  for (int i = 0; i < 3; ++i) {
    harness.reload_with_new_discovery();
  }
  EXPECT_TRUE(
      harness.run_until([&] { return harness.discovery_request.find("\r\n\r\n") != std::string::npos; }, 300))
      << "called immediately, not after the old call has ended";
  EXPECT_EQ(harness.discovery_request.substr(0, 18), "GET /api/targets H")
      << "the new service may number its versions differently";
  harness.discovery_responses = {
      NodeHarness::http(R"({"generation":2,"reset":true,"instances":)" + h0 + "}")};
  EXPECT_TRUE(harness.run_until([&] { return harness.discovery_responses.empty(); }));
  EXPECT_TRUE(
      harness.run_until([&] { return harness.discovery_request.find("after=2&") != std::string::npos; }, 150))
      << harness.discovery_request;
  harness.write(client, "still here\r\n");
  EXPECT_EQ(harness.read(host), "still here\r\n");
}

TEST(Reload, CompleteListIsRequestedAgainIfTheNewDiscoveryIsNotAvailableYet) {
  NodeHarness harness;
  harness.run_for(50);
  harness.reload_with_new_discovery();
  const sockaddr_in new_address = harness.discovery_address;
  harness.discovery_listener.close();
  harness.run_for(400);
  EXPECT_FALSE(listen_on(new_address, harness.discovery_listener));
  EXPECT_TRUE(harness.run_until(
      [&] { return harness.discovery_request.find("\r\n\r\n") != std::string::npos; }, 3000));
  EXPECT_EQ(harness.discovery_request.substr(0, 18), "GET /api/targets H");
}

TEST(Reload, InvalidFileIsRejectedWithTheReason) {
  const char* path = "reload-test.json";
  const std::string valid =
      R"({"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"a1","settings":)" +
      NodeHarness().configuration.settings.dump() + "}";
  const auto read_text = [&](const std::string& text) {
    std::ofstream(path) << text;
    return read_configuration(path, ConfigurationSource::file_only);
  };
  EXPECT_EQ(read_text(valid).error, "");
  std::string bad_address = valid;
  EXPECT_NE(read_text(bad_address.replace(bad_address.find("127.0.0.1:2"), 11, "127.0.0.1:x"))
                .error.find("discovery"),
            std::string::npos);
  std::string bad_flag = valid;
  bad_flag.insert(bad_flag.find("\"coldFrom\""), "\n\"drainBindsAlone\":1,");
  EXPECT_EQ(read_text(bad_flag).error,
            std::string(path) + ":2:1: 'drainBindsAlone' is 1; expected true or false");
  for (const auto& [original, replacement, reported_name] :
       {std::tuple("\"hardLimitMs\":2000", "\"hardLimitMs\":\"2000\"", "hardLimitMs"),
        std::tuple("\"maxAttempts\":4", "\"maxAttempts\":[4]", "maxAttempts"),
        std::tuple("\"semantics\":\"idempotent\"", "\"semantics\":true", "semantics"),
        std::tuple("\"zone\":\"near\"", "\"zone\":7", "zone")}) {
    std::string invalid = valid;
    ASSERT_NE(invalid.find(original), std::string::npos) << original;
    EXPECT_NE(read_text(invalid.replace(invalid.find(original), std::string(original).size(), replacement))
                  .error.find(reported_name),
              std::string::npos);
  }
  for (const std::string& invalid :
       {std::string(), std::string("[]"), valid.substr(0, valid.size() / 2), std::string(R"({"name":"n0"})"),
        std::string(R"({"name":7,"listen":[]})")}) {
    EXPECT_FALSE(read_text(invalid).error.empty()) << invalid;
  }
  std::remove(path);
  EXPECT_FALSE(read_configuration(path, ConfigurationSource::file_only).error.empty());
  setenv("PROXY_DISCOVERY", "127.0.0.1:3", 1);
  EXPECT_EQ(read_text(valid).configuration->discovery, "127.0.0.1:2")
      << "the environment of the start is outdated at a reload";
  EXPECT_EQ(read_configuration(path, ConfigurationSource::environment_first).configuration->discovery,
            "127.0.0.1:3");
  unsetenv("PROXY_DISCOVERY");
  std::remove(path);
}
