// Attempts that are rejected, answered with nonsense or left by their client.
#include <gtest/gtest.h>

#include "node/request_line.h"
#include "support/fixtures.h"

using namespace dapplewharf;

TEST(UpstreamAttempt, IsRetriedWhenRejectedAndTheLastIsAnsweredBusyAtOnce) {
  NodeHarness harness;
  const int client = harness.connect_client(request_line());
  for (int i = 0; i < 4; ++i) {
    const int host = harness.accept_endpoint_connection();
    harness.read(host);
    harness.write(host, "BUSY\r\n");
  }
  EXPECT_EQ(harness.read(client).substr(0, 5), "BUSY ");
  EXPECT_TRUE(harness.is_closed_by_peer(client));
}

TEST(UpstreamAttempt, AMalformedAnswerCostsOnlyItsAttempt) {
  NodeHarness harness;
  const int client = harness.connect_client(request_line());
  for (const std::string& nonsense :
       {std::string("HTTP/1.1 400 Bad\r\n"), std::string(9000, 'x'), std::string("UP no e")}) {
    const int host = harness.accept_endpoint_connection();
    harness.read(host);
    harness.write(host, nonsense);
    harness.shut_down_writing(host);
  }
  harness.write(harness.accept_endpoint_connection(), "UP fine\r\n");
  EXPECT_EQ(harness.read(client), "UP fine\r\n");
}

TEST(UpstreamAttempt, EndsWhenItsClientLeaves) {
  NodeHarness harness;
  const int client = harness.connect_client(request_line());
  const int host = harness.accept_endpoint_connection();
  harness.read(host);
  harness.reset(client);
  EXPECT_TRUE(harness.is_closed_by_peer(host));
}
