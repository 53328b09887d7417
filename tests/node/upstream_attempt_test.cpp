// Attempts that are rejected, answered with malformed lines or abandoned by their client.
#include <gtest/gtest.h>

#include "node/request_line.h"
#include "support/fixtures.h"

using namespace dapplewharf;

TEST(UpstreamAttempt, RejectedAttemptsAreRetriedAndTheLastRejectionIsAnsweredBusy) {
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

TEST(UpstreamAttempt, MalformedAnswerEndsTheAttemptAndTheRequestIsRetried) {
  NodeHarness harness;
  const int client = harness.connect_client(request_line());
  for (const std::string& malformed :
       {std::string("HTTP/1.1 400 Bad\r\n"), std::string(9000, 'x'), std::string("UP no e")}) {
    const int host = harness.accept_endpoint_connection();
    harness.read(host);
    harness.write(host, malformed);
    harness.shut_down_writing(host);
  }
  harness.write(harness.accept_endpoint_connection(), "UP x\r\n");
  EXPECT_EQ(harness.read(client), "UP x\r\n");
}

TEST(UpstreamAttempt, EndsWhenItsClientDisconnects) {
  NodeHarness harness;
  const int client = harness.connect_client(request_line());
  const int host = harness.accept_endpoint_connection();
  harness.read(host);
  harness.reset(client);
  EXPECT_TRUE(harness.is_closed_by_peer(host));
}
