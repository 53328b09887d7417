// Relaying the bytes of established connections, on loopback sockets.
#include <gtest/gtest.h>

#include "node/request_line.h"
#include "support/fixtures.h"

using namespace dapplewharf;

TEST(ByteRelay, RelaysBytesUnchangedInBothDirections) {
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

TEST(ByteRelay, ResetOfTheHostResetsTheClient) {
  NodeHarness harness;
  const int client = harness.connect_client(request_line());
  const int host = harness.accept_endpoint_connection();
  harness.write(host, "UP x\r\n");
  harness.read(client);
  harness.reset(host);
  EXPECT_TRUE(harness.was_reset(client));
}

TEST(ByteRelay, SlowReaderDelaysOnlyItsOwnConnectionAndBuffersAreBounded) {
  NodeHarness harness;
  const int slow = harness.connect_client(request_line());
  const int host = harness.accept_endpoint_connection();
  harness.write(host, "UP x\r\n");
  EXPECT_EQ(harness.read(slow), "UP x\r\n");
  std::string line(1000, 'x');
  line.replace(998, 2, "\r\n");
  std::size_t sent_bytes = 0;
  // Returns false if nothing could be sent: the buffers of the kernel and of the node are full.
  const auto send_some = [&] {
    const std::size_t offset = sent_bytes % line.size();
    const std::size_t sent =
        harness.socket(host).send(line.data() + offset, line.size() - offset).value_or(0);
    sent_bytes += sent;
    return sent > 0;
  };
  for (int i = 0; i < 20000 && (send_some() || (harness.run_for(50), send_some())); ++i) {
    harness.run_for(0);
  }
  EXPECT_LT(sent_bytes, 19000u * 1000u);
  const int other = harness.connect_client(request_line());
  harness.write(harness.accept_endpoint_connection(), "UP y\r\n");
  EXPECT_EQ(harness.read(other), "UP y\r\n");
  std::string received;
  bool has_ended = false;
  harness.run_until(
      [&] {
        return harness.socket(slow).receive(received, 65536, has_ended),
               received.size() >= sent_bytes / 1000 * 1000;
      },
      5000);
  EXPECT_EQ(received.size(), sent_bytes / 1000 * 1000) << "all complete lines";
}

TEST(ByteRelay, LineLongerThanTheProtocolAllowsIsRelayedAndMoveFollowsIt) {
  NodeHarness harness;
  const int client = harness.connect_client(request_line());
  const int host = harness.accept_endpoint_connection();
  harness.write(host, "UP x\r\n" + std::string(9000, 'x'));
  EXPECT_EQ(harness.read(client, 9006).size(), 9006u);
  harness.node->begin_shutdown();
  harness.run_for(1200);
  harness.write(host, "end\r\nnext");
  EXPECT_EQ(harness.read(client, 11, 1500), "end\r\nMOVE\r\n");
}
