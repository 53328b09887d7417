// Attempts that are rejected, answered with nonsense or left by their client.
#include <gtest/gtest.h>

#include "node/request_line.h"
#include "support/fixtures.h"

using namespace dapplewharf;

TEST(UpstreamAttempt, IsRetriedWhenRejectedAndTheLastIsAnsweredBusyAtOnce) {
  Net net;
  const int client = net.client(request_line());
  for (int i = 0; i < 4; ++i) {
    const int host = net.host_accepts();
    net.read(host);
    net.write(host, "BUSY\r\n");
  }
  EXPECT_EQ(net.read(client).substr(0, 5), "BUSY ");
  EXPECT_TRUE(net.ended(client));
}

TEST(UpstreamAttempt, AMalformedAnswerCostsOnlyItsAttempt) {
  Net net;
  const int client = net.client(request_line());
  for (const std::string& nonsense :
       {std::string("HTTP/1.1 400 Bad\r\n"), std::string(9000, 'x'), std::string("UP no e")}) {
    const int host = net.host_accepts();
    net.read(host);
    net.write(host, nonsense);
    net.finish(host);
  }
  net.write(net.host_accepts(), "UP fine\r\n");
  EXPECT_EQ(net.read(client), "UP fine\r\n");
}

TEST(UpstreamAttempt, EndsWhenItsClientLeaves) {
  Net net;
  const int client = net.client(request_line());
  const int host = net.host_accepts();
  net.read(host);
  net.reset(client);
  EXPECT_TRUE(net.ended(host));
}
