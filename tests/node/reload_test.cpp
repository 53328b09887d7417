// A new configuration while the node runs.
#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>

#include "node/request_line.h"
#include "support/fixtures.h"

using namespace dapplewharf;

TEST(Reload, TheCompleteListComesFromTheNewDiscovery) {
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
  harness.run_for(50);  // the watch is out at the old place, and has not been answered
  for (int i = 0; i < 3; ++i) {
    harness.reload_with_new_discovery();
  }
  EXPECT_TRUE(
      harness.run_until([&] { return harness.discovery_request.find("\r\n\r\n") != std::string::npos; }, 300))
      << "asked at once, not when the old call ends";
  EXPECT_EQ(harness.discovery_request.substr(0, 18), "GET /api/targets H")
      << "versions there may be counted anew";
  harness.discovery_responses = {
      NodeHarness::http(R"({"generation":2,"reset":true,"instances":)" + h0 + "}")};
  EXPECT_TRUE(harness.run_until([&] { return harness.discovery_responses.empty(); }));
  EXPECT_TRUE(
      harness.run_until([&] { return harness.discovery_request.find("after=2&") != std::string::npos; }, 150))
      << harness.discovery_request;
  harness.write(client, "still here\r\n");
  EXPECT_EQ(harness.read(host), "still here\r\n");
}

TEST(Reload, ANewDiscoveryThatDoesNotAnswerYetIsAskedAgainForTheCompleteList) {
  NodeHarness harness;
  harness.run_for(50);
  harness.reload_with_new_discovery();
  const sockaddr_in there = harness.discovery_address;
  harness.discovery_listener.close();
  harness.run_for(400);
  EXPECT_FALSE(listen_on(there, harness.discovery_listener));
  EXPECT_TRUE(harness.run_until(
      [&] { return harness.discovery_request.find("\r\n\r\n") != std::string::npos; }, 3000));
  EXPECT_EQ(harness.discovery_request.substr(0, 18), "GET /api/targets H");
}

TEST(Reload, AWrongFileIsRefusedWholeWithItsReason) {
  const char* path = "reload-story.json";
  const std::string sound =
      R"({"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"a1","settings":)" +
      NodeHarness().configuration.env.dump() + "}";
  const auto reads = [&](const std::string& text) {
    std::ofstream(path) << text;
    return read_configuration(path, Source::file_only);
  };
  EXPECT_EQ(reads(sound).fault, "");
  std::string other = sound;
  EXPECT_NE(reads(other.replace(other.find("127.0.0.1:2"), 11, "127.0.0.1:x")).fault.find("discovery"),
            std::string::npos);
  std::string flag = sound;
  flag.insert(flag.find("\"coldFrom\""), "\n\"drainBindsAlone\":1,");
  EXPECT_EQ(reads(flag).fault, std::string(path) + ":2:1: 'drainBindsAlone' is 1; expected true or false");
  for (const auto& [from, to, named] :
       {std::tuple("\"hardLimitMs\":2000", "\"hardLimitMs\":\"2000\"", "hardLimitMs"),
        std::tuple("\"maxAttempts\":4", "\"maxAttempts\":[4]", "maxAttempts"),
        std::tuple("\"semantics\":\"idempotent\"", "\"semantics\":true", "semantics"),
        std::tuple("\"zone\":\"near\"", "\"zone\":7", "zone")}) {
    std::string odd = sound;
    ASSERT_NE(odd.find(from), std::string::npos) << from;
    EXPECT_NE(reads(odd.replace(odd.find(from), std::string(from).size(), to)).fault.find(named),
              std::string::npos);
  }
  for (const std::string& bad : {std::string(), std::string("[]"), sound.substr(0, sound.size() / 2),
                                 std::string(R"({"name":"n0"})"), std::string(R"({"name":7,"listen":[]})")}) {
    EXPECT_FALSE(reads(bad).fault.empty()) << bad;
  }
  std::remove(path);
  EXPECT_FALSE(read_configuration(path, Source::file_only).fault.empty());
  setenv("PROXY_DISCOVERY", "127.0.0.1:3", 1);
  EXPECT_EQ(reads(sound).taken->discovery, "127.0.0.1:2") << "what the start was told is stale";
  EXPECT_EQ(read_configuration(path, Source::environment_first).taken->discovery, "127.0.0.1:3");
  unsetenv("PROXY_DISCOVERY");
  std::remove(path);
}
