// Gossip messages between nodes: which are accepted, for how long, and what the estimates are.
#include "gossip/peer_load_table.h"

#include <gtest/gtest.h>

#include "node/gossip_socket.h"

using namespace dapplewharf;

namespace {

constexpr TimePoint kNow = 17000000000000;

PeerLoadTable table_for(int nodes) {
  return PeerLoadTable(nodes, 0, 7);
}

}  // namespace

TEST(PeerLoadTable, EstimatesAllNodesFromTheMessagesOfTenOutOfAHundred) {
  PeerLoadTable table = table_for(100);
  for (int node = 1; node <= 10; ++node) {
    EXPECT_FALSE(node > 8 && !table.connections_elsewhere("a", kNow));
    EXPECT_TRUE(table.receive(node, PeerLoadTable::encode({{"a", 2}, {"b", node % 2}}, kNow), kNow));
  }
  EXPECT_NEAR(*table.connections_elsewhere("a", kNow), 2 * 99, 1);
  EXPECT_NEAR(*table.connections_elsewhere("b", kNow), 0.5 * 99, 1);
  EXPECT_EQ(*table.connections_elsewhere("unknown", kNow), 0);
}

TEST(PeerLoadTable, ThereIsNoEstimateFromFewOrOldMessages) {
  PeerLoadTable table = table_for(100);
  for (int node = 1; node <= 7; ++node) {
    table.receive(node, PeerLoadTable::encode({{"a", 1}}, kNow), kNow);
  }
  EXPECT_FALSE(table.connections_elsewhere("a", kNow));
  for (int node = 8; node <= 20; ++node) {
    table.receive(node, PeerLoadTable::encode({{"a", 1}}, kNow), kNow);
  }
  EXPECT_TRUE(table.connections_elsewhere("a", kNow + 5 * kSecond));
  EXPECT_FALSE(table.connections_elsewhere("a", kNow + 7 * kSecond));
}

TEST(PeerLoadTable, LateDuplicateStaleAndMalformedMessagesChangeNothing) {
  PeerLoadTable table = table_for(2);
  EXPECT_TRUE(table.receive(1, PeerLoadTable::encode({{"a", 5}}, kNow), kNow));
  EXPECT_FALSE(
      table.receive(1, PeerLoadTable::encode({{"a", 9}}, kNow - kSecond), kNow));  // older than the latest
  EXPECT_FALSE(table.receive(1, PeerLoadTable::encode({{"a", 9}}, kNow - 60 * kSecond),
                             kNow));  // from an earlier run of the sender
  EXPECT_TRUE(table.receive(1, PeerLoadTable::encode({{"a", 5}}, kNow), kNow));  // duplicate
  const std::string good = PeerLoadTable::encode({{"a", 9}, {"b", 1}}, kNow + kSecond);
  for (const std::size_t size : {0, 1, 2, 4, 5, 7, 8}) {
    EXPECT_FALSE(table.receive(1, good.substr(0, size), kNow));
  }
  EXPECT_FALSE(table.receive(1, "\x02" + good.substr(1), kNow));  // another version
  EXPECT_FALSE(table.receive(-1, good, kNow));                    // from an unknown sender
  EXPECT_FALSE(table.receive(0, good, kNow));                     // from itself
  EXPECT_FALSE(table.receive(1, std::string(300, '\x01'), kNow));
  EXPECT_EQ(*table.connections_elsewhere("a", kNow), 5);
}

TEST(PeerLoadTable, TimestampThatWrapsAroundAndClockSlightlyAheadAreAccepted) {
  PeerLoadTable table = table_for(2);
  const TimePoint wrap_time = kNow - kNow % (65536 * 1000);
  EXPECT_TRUE(table.receive(1, PeerLoadTable::encode({{"a", 1}}, wrap_time - 1000), wrap_time + 1000));
  EXPECT_TRUE(table.receive(1, PeerLoadTable::encode({{"a", 2}}, wrap_time + 15000), wrap_time + 2000));
  EXPECT_EQ(*table.connections_elsewhere("a", wrap_time + 2000), 2);
}

TEST(PeerLoadTable, MessageAboutManyEndpointsOmitsTheSmallestCounts) {
  PeerLoadTable::Counts counts;
  for (int i = 0; i < 200; ++i) {
    counts["h" + std::to_string(i)] = i + 100;
  }
  PeerLoadTable table = table_for(2);
  EXPECT_LE(PeerLoadTable::encode(counts, kNow).size(), 255U);
  EXPECT_TRUE(table.receive(1, PeerLoadTable::encode(counts, kNow), kNow));
  EXPECT_EQ(*table.connections_elsewhere("h150", kNow), 250);
  EXPECT_EQ(*table.connections_elsewhere("h199", kNow), 255);  // the largest count that a message can hold
}

// Without a bound on the recipients, the number of messages would grow with the square of the number of
// nodes.
TEST(PeerLoadTable, NumberOfMessagesIsBoundedHoweverOftenCountsChange) {
  PeerLoadTable table = table_for(400);
  std::size_t messages_with_changes = 0;
  std::size_t messages_without_changes = 0;
  for (TimePoint now = 0; now < 10 * kSecond; now += 100) {
    messages_with_changes += table.choose_recipients(now, {{"a", static_cast<int>(now)}}).size();
  }
  for (TimePoint now = 10 * kSecond; now < 30 * kSecond; now += 100) {
    messages_without_changes += table.choose_recipients(now, {{"a", 1}}).size();
  }
  EXPECT_LE(messages_with_changes, 51U * 12);
  EXPECT_GE(messages_with_changes, 40U * 12);
  EXPECT_LE(messages_without_changes, 12 + 21U * 3);
  EXPECT_GE(messages_without_changes, 6U * 3);
  EXPECT_TRUE(table_for(1).choose_recipients(0, {{"a", 1}}).empty());
}

TEST(GossipSocket, AcceptsMessagesOfConfiguredPeersOnly) {
  EventLoop loop;
  Counters counters;
  const std::vector<std::string> addresses{"127.0.77.1:21461", "127.0.77.1:21462"};
  GossipSocket sender(loop, counters, {addresses[0], addresses, 0}, 1);
  GossipSocket receiver(loop, counters, {addresses[1], addresses, 1}, 2);
  GossipSocket unknown_sender(loop, counters, {"127.0.77.1:21463", addresses, 0}, 3);
  unknown_sender.send_if_due({{"a", 90}});
  sender.send_if_due({{"a", 3}});
  for (int i = 0; i < 20 && !receiver.connections_elsewhere("a"); ++i) {
    loop.run_once(100 * kMs);
  }
  EXPECT_EQ(receiver.connections_elsewhere("a").value_or(-1), 3);
  EXPECT_FALSE(sender.connections_elsewhere("a"));
  EXPECT_EQ(counters.gossip_ignored, 1U);
  GossipSocket unconfigured(loop, counters, {}, 4);
  unconfigured.send_if_due({{"a", 1}});
  EXPECT_FALSE(unconfigured.connections_elsewhere("a"));
}
