// Requests on their way through the node, and adopted connections.
#include <gtest/gtest.h>

#include "node/request_line.h"
#include "support/fixtures.h"

using namespace dapplewharf;

TEST(RequestHandler, MigratesAConnectionWhoseLinesStayUnanswered) {
  Net net;
  const int client = net.client(request_line());
  net.write(net.host_accepts(), "UP x\r\n");
  net.read(client);
  net.write(client, "hello\r\n");
  EXPECT_EQ(net.read(client, 6, 5000), "MOVE\r\n");
}

TEST(RequestHandler, AnAdoptedConnectionGoesToItsHostOrIsAnswered) {
  Net net;
  const int known = net.client("OPEN 1 2 c=plain,t=x,d=4294967,at=h2\r\n");
  const int host = net.host_accepts();
  EXPECT_EQ(net.read(host).substr(0, 11), "OPEN 1 2 c=");
  net.write(host, "UP x\r\n");
  EXPECT_EQ(net.read(known), "UP x\r\n");
  EXPECT_EQ(net.read(net.client("OPEN 3 2 c=plain,t=x,d=4294967,at=nobody\r\n")), "ERR\r\n");
}
