// The phases of a shutdown, and the shutdown of a node.
#include "node/shutdown.h"

#include <gtest/gtest.h>

#include "node/request_line.h"
#include "support/fixtures.h"

using namespace dapplewharf;

TEST(Shutdown, PassesThroughItsPhasesInOrder) {
  Shutdown shutdown;
  EXPECT_EQ(shutdown.phase(100), ShutdownPhase::running);
  ASSERT_TRUE(shutdown.begin(100, std::nullopt));
  EXPECT_FALSE(shutdown.begin(200, std::nullopt)) << "a shutdown in progress continues unchanged";
  EXPECT_EQ(shutdown.ends_by(), 100 + Shutdown::kMaxRequestWait + Shutdown::kKillMargin);
  EXPECT_EQ(shutdown.phase(100), ShutdownPhase::accepting_late_clients);
  EXPECT_EQ(shutdown.phase(100 + Shutdown::kLateClientPeriod), ShutdownPhase::finishing);
  EXPECT_EQ(shutdown.phase(shutdown.requests_close_at()), ShutdownPhase::closing);
  EXPECT_EQ(shutdown.phase(shutdown.ends_by()), ShutdownPhase::overdue);
  EXPECT_LT(shutdown.answers_due(), shutdown.requests_close_at());
}

TEST(Shutdown, EndsSoonerIfTheLongestRequestDeadlineIsShort) {
  Shutdown shutdown;
  ASSERT_TRUE(shutdown.begin(100, kSecond));
  EXPECT_EQ(shutdown.ends_by(), 100 + kSecond + Shutdown::kKillMargin);
}

TEST(Shutdown, MigratesEstablishedConnectionsBetweenLinesAndExits) {
  NodeHarness harness;
  const int client = harness.connect_client(request_line());
  const int host = harness.accept_endpoint_connection();
  harness.write(host, "UP x\r\nwhole\r\nhal");
  EXPECT_EQ(harness.read(client), "UP x\r\nwhole\r\n");
  harness.node->begin_shutdown();
  const int late = harness.connect_client(request_line());
  harness.write(harness.accept_endpoint_connection(), "UP late\r\n");
  EXPECT_EQ(harness.read(late), "UP late\r\n");
  EXPECT_EQ(harness.read(client, 6, 2000), "MOVE\r\n");
  EXPECT_TRUE(harness.is_closed_by_peer(client));
  EXPECT_TRUE(harness.is_closed_by_peer(host));
  harness.shut_down_writing(client);
  EXPECT_EQ(harness.read(late, 6, 2000), "MOVE\r\n");
  harness.shut_down_writing(late);
  harness.run_for(1000);
  EXPECT_TRUE(harness.node->may_exit());
}

TEST(Shutdown, ClientThatConnectsAfterSigtermIsAnsweredBeforeTheExit) {
  NodeHarness harness;
  harness.node->begin_shutdown();
  harness.run_for(800);
  const int late = harness.connect_client(request_line());  // its host never answers
  EXPECT_EQ(harness.read(late, 4, 1900).substr(0, 4), "BUSY");
  harness.shut_down_writing(late);
  EXPECT_TRUE(harness.run_until([&] { return harness.node->may_exit(); }, 300));
}
