// The waits before calls to the list service: their sum within which a change counts as told, and that
// whoever lost together does not ask together. The module's and the node's waits are forced with their own
// clocks.
#include "policy/backoff.h"

#include "support/fixtures.h"

using namespace dapplewharf;

namespace {

constexpr Duration kTold = 6 * kSecond;  // operators' term

}  // namespace

TEST(Backoff, NoWaitOutlastsWhatNoticingALossAndTheQueueLeaveOfTheTime) {
  RandomGenerator chance(3);
  for (const double nodes : {1.0, 30.0, 350.0, 1024.0}) {
    for (const Duration most : {Duration{0}, 200 * kMs, 560 * kMs, 7 * kSecond, INT64_MAX / 2}) {
      const Backoff backoff(nodes, most);
      for (int losses = 1; losses <= 100; ++losses) {
        const Duration wait = backoff.again(losses, losses % 2 ? chance.next_fraction() : 0.999999);
        EXPECT_GE(wait, 50 * kMs);
        EXPECT_LE(wait, std::max(most, 50 * kMs)) << "what the settings leave";
        EXPECT_LE(Backoff::kPatience + wait + Backoff::kTurn, kTold) << nodes << " nodes, losses " << losses;
        EXPECT_LE(backoff.first(chance.next_fraction()) + Backoff::kTurn, kTold);
      }
    }
  }
}

TEST(Backoff, WhoeverLostTogetherAsksApartAndTheMoreOftenTheFurther) {
  RandomGenerator chance(5);
  for (const int losses : {1, 3, 9}) {
    Duration least = INT64_MAX;
    Duration most = 0;
    for (int node = 0; node < 350; ++node) {
      const Duration wait = Backoff(350, INT64_MAX / 2).again(losses, chance.next_fraction());
      least = std::min(least, wait), most = std::max(most, wait);
    }
    EXPECT_GE(most * 10, least * 18) << "half of it is chance, after losses " << losses;
    EXPECT_GE(most, losses == 9 ? 1400 * kMs : 200 * kMs);
  }
}

// Operators' days (herd+mass): nodes that were killed asked up to 7 s after their start, and others 3.5 to 7
// s after a loss, while the service was idle; they sent to hosts that had left.
TEST(Backoff, ANodeOfManyAsksSoonAfterItsStartAndAfterEachLoss) {
  for (const double nodes : {1.0, 30.0, 350.0}) {
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
      LoadBalancerHarness harness;
      harness.settings["node_count"] = nodes;
      harness.settings["discovery"] = "on_request";
      harness.settings["notified_within"] = 100000.0;
      harness.start(3, seed);
      for (int lost = 0; lost < 12; ++lost) {
        const TimePoint from = harness.now;
        while (!harness.has_action(ActionKind::watch_endpoints) && harness.now < from + kTold) {
          harness.now += 100;
          harness.send_event(FlatEvent{});
        }
        EXPECT_LE(harness.now - from, 1600 * kMs) << nodes << " nodes, seed " << seed << ", losses " << lost;
        if (lost > 0) {
          EXPECT_GE(harness.now - from, 50 * kMs);
        }
        FlatEvent event;
        event.kind = EventKind::endpoint_watch_failed;
        harness.send_event(event);
      }
    }
  }
}

// A service that is down turns calls away, each in another way; from the instant at which it is back, by the
// node's own clock, its list is followed within the term.
TEST(Backoff, AServiceThatIsBackIsHeardWithinTheTermHoweverItFailedBefore) {
  const std::string busy = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
  for (const char* how : {"refused", "reset", "busy", "silent"}) {
    NodeHarness harness(1024, true, [](Configuration& to) {
      to.settings["peersTotal"] = 350;
      to.settings["guarantees"]["askWithinMs"] = 10000;
    });
    const std::string word = how;
    const sockaddr_in there = harness.discovery_address;
    if (word == "refused") {
      harness.discovery_listener.close(), harness.discovery_connection.close(),
          harness.discovery_request.clear();
    }
    const TimePoint down_until = harness.loop.now() + 8 * kSecond;  // long enough for the longest wait
    while (harness.loop.now() < down_until) {
      if (word == "reset" && !harness.discovery_request.empty()) {
        harness.discovery_connection.close_with_reset(), harness.discovery_request.clear();
      }
      if (word == "busy" && harness.discovery_responses.empty()) {
        harness.discovery_responses = {busy};
      }
      harness.run_once();
    }
    harness.discovery_responses.clear();
    if (word == "refused") {
      EXPECT_FALSE(listen_on(there, harness.discovery_listener));
    }
    // What was asked while it was down stays without an answer, on a connection that stays up.
    if (word == "silent") {
      harness.keep_socket(std::move(harness.discovery_connection)), harness.discovery_connection = Socket(),
                                                                    harness.discovery_request.clear();
    }
    const TimePoint back = harness.loop.now();
    const std::string list = NodeHarness::http(R"({"generation":2,"reset":true,"instances":[]})");
    harness.discovery_responses = {list};
    EXPECT_TRUE(harness.run_until([&] { return harness.discovery_responses.empty(); }, 8000)) << how;
    // A watch may wait 3 s and is then given 1.5 s; what it missed is asked for at once.
    const Duration most = word == "silent" ? 4500 * kMs : Backoff::kPatience + Backoff::kLongest;
    EXPECT_LE(harness.loop.now() - back, most + 300 * kMs) << how;
    EXPECT_LT(most + 300 * kMs, kTold);
  }
}
