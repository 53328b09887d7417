// Accepting clients when descriptors are short.
#include "node/listener.h"

#include <gtest/gtest.h>

#include "node/request_line.h"
#include "support/fixtures.h"

using namespace dapplewharf;

TEST(Listener, AnswersEveryClientWhenDescriptorsAreShort) {
  NodeHarness harness(64);
  std::vector<int> clients;
  for (int i = 0; i < 60; ++i) {
    clients.push_back(harness.connect_client(request_line()));
  }
  for (const int client : clients) {
    EXPECT_EQ(harness.read(client, 4, 3000).substr(0, 4), "BUSY");
  }
  for (const int client : clients) {
    harness.reset(client);
  }
  EXPECT_EQ(harness.read(harness.connect_client("PING\r\n")), "PONG\r\n");
}
