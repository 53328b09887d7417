// The phases of a shutdown, and a node that is stopped.
#include "node/shutdown.h"

#include <gtest/gtest.h>

#include "node/request_line.h"
#include "support/fixtures.h"

using namespace dapplewharf;

TEST(Shutdown, PassesThroughItsPhasesInOrder) {
  Shutdown shutdown;
  EXPECT_EQ(shutdown.phase(100), ShutdownPhase::running);
  ASSERT_TRUE(shutdown.begin(100, std::nullopt));
  EXPECT_FALSE(shutdown.begin(200, std::nullopt)) << "one in progress goes on unchanged";
  EXPECT_EQ(shutdown.ends_by(), 100 + Shutdown::kLongestWait + Shutdown::kKillMargin);
  EXPECT_EQ(shutdown.phase(100), ShutdownPhase::accepting_late_clients);
  EXPECT_EQ(shutdown.phase(100 + Shutdown::kLateClients), ShutdownPhase::finishing);
  EXPECT_EQ(shutdown.phase(shutdown.requests_close_at()), ShutdownPhase::closing);
  EXPECT_EQ(shutdown.phase(shutdown.ends_by()), ShutdownPhase::overdue);
  EXPECT_LT(shutdown.answers_due(), shutdown.requests_close_at());
}

TEST(Shutdown, EndsSoonerWhereNoRequestWaitsLong) {
  Shutdown shutdown;
  ASSERT_TRUE(shutdown.begin(100, kSecond));
  EXPECT_EQ(shutdown.ends_by(), 100 + kSecond + Shutdown::kKillMargin);
}

TEST(Shutdown, MigratesEstablishedConnectionsBetweenLinesAndEnds) {
  Net net;
  const int client = net.client(request_line());
  const int host = net.host_accepts();
  net.write(host, "UP x\r\nwhole\r\nhal");
  EXPECT_EQ(net.read(client), "UP x\r\nwhole\r\n");
  net.node->stop();
  const int late = net.client(request_line());
  net.write(net.host_accepts(), "UP late\r\n");
  EXPECT_EQ(net.read(late), "UP late\r\n");
  EXPECT_EQ(net.read(client, 6, 2000), "MOVE\r\n");
  EXPECT_TRUE(net.ended(client));
  EXPECT_TRUE(net.ended(host));
  net.finish(client);
  EXPECT_EQ(net.read(late, 6, 2000), "MOVE\r\n");
  net.finish(late);
  net.run(1000);
  EXPECT_TRUE(net.node->done());
}

TEST(Shutdown, AnswersALateClientBeforeTheEnd) {
  Net net;
  net.node->stop();
  net.run(800);
  const int late = net.client(request_line());  // no host ever says a word
  EXPECT_EQ(net.read(late, 4, 1900).substr(0, 4), "BUSY");
  net.finish(late);
  EXPECT_TRUE(net.until([&] { return net.node->done(); }, 300));
}
