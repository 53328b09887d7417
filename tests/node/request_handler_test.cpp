// Stalled and adopted connections.
#include <gtest/gtest.h>

#include "node/request_line.h"
#include "support/fixtures.h"

using namespace dapplewharf;

TEST(RequestHandler, ConnectionWhoseLinesStayUnansweredIsMigrated) {
  NodeHarness harness;
  const int client = harness.connect_client(request_line());
  harness.write(harness.accept_endpoint_connection(), "UP x\r\n");
  harness.read(client);
  harness.write(client, "hello\r\n");
  EXPECT_EQ(harness.read(client, 6, 5000), "MOVE\r\n");
}

TEST(RequestHandler, AdoptedConnectionReconnectsToItsEndpointOrIsAnsweredErr) {
  NodeHarness harness;
  harness.discovery_responses = {NodeHarness::http(R"({"generation":1,"reset":false,"instances":[]})")};
  const int client = harness.connect_client("OPEN 1 2 c=plain,t=x,d=4294967,at=h2\r\n");
  const int host = harness.accept_endpoint_connection();
  EXPECT_EQ(harness.read(host).substr(0, 11), "OPEN 1 2 c=");
  harness.write(host, "UP x\r\n");
  EXPECT_EQ(harness.read(client), "UP x\r\n");
  EXPECT_EQ(harness.read(harness.connect_client("OPEN 3 2 c=plain,t=x,d=4294967,at=nobody\r\n")), "ERR\r\n");
}
