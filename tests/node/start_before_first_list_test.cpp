// Tests of a node that has no answer from discovery yet, or none any more: what it sends by an endpoint list
// that may be outdated. `pushed` stands for settings under which discovery pushes changes, so that the node
// counts as notified of all that discovery has.
#include "node/request_line.h"
#include "support/fixtures.h"

using namespace dapplewharf;

namespace {

const std::string kUpdateRequest = "GET /api/targets?after=1&wait_ms=0 ";
const std::string kNoChanges = R"({"generation":1,"reset":false,"instances":[]})";

void pushed(Configuration& configuration) {
  configuration.settings["discovery"] = "pushed";
}

bool has_endpoint_connection(NodeHarness& harness) {
  return static_cast<bool>(
      Socket(accept4(harness.endpoint_listener.descriptor(), nullptr, nullptr, SOCK_NONBLOCK)));
}

std::string list_with_all(NodeHarness& harness, const std::string& lifecycle) {
  std::string instances;
  for (const std::string id : {"h0", "h1", "h2", "h3"}) {
    instances += (instances.empty() ? "" : ",") + (R"({"instanceId":")" + id + R"(","hostPort":")") +
                 NodeHarness::address_text(harness.endpoint_address) + R"(","zone":"near","lifecycle":")" +
                 lifecycle + "\"}";
  }
  return NodeHarness::http(R"({"generation":2,"reset":false,"instances":[)" + instances + "]}");
}

}  // namespace

// Guards against a restarted node that serves by its cached list although discovery has a newer one: it
// overloaded a cold endpoint (review/2) and sent to draining ones.
TEST(StartBeforeFirstList, NewWorkAndPingWaitForTheFirstListWherePushesCount) {
  NodeHarness harness(1024, true, pushed);
  const int front = harness.connect_client("PING\r\n");
  const int client = harness.connect_client(request_line());
  harness.run_for(600);
  EXPECT_FALSE(has_endpoint_connection(harness)) << "sent by the list of before";
  EXPECT_EQ(harness.discovery_request.substr(0, kUpdateRequest.size()), kUpdateRequest) << "answered at once";
  EXPECT_EQ(harness.read(front, 1, 50), "");
  harness.discovery_responses = {list_with_all(harness, "draining")};
  EXPECT_EQ(harness.read(front), "PONG\r\n");
  EXPECT_EQ(harness.read(client).substr(0, 4), "BUSY") << "all endpoints drain";
  EXPECT_FALSE(has_endpoint_connection(harness));
}

TEST(StartBeforeFirstList, HeldRequestIsServedOnceTheListIsConfirmed) {
  NodeHarness harness(1024, true, pushed);
  const int client = harness.connect_client(request_line());
  harness.run_for(600);
  harness.discovery_responses = {NodeHarness::http(kNoChanges)};
  harness.write(harness.accept_endpoint_connection(), "UP x\r\n");
  EXPECT_EQ(harness.read(client), "UP x\r\n");
}

// Guards against a node that is of no use for as long as discovery is down or does not answer.
TEST(StartBeforeFirstList, NodeServesAtOnceIfDiscoveryIsDownAndAfterAWhileIfItIsSilent) {
  for (const bool is_down : {true, false}) {
    NodeHarness harness(1024, true, [&](Configuration& configuration) {
      pushed(configuration);
      if (is_down) {
        configuration.discovery = "127.0.0.1:1";
      }
    });
    const int front = harness.connect_client("PING\r\n");
    EXPECT_EQ(harness.read(front, 1, is_down ? 500 : 3500), "PONG\r\n");
    harness.connect_client(request_line());
    EXPECT_TRUE(harness.run_until([&] { return has_endpoint_connection(harness); }, 500));
  }
}

// Guards against a request that waits for the list until its client has given up.
TEST(StartBeforeFirstList, HeldRequestIsRejectedInTimeForItsClient) {
  NodeHarness harness(1024, true, pushed);
  const TimePoint sent_at = harness.loop.now();
  const int client = harness.connect_client("OPEN aa 2e c=plain,t=x,d=1000\r\n");
  EXPECT_EQ(harness.read(client).substr(0, 4), "BUSY");
  EXPECT_LT(harness.loop.now() - sent_at, kSecond);
  EXPECT_FALSE(has_endpoint_connection(harness));
}

// Guards against new work by the list of before while a discovery that has ended the watch is overloaded.
TEST(StartBeforeFirstList, NewWorkWaitsAfterAWatchIsLostUntilTheListIsConfirmed) {
  NodeHarness harness(1024, true, pushed);
  harness.discovery_responses = {NodeHarness::http(kNoChanges)};
  EXPECT_TRUE(
      harness.run_until([&] { return harness.discovery_request.find("wait_ms=3000") != std::string::npos; }));
  harness.run_for(300);
  harness.discovery_connection.close_with_reset();
  harness.discovery_request.clear();
  EXPECT_TRUE(harness.run_until([&] { return harness.discovery_connections == 2; }));
  const int client = harness.connect_client(request_line());
  harness.run_for(500);
  EXPECT_FALSE(has_endpoint_connection(harness));
  harness.discovery_responses = {list_with_all(harness, "draining")};
  EXPECT_EQ(harness.read(client).substr(0, 4), "BUSY");
}

// Guards against an adopted connection that is given up because a list of before does not name its endpoint.
TEST(StartBeforeFirstList, AdoptedConnectionWaitsForAListThatNamesItsEndpoint) {
  NodeHarness harness;
  const int client = harness.connect_client("OPEN aa 2e c=plain,t=x,d=4294967,at=h9\r\n");
  harness.run_for(2500);
  harness.discovery_responses = {NodeHarness::http(
      R"({"generation":2,"reset":false,"instances":[{"instanceId":"h9","hostPort":")" +
      NodeHarness::address_text(harness.endpoint_address) + R"(","zone":"near","lifecycle":"up"}]})")};
  harness.write(harness.accept_endpoint_connection(), "UP x\r\n");
  EXPECT_EQ(harness.read(client), "UP x\r\n");
}

// Guards against new work by the list of before once a reloaded node counts as notified by its new discovery.
TEST(StartBeforeFirstList, NewWorkWaitsForANewDiscoveryThatHasNotAnsweredInTime) {
  NodeHarness harness;
  harness.discovery_responses = {NodeHarness::http(kNoChanges)};
  EXPECT_TRUE(harness.run_until([&] { return harness.discovery_responses.empty(); }));
  harness.reload_with_new_discovery();
  harness.run_for(4100);
  const int client = harness.connect_client(request_line());
  harness.run_for(300);
  EXPECT_FALSE(has_endpoint_connection(harness));
  harness.discovery_responses = {list_with_all(harness, "draining"), list_with_all(harness, "draining")};
  EXPECT_EQ(harness.read(client).substr(0, 4), "BUSY");
}
