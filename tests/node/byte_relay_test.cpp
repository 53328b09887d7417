// Bytes of established connections, on loopback sockets.
#include <gtest/gtest.h>

#include "node/request_line.h"
#include "support/fixtures.h"

using namespace dapplewharf;

TEST(ByteRelay, PassesBytesUnchangedBothWays) {
  NodeHarness harness;
  const int client = harness.connect_client("PING\r\n" + request_line());
  const int host = harness.accept_endpoint_connection();
  EXPECT_NE(harness.read(host).find(" 2e c=plain,t=x,d="), std::string::npos);
  harness.write(host, "UP abc\r\nfirst\r\n");
  EXPECT_EQ(harness.read(client), "PONG\r\nUP abc\r\nfirst\r\n");
  const std::string large(70000, 'x');
  harness.write(client, "a line\r\nand a ha");
  EXPECT_EQ(harness.read(host), "a line\r\nand a ha");
  harness.write(host, large);
  EXPECT_EQ(harness.read(client, large.size()), large);
  harness.shut_down_writing(client);
  EXPECT_TRUE(harness.is_closed_by_peer(host));
  harness.write(host, "BYE\r\n");
  EXPECT_EQ(harness.read(client), "BYE\r\n");
  harness.shut_down_writing(host);
  EXPECT_TRUE(harness.is_closed_by_peer(client));
}

TEST(ByteRelay, PassesAResetOnAsOne) {
  NodeHarness harness;
  const int client = harness.connect_client(request_line());
  const int host = harness.accept_endpoint_connection();
  harness.write(host, "UP x\r\n");
  harness.read(client);
  harness.reset(host);
  EXPECT_TRUE(harness.was_reset(client));
}

TEST(ByteRelay, ASlowReaderHoldsUpItsOwnConnectionOnlyWithinABound) {
  NodeHarness harness;
  const int slow = harness.connect_client(request_line());
  const int host = harness.accept_endpoint_connection();
  harness.write(host, "UP x\r\n");
  EXPECT_EQ(harness.read(slow), "UP x\r\n");
  std::string line(1000, 'x');
  line.replace(998, 2, "\r\n");
  std::size_t taken = 0;
  const auto gives = [&] {  // false when nothing more is taken: the kernel's buffers and the node's are full
    const std::size_t at = taken % line.size();
    const std::size_t got = harness.socket(host).send(line.data() + at, line.size() - at).value_or(0);
    taken += got;
    return got > 0;
  };
  for (int i = 0; i < 20000 && (gives() || (harness.run_for(50), gives())); ++i) {
    harness.run_for(0);
  }
  EXPECT_LT(taken, 19000u * 1000u);
  const int other = harness.connect_client(request_line());
  harness.write(harness.accept_endpoint_connection(), "UP y\r\n");
  EXPECT_EQ(harness.read(other), "UP y\r\n");
  std::string all;
  bool ended = false;
  harness.run_until(
      [&] { return harness.socket(slow).receive(all, 65536, ended), all.size() >= taken / 1000 * 1000; },
      5000);
  EXPECT_EQ(all.size(), taken / 1000 * 1000) << "whole lines, and all of them";
}

TEST(ByteRelay, ALineLongerThanTheProtocolsPassesAndMoveStandsAfterIt) {
  NodeHarness harness;
  const int client = harness.connect_client(request_line());
  const int host = harness.accept_endpoint_connection();
  harness.write(host, "UP x\r\n" + std::string(9000, 'x'));
  EXPECT_EQ(harness.read(client, 9006).size(), 9006u);
  harness.node->stop();
  harness.run_for(1200);
  harness.write(host, "end\r\nnext");
  EXPECT_EQ(harness.read(client, 11, 1500), "end\r\nMOVE\r\n");
}
