// Words between nodes: what is heard, for how long, and what an estimate is made of.
#include "gossip/peer_load_table.h"

#include <gtest/gtest.h>

#include "node/gossip_socket.h"

using namespace dapplewharf;

namespace {

constexpr TimePoint kNow = 17000000000000;

PeerLoadTable tally_of(int nodes) {
  return PeerLoadTable(nodes, 0, 7);
}

}  // namespace

TEST(PeerLoadTable, WhatTenOfAHundredSayStandsForAllOthers) {
  PeerLoadTable tally = tally_of(100);
  for (int node = 1; node <= 10; ++node) {
    EXPECT_FALSE(node > 8 && !tally.connections_elsewhere("a", kNow));
    EXPECT_TRUE(tally.receive(node, PeerLoadTable::encode({{"a", 2}, {"b", node % 2}}, kNow), kNow));
  }
  EXPECT_NEAR(*tally.connections_elsewhere("a", kNow), 2 * 99, 1);
  EXPECT_NEAR(*tally.connections_elsewhere("b", kNow), 0.5 * 99, 1);
  EXPECT_EQ(*tally.connections_elsewhere("nobody", kNow), 0);
}

TEST(PeerLoadTable, FewWordsAreNoEstimateAndOldOnesFadeAway) {
  PeerLoadTable tally = tally_of(100);
  for (int node = 1; node <= 7; ++node) {
    tally.receive(node, PeerLoadTable::encode({{"a", 1}}, kNow), kNow);
  }
  EXPECT_FALSE(tally.connections_elsewhere("a", kNow));
  for (int node = 8; node <= 20; ++node) {
    tally.receive(node, PeerLoadTable::encode({{"a", 1}}, kNow), kNow);
  }
  EXPECT_TRUE(tally.connections_elsewhere("a", kNow + 5 * kSecond));
  EXPECT_FALSE(tally.connections_elsewhere("a", kNow + 7 * kSecond));
}

TEST(PeerLoadTable, LateDoubledStaleAndBrokenWordsChangeNothing) {
  PeerLoadTable tally = tally_of(2);
  EXPECT_TRUE(tally.receive(1, PeerLoadTable::encode({{"a", 5}}, kNow), kNow));
  EXPECT_FALSE(tally.receive(1, PeerLoadTable::encode({{"a", 9}}, kNow - kSecond), kNow));  // overtaken
  EXPECT_FALSE(
      tally.receive(1, PeerLoadTable::encode({{"a", 9}}, kNow - 60 * kSecond), kNow));  // from a former life
  EXPECT_TRUE(tally.receive(1, PeerLoadTable::encode({{"a", 5}}, kNow), kNow));         // doubled
  const std::string good = PeerLoadTable::encode({{"a", 9}, {"b", 1}}, kNow + kSecond);
  for (const std::size_t size : {0, 1, 2, 4, 5, 7, 8}) {
    EXPECT_FALSE(tally.receive(1, good.substr(0, size), kNow));
  }
  EXPECT_FALSE(tally.receive(1, "\x02" + good.substr(1), kNow));  // another version
  EXPECT_FALSE(tally.receive(-1, good, kNow));                    // from a stranger
  EXPECT_FALSE(tally.receive(0, good, kNow));                     // its own
  EXPECT_FALSE(tally.receive(1, std::string(300, '\x01'), kNow));
  EXPECT_EQ(*tally.connections_elsewhere("a", kNow), 5);
}

TEST(PeerLoadTable, AStampThatWrapsAndAClockALittleAheadAreUnderstood) {
  PeerLoadTable tally = tally_of(2);
  const TimePoint wraps = kNow - kNow % (65536 * 1000);
  EXPECT_TRUE(tally.receive(1, PeerLoadTable::encode({{"a", 1}}, wraps - 1000), wraps + 1000));
  EXPECT_TRUE(tally.receive(1, PeerLoadTable::encode({{"a", 2}}, wraps + 15000), wraps + 2000));
  EXPECT_EQ(*tally.connections_elsewhere("a", wraps + 2000), 2);
}

TEST(PeerLoadTable, AWordOfManyHostsFitsAndLeavesOutTheSmallest) {
  PeerLoadTable::Counts counts;
  for (int i = 0; i < 200; ++i) {
    counts["h" + std::to_string(i)] = i + 100;
  }
  PeerLoadTable tally = tally_of(2);
  EXPECT_LE(PeerLoadTable::encode(counts, kNow).size(), 255U);
  EXPECT_TRUE(tally.receive(1, PeerLoadTable::encode(counts, kNow), kNow));
  EXPECT_EQ(*tally.connections_elsewhere("h150", kNow), 250);
  EXPECT_EQ(*tally.connections_elsewhere("h199", kNow), 255);  // no more can be said
}

// Danger: what each tells to all others grows with the square of the nodes.
TEST(PeerLoadTable, TellingIsBoundedHoweverFastThingsChange) {
  PeerLoadTable tally = tally_of(400);
  std::size_t changing = 0;
  std::size_t still = 0;
  for (TimePoint now = 0; now < 10 * kSecond; now += 100) {
    changing += tally.choose_recipients(now, {{"a", static_cast<int>(now)}}).size();
  }
  for (TimePoint now = 10 * kSecond; now < 30 * kSecond; now += 100) {
    still += tally.choose_recipients(now, {{"a", 1}}).size();
  }
  EXPECT_LE(changing, 51U * 12);
  EXPECT_GE(changing, 40U * 12);
  EXPECT_LE(still, 12 + 21U * 3);
  EXPECT_GE(still, 6U * 3);
  EXPECT_TRUE(tally_of(1).choose_recipients(0, {{"a", 1}}).empty());
}

TEST(GossipSocket, TwoNodesHearEachOtherAndNobodyElse) {
  EventLoop loop;
  Counters counters;
  const std::vector<std::string> both{"127.0.77.1:21461", "127.0.77.1:21462"};
  GossipSocket one(loop, counters, {both[0], both, 0}, 1);
  GossipSocket two(loop, counters, {both[1], both, 1}, 2);
  GossipSocket stranger(loop, counters, {"127.0.77.1:21463", both, 0}, 3);
  stranger.tell({{"a", 90}});
  one.tell({{"a", 3}});
  for (int i = 0; i < 20 && !two.elsewhere("a"); ++i) {
    loop.run_once(100 * kMs);
  }
  EXPECT_EQ(two.elsewhere("a").value_or(-1), 3);
  EXPECT_FALSE(one.elsewhere("a"));
  EXPECT_EQ(counters.gossip_ignored, 1U);
  GossipSocket alone(loop, counters, {}, 4);
  alone.tell({{"a", 1}});
  EXPECT_FALSE(alone.elsewhere("a"));
}
