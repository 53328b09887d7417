// Malformed and silent clients.
#include "node/client_admission.h"

#include <gtest/gtest.h>

#include "node/request_line.h"
#include "support/fixtures.h"

using namespace dapplewharf;

TEST(ClientAdmission, MalformedInputCostsItsConnectionOnly) {
  Net net;
  const int malformed = net.client("GET / HTTP/1.1\r\n");
  const int endless = net.client(std::string(6000, 'x'));
  const int fine = net.client(request_line());
  EXPECT_EQ(net.read(malformed), "ERR\r\n");
  EXPECT_TRUE(net.ended(malformed));
  EXPECT_EQ(net.read(endless), "ERR\r\n");
  net.write(net.host_accepts(), "UP fine\r\n");
  EXPECT_EQ(net.read(fine), "UP fine\r\n");
}

TEST(ClientAdmission, TheIdOfAnOpenOrRecentConnectionReachesNoHost) {
  Net net;
  const std::string first = request_line();
  const int client = net.client(first);
  const int host = net.host_accepts();
  EXPECT_EQ(net.read(net.client(first)), "ERR\r\n") << "while it waits";
  net.write(host, "UP x\r\n");
  EXPECT_EQ(net.read(client), "UP x\r\n");
  EXPECT_EQ(net.read(net.client(first)), "ERR\r\n") << "while it stands";
  net.reset(client);
  EXPECT_TRUE(net.ended(host));
  EXPECT_EQ(net.read(net.client(first)), "ERR\r\n") << "an id is new with every connection";
}

TEST(ClientAdmission, CommandsBehindTheRequestEndItAndItsAttempt) {
  Net net;
  EXPECT_EQ(net.read(net.client(request_line() + request_line())), "ERR\r\n");
  const int client = net.client(request_line());
  const int host = net.host_accepts();
  net.read(host);
  net.write(client, "BOOK 1\r\n");
  EXPECT_EQ(net.read(client), "ERR\r\n");
  EXPECT_TRUE(net.ended(host));
}

TEST(ClientAdmission, AnIncompleteLineAndASilentClientEndWithinThreeSeconds) {
  Net net;
  const int half = net.client("OPEN 1f 2");
  const int silent = net.client("");
  const int both = net.client("PING\r\nOPEN 1f 2");
  const int almost = net.client("PING now\r\n");
  EXPECT_EQ(net.read(almost, 1, 500), "ERR\r\n");
  EXPECT_EQ(net.read(half, 1, 2700), "ERR\r\n");
  EXPECT_EQ(net.read(both, 9, 1000), "PONG\r\nERR\r\n");
  EXPECT_TRUE(net.ended(half));
  EXPECT_TRUE(net.ended(silent));
}

TEST(ClientAdmission, AClientThatGoesOnSendingAfterItsAnswerIsCutOff) {
  Net net;
  const int client = net.client("frob\r\n");
  const std::string lots(16000, 'x');
  std::size_t taken = 0;
  net.until(
      [&] {
        const auto given = net.socket(client).send(lots.data(), lots.size());
        taken += given.value_or(0);
        return !given;
      },
      900);
  EXPECT_FALSE(net.socket(client).send("x", 1)) << "cut off well before the second that its answer has";
}

TEST(ClientAdmission, SilentAndPingingClientsTakeNothingFromAnOrdinaryOne) {
  Net net(140);
  std::vector<int> crowd;
  for (int i = 0; i < 60; ++i) {
    crowd.push_back(net.client(i % 2 ? "" : "PING\r\n"));
  }
  const int client = net.client(request_line());
  net.write(net.host_accepts(), "UP fine\r\n");
  EXPECT_EQ(net.read(client), "UP fine\r\n");
  EXPECT_EQ(net.read(crowd[1]), "BUSY\r\n") << "the longest silent give way";
}
