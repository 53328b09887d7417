// Malformed requests and silent clients.
#include "node/client_admission.h"

#include <gtest/gtest.h>

#include "node/request_line.h"
#include "support/fixtures.h"

using namespace dapplewharf;

TEST(ClientAdmission, MalformedInputIsAnsweredErrAndOtherClientsAreServed) {
  NodeHarness harness;
  const int malformed = harness.connect_client("GET / HTTP/1.1\r\n");
  const int endless = harness.connect_client(std::string(6000, 'x'));
  const int valid = harness.connect_client(request_line());
  EXPECT_EQ(harness.read(malformed), "ERR\r\n");
  EXPECT_TRUE(harness.is_closed_by_peer(malformed));
  EXPECT_EQ(harness.read(endless), "ERR\r\n");
  harness.write(harness.accept_endpoint_connection(), "UP fine\r\n");
  EXPECT_EQ(harness.read(valid), "UP fine\r\n");
}

TEST(ClientAdmission, RequestWithTheIdOfAnOpenOrRecentlyClosedRequestIsRejected) {
  NodeHarness harness;
  const std::string first = request_line();
  const int client = harness.connect_client(first);
  const int host = harness.accept_endpoint_connection();
  EXPECT_EQ(harness.read(harness.connect_client(first)), "ERR\r\n")
      << "id of a request that awaits its answer";
  harness.write(host, "UP x\r\n");
  EXPECT_EQ(harness.read(client), "UP x\r\n");
  EXPECT_EQ(harness.read(harness.connect_client(first)), "ERR\r\n") << "id of an established connection";
  harness.reset(client);
  EXPECT_TRUE(harness.is_closed_by_peer(host));
  EXPECT_EQ(harness.read(harness.connect_client(first)), "ERR\r\n") << "id of a recently closed connection";
}

TEST(ClientAdmission, DataAfterTheRequestFailsItAndEndsItsAttempt) {
  NodeHarness harness;
  EXPECT_EQ(harness.read(harness.connect_client(request_line() + request_line())), "ERR\r\n");
  const int client = harness.connect_client(request_line());
  const int host = harness.accept_endpoint_connection();
  harness.read(host);
  harness.write(client, "BOOK 1\r\n");
  EXPECT_EQ(harness.read(client), "ERR\r\n");
  EXPECT_TRUE(harness.is_closed_by_peer(host));
}

TEST(ClientAdmission, IncompleteLineAndSilentClientAreClosedWithinThreeSeconds) {
  NodeHarness harness;
  const int incomplete = harness.connect_client("OPEN 1f 2");
  const int silent = harness.connect_client("");
  const int incomplete_after_ping = harness.connect_client("PING\r\nOPEN 1f 2");
  const int invalid_ping = harness.connect_client("PING now\r\n");
  EXPECT_EQ(harness.read(invalid_ping, 1, 500), "ERR\r\n");
  EXPECT_EQ(harness.read(incomplete, 1, 2700), "ERR\r\n");
  EXPECT_EQ(harness.read(incomplete_after_ping, 9, 1000), "PONG\r\nERR\r\n");
  EXPECT_TRUE(harness.is_closed_by_peer(incomplete));
  EXPECT_TRUE(harness.is_closed_by_peer(silent));
}

TEST(ClientAdmission, ClientThatKeepsSendingAfterItsAnswerIsDisconnected) {
  NodeHarness harness;
  const int client = harness.connect_client("frob\r\n");
  const std::string chunk(16000, 'x');
  std::size_t accepted_bytes = 0;
  harness.run_until(
      [&] {
        const auto sent = harness.socket(client).send(chunk.data(), chunk.size());
        accepted_bytes += sent.value_or(0);
        return !sent;
      },
      900);
  EXPECT_FALSE(harness.socket(client).send("x", 1))
      << "disconnected within 900 ms, before the closing timeout of 1 s";
}

TEST(ClientAdmission, OrdinaryClientIsServedDespiteManySilentAndPingingClients) {
  NodeHarness harness(140);
  std::vector<int> silent_clients;
  for (int i = 0; i < 60; ++i) {
    silent_clients.push_back(harness.connect_client(i % 2 ? "" : "PING\r\n"));
  }
  const int client = harness.connect_client(request_line());
  harness.write(harness.accept_endpoint_connection(), "UP fine\r\n");
  EXPECT_EQ(harness.read(client), "UP fine\r\n");
  EXPECT_EQ(harness.read(silent_clients[1]), "BUSY\r\n") << "the longest silent clients are evicted";
}
