// Bytes of established connections, on loopback sockets.
#include <gtest/gtest.h>

#include "node/request_line.h"
#include "support/fixtures.h"

using namespace dapplewharf;

TEST(ByteRelay, PassesBytesUnchangedBothWays) {
  Net net;
  const int client = net.client("PING\r\n" + request_line());
  const int host = net.host_accepts();
  EXPECT_NE(net.read(host).find(" 2e c=plain,t=x,d="), std::string::npos);
  net.write(host, "UP abc\r\nfirst\r\n");
  EXPECT_EQ(net.read(client), "PONG\r\nUP abc\r\nfirst\r\n");
  const std::string large(70000, 'x');
  net.write(client, "a line\r\nand a ha");
  EXPECT_EQ(net.read(host), "a line\r\nand a ha");
  net.write(host, large);
  EXPECT_EQ(net.read(client, large.size()), large);
  net.finish(client);
  EXPECT_TRUE(net.ended(host));
  net.write(host, "BYE\r\n");
  EXPECT_EQ(net.read(client), "BYE\r\n");
  net.finish(host);
  EXPECT_TRUE(net.ended(client));
}

TEST(ByteRelay, PassesAResetOnAsOne) {
  Net net;
  const int client = net.client(request_line());
  const int host = net.host_accepts();
  net.write(host, "UP x\r\n");
  net.read(client);
  net.reset(host);
  EXPECT_TRUE(net.was_reset(client));
}

TEST(ByteRelay, ASlowReaderHoldsUpItsOwnConnectionOnlyWithinABound) {
  Net net;
  const int slow = net.client(request_line());
  const int host = net.host_accepts();
  net.write(host, "UP x\r\n");
  EXPECT_EQ(net.read(slow), "UP x\r\n");
  std::string line(1000, 'x');
  line.replace(998, 2, "\r\n");
  std::size_t taken = 0;
  const auto gives = [&] {  // false when nothing more is taken: the kernel's buffers and the node's are full
    const std::size_t at = taken % line.size();
    const std::size_t got = net.socket(host).send(line.data() + at, line.size() - at).value_or(0);
    taken += got;
    return got > 0;
  };
  for (int i = 0; i < 20000 && (gives() || (net.run(50), gives())); ++i) {
    net.run(0);
  }
  EXPECT_LT(taken, 19000u * 1000u);
  const int other = net.client(request_line());
  net.write(net.host_accepts(), "UP y\r\n");
  EXPECT_EQ(net.read(other), "UP y\r\n");
  std::string all;
  bool ended = false;
  net.until([&] { return net.socket(slow).receive(all, 65536, ended), all.size() >= taken / 1000 * 1000; },
            5000);
  EXPECT_EQ(all.size(), taken / 1000 * 1000) << "whole lines, and all of them";
}

TEST(ByteRelay, ALineLongerThanTheProtocolsPassesAndMoveStandsAfterIt) {
  Net net;
  const int client = net.client(request_line());
  const int host = net.host_accepts();
  net.write(host, "UP x\r\n" + std::string(9000, 'x'));
  EXPECT_EQ(net.read(client, 9006).size(), 9006u);
  net.node->stop();
  net.run(1200);
  net.write(host, "end\r\nnext");
  EXPECT_EQ(net.read(client, 11, 1500), "end\r\nMOVE\r\n");
}
