// Rare moments: two events that cross, on loopback sockets, each crossing forced step by step by the story.
// None waits for luck, and none asserts a machine's speed: spans are the protocol page's own.
#include <gtest/gtest.h>

#include "helper.h"

using namespace dapplewharf;

namespace {

const std::string kBusy = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
constexpr int kToldUnheardMs = 6000, kToldAnewMs = 4000;  // protocol page

std::string opening(const std::string& more = "") {
  static int last = 0;
  return "OPEN 2f" + std::to_string(++last) + " 2e c=plain,t=x,d=2000,g=3d" + more + "\r\n";
}

// What discovery says of hosts: whole lists.
std::string list(const Net& net, int version, const std::vector<std::string>& hosts,
                 const std::string& lifecycle) {
  nlohmann::json named = nlohmann::json::array();
  for (const std::string& host : hosts)
    named.push_back({{"instanceId", host},
                     {"hostPort", Net::text_of(net.hosts_at)},
                     {"zone", "near"},
                     {"lifecycle", lifecycle}});
  return Net::http(nlohmann::json({{"generation", version}, {"reset", true}, {"instances", named}}).dump());
}
const std::vector<std::string> kAll = {"h0", "h1", "h2", "h3"};

bool asks(const Net& net) { return net.asked.find("\r\n\r\n") != std::string::npos; }

}  // namespace

TEST(Crossings, AWatchSilentFromItsFirstMomentIsMadeGoodBeforeItCountsAsTold) {
  Net net;
  net.answers = {kBusy};  // danger: one call lost before made the next one wait longer
  EXPECT_TRUE(net.until([&] { return net.answers.empty(); }));
  EXPECT_TRUE(net.until([&] { return net.calls == 2 && asks(net); }));
  const Tenths silent_from = net.loop.now();
  EXPECT_TRUE(net.until([&] { return net.calls == 3 && asks(net); }, kToldUnheardMs)) << "opened anew";
  net.answers = {kBusy, Net::http("garbage"), list(net, 2, kAll, "draining")};  // many ask just then
  EXPECT_TRUE(net.until([&] { return net.answers.empty(); }, kToldUnheardMs));
  EXPECT_LT(net.loop.now() - silent_from, kToldUnheardMs * kMs);
  EXPECT_EQ(net.read(net.client(opening())).substr(0, 4), "BUSY") << "and what it says is followed";
}

TEST(Crossings, ANewPlaceThatTurnsAwayIsAskedAgainBeforeItCountsAsTold) {
  Net net;
  EXPECT_TRUE(net.until([&] { return asks(net); }));
  net.moves_discovery();
  const Tenths moved = net.loop.now();
  net.answers = {kBusy, kBusy, kBusy, kBusy, list(net, 1, kAll, "draining")};
  EXPECT_TRUE(net.until([&] { return net.answers.empty(); }, kToldAnewMs));
  EXPECT_LT(net.loop.now() - moved, kToldAnewMs * kMs);
}
