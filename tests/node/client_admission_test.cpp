// Malformed and silent clients.
#include "node/client_admission.h"

#include <gtest/gtest.h>

#include "node/request_line.h"
#include "support/fixtures.h"

using namespace dapplewharf;

TEST(ClientAdmission, MalformedInputCostsItsConnectionOnly) {
  NodeHarness harness;
  const int malformed = harness.connect_client("GET / HTTP/1.1\r\n");
  const int endless = harness.connect_client(std::string(6000, 'x'));
  const int fine = harness.connect_client(request_line());
  EXPECT_EQ(harness.read(malformed), "ERR\r\n");
  EXPECT_TRUE(harness.is_closed_by_peer(malformed));
  EXPECT_EQ(harness.read(endless), "ERR\r\n");
  harness.write(harness.accept_endpoint_connection(), "UP fine\r\n");
  EXPECT_EQ(harness.read(fine), "UP fine\r\n");
}

TEST(ClientAdmission, TheIdOfAnOpenOrRecentConnectionReachesNoHost) {
  NodeHarness harness;
  const std::string first = request_line();
  const int client = harness.connect_client(first);
  const int host = harness.accept_endpoint_connection();
  EXPECT_EQ(harness.read(harness.connect_client(first)), "ERR\r\n") << "while it waits";
  harness.write(host, "UP x\r\n");
  EXPECT_EQ(harness.read(client), "UP x\r\n");
  EXPECT_EQ(harness.read(harness.connect_client(first)), "ERR\r\n") << "while it stands";
  harness.reset(client);
  EXPECT_TRUE(harness.is_closed_by_peer(host));
  EXPECT_EQ(harness.read(harness.connect_client(first)), "ERR\r\n") << "an id is new with every connection";
}

TEST(ClientAdmission, CommandsBehindTheRequestEndItAndItsAttempt) {
  NodeHarness harness;
  EXPECT_EQ(harness.read(harness.connect_client(request_line() + request_line())), "ERR\r\n");
  const int client = harness.connect_client(request_line());
  const int host = harness.accept_endpoint_connection();
  harness.read(host);
  harness.write(client, "BOOK 1\r\n");
  EXPECT_EQ(harness.read(client), "ERR\r\n");
  EXPECT_TRUE(harness.is_closed_by_peer(host));
}

TEST(ClientAdmission, AnIncompleteLineAndASilentClientEndWithinThreeSeconds) {
  NodeHarness harness;
  const int half = harness.connect_client("OPEN 1f 2");
  const int silent = harness.connect_client("");
  const int both = harness.connect_client("PING\r\nOPEN 1f 2");
  const int almost = harness.connect_client("PING now\r\n");
  EXPECT_EQ(harness.read(almost, 1, 500), "ERR\r\n");
  EXPECT_EQ(harness.read(half, 1, 2700), "ERR\r\n");
  EXPECT_EQ(harness.read(both, 9, 1000), "PONG\r\nERR\r\n");
  EXPECT_TRUE(harness.is_closed_by_peer(half));
  EXPECT_TRUE(harness.is_closed_by_peer(silent));
}

TEST(ClientAdmission, AClientThatGoesOnSendingAfterItsAnswerIsCutOff) {
  NodeHarness harness;
  const int client = harness.connect_client("frob\r\n");
  const std::string lots(16000, 'x');
  std::size_t taken = 0;
  harness.run_until(
      [&] {
        const auto given = harness.socket(client).send(lots.data(), lots.size());
        taken += given.value_or(0);
        return !given;
      },
      900);
  EXPECT_FALSE(harness.socket(client).send("x", 1)) << "cut off well before the second that its answer has";
}

TEST(ClientAdmission, SilentAndPingingClientsTakeNothingFromAnOrdinaryOne) {
  NodeHarness harness(140);
  std::vector<int> crowd;
  for (int i = 0; i < 60; ++i) {
    crowd.push_back(harness.connect_client(i % 2 ? "" : "PING\r\n"));
  }
  const int client = harness.connect_client(request_line());
  harness.write(harness.accept_endpoint_connection(), "UP fine\r\n");
  EXPECT_EQ(harness.read(client), "UP fine\r\n");
  EXPECT_EQ(harness.read(crowd[1]), "BUSY\r\n") << "the longest silent give way";
}
