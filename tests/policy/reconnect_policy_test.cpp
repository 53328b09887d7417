// Connections that were open at a host before this node started (`at=`): the platform allows 40 s to bring
// each up again, so no passing trouble ends one. Accepting: a passing failure turns no client away.
#include <gtest/gtest.h>

#include "support/fixtures.h"
#include "support/system_faults.h"

using namespace dapplewharf;
using faults::Call;

namespace {

constexpr int kMomentMs = 300;      // that a passing trouble lasts
constexpr int kBadClientMs = 3000;  // LATER page: within this an unusable line is owed an error

std::string line_at(const std::string& host, const std::string& more = "") {
  static int last = 0;
  return "OPEN 5a" + std::to_string(++last) + " 2e c=plain,t=x,d=4294967,at=" + host + more + "\r\n";
}

struct Cleared {
  Cleared() { faults::clear(); }
  ~Cleared() { faults::clear(); }
};

// The host's next connection, on which the whole line has come.
int host_with_line(Net& net) {
  const int host = net.host_accepts();
  if (::testing::Test::HasFailure()) {
    return host;
  }
  EXPECT_EQ(net.read(host).substr(0, 5), "OPEN ");
  return host;
}

void comes_up(Net& net, int client) {
  const int host = host_with_line(net);
  if (::testing::Test::HasFailure()) {
    return;
  }
  net.write(host, "UP x\r\n");
  EXPECT_EQ(net.read(client), "UP x\r\n");
}

int further_connections(Net& net, int ms) {
  int count = 0;
  net.until(
      [&] {
        Socket taken(accept4(net.hosts.number(), nullptr, nullptr, SOCK_NONBLOCK));
        if (taken) {
          ++count, net.keep(std::move(taken));
        }
        return false;
      },
      ms);
  return count;
}

}  // namespace

TEST(ReconnectPolicy, ACallThatFailsForAMomentDoesNotEndAConnectionFromBefore) {
  const std::pair<Call, int> failing[] = {
      {Call::connect, ENETUNREACH}, {Call::connect, ENOBUFS},      {Call::connect, EADDRNOTAVAIL},
      {Call::connect, ENETDOWN},    {Call::connect, EAGAIN},       {Call::socket, ENFILE},
      {Call::socket, ENOBUFS},      {Call::connect, ECONNREFUSED}, {Call::connect, EHOSTUNREACH}};
  for (const auto& [call, error] : failing) {
    SCOPED_TRACE(std::to_string(static_cast<int>(call)) + " errno " + std::to_string(error));
    const Cleared cleared;
    Net net;
    Socket dialled;
    EXPECT_EQ(dial(net.front, 1024, 0, dialled), Dial::begun);
    const int client = net.keep(std::move(dialled));
    net.run(20);
    const int port = call == Call::connect ? ntohs(net.hosts_at.sin_port) : 0;
    faults::inject({call, error, 1, 0, kMomentMs, port});
    net.write(client, line_at("h2"));
    comes_up(net, client);
    if (HasFailure()) {
      return;  // each further one would wait in vain as well
    }
    EXPECT_GT(faults::hits(), 0);
  }
}

TEST(ReconnectPolicy, AHostsPassingTroubleDoesNotEndAConnectionFromBefore) {
  for (const std::string trouble :
       {"reset", "end", "BUSY\r\n", "ERR\r\n", "half a line", "refused", "unlisted"}) {
    SCOPED_TRACE(trouble);
    const Cleared cleared;
    Net net;
    if (trouble == "refused") {
      net.hosts.close();
    }
    const int client = net.client(line_at(trouble == "unlisted" ? "h9" : "h2"));
    if (trouble == "refused") {
      net.run(kMomentMs);
      EXPECT_FALSE(listen_at(net.hosts_at, net.hosts));
    } else if (trouble == "unlisted") {
      net.run(kMomentMs);
      net.answers = {
          Net::http(R"({"generation":2,"reset":false,"instances":[{"instanceId":"h9","hostPort":")" +
                    Net::text_of(net.hosts_at) + R"(","zone":"near","lifecycle":"up"}]})")};
    } else {
      const int first = host_with_line(net);
      if (trouble == "reset") {
        net.reset(first);
      } else if (trouble == "end") {
        net.finish(first);
      } else {
        net.write(first, trouble);
      }
      if (trouble == "half a line") {
        net.reset(first);
      }
    }
    comes_up(net, client);
    if (HasFailure()) {
      return;
    }
  }
}

TEST(ReconnectPolicy, AHostThatNeverAnswersTheLineIsAskedAgain) {
  const Cleared cleared;
  Net net;
  const int client = net.client(line_at("h2"));
  const int silent = host_with_line(net);
  EXPECT_TRUE(net.ended(silent)) << "danger: a single attempt would wait for over an hour";
  if (HasFailure()) {
    return;
  }
  comes_up(net, client);
}

TEST(ReconnectPolicy, WhatMayHaveRunIsNotSentAgainAndIsAnsweredAtOnce) {
  const Cleared cleared;
  Net net(1024, true, [](Configuration& to) { to.env["lanes"][0]["semantics"] = "at_most_once"; });
  const int client = net.client(line_at("h2"));
  const int host = host_with_line(net);
  const TimePoint reset_at = net.loop.now();
  net.reset(host);
  EXPECT_EQ(net.read(client), "ERR\r\n");
  EXPECT_LT(net.loop.now() - reset_at, 200 * kMs);
  EXPECT_EQ(further_connections(net, 1000), 0);
}

TEST(ReconnectPolicy, BetweenAttemptsAnEndOfTheClientOrOfTheNodeIsHeeded) {
  const Cleared cleared;
  {
    Net net;
    const int client = net.client(line_at("h2"));
    const int host = host_with_line(net);
    net.reset(host);
    net.reset(client);
    EXPECT_EQ(further_connections(net, 1500), 0) << "nobody waits for it any more";
  }
  {
    Net net;
    net.hosts.close();
    const int client = net.client(line_at("h2"));
    net.run(100);
    net.node->stop();
    const std::string told = net.read(client, 4, 4000);
    EXPECT_TRUE(told == "MOVE\r\n" || told == "ERR\r\n") << told;
    net.finish(client);
    EXPECT_TRUE(net.until([&] { return net.node->done(); }, 4000)) << "nothing is held for good";
  }
}

TEST(ReconnectPolicy, AHostThatNoListNamesIsAnsweredWithinABadClientsTime) {
  const Cleared cleared;
  Net net;
  const int client = net.client(line_at("nobody"));
  EXPECT_EQ(net.read(client, 5, kBadClientMs), "ERR\r\n");
}

TEST(ReconnectPolicy, AHostsBusySaysThatAnUnrepeatableOneHasNeverRun) {
  const Cleared cleared;
  Net net(1024, true, [](Configuration& to) { to.env["lanes"][0]["semantics"] = "at_most_once"; });
  const int client = net.client(line_at("h1"));
  net.write(host_with_line(net), "BUSY\r\n");
  comes_up(net, client);
}

// The module gives up a host's connections while some that stood there before are not up yet.
TEST(ReconnectPolicy, AHostInTroubleGivesUpNothingThatIsNotUpYet) {
  for (const bool up : {false, true}) {
    Fake fleet;
    fleet.silent = {"h1"};
    fleet.start(3);
    Event before;
    before.kind = EventKind::handed_over;
    before.id = "before", before.host = "h1", before.traffic_type = "plain", before.key = 5;
    before.pending = true;
    before.expiry = fleet.now + 400000000;
    fleet.tell(before);
    fleet.tries["before"].push_back("h1");
    if (up) {
      fleet.stand("before");
    }
    fleet.pass(20 * kSecond);
    EXPECT_EQ(fleet.moved.size(), up ? 1u : 0u);
  }
}

TEST(Accepting, APassingFailureTurnsNobodyAway) {
  for (const int error : {ENFILE, EMFILE, ENOBUFS, ENOMEM, ECONNABORTED, EPROTO, ENETDOWN, EINTR, EPERM}) {
    SCOPED_TRACE(error);
    const Cleared cleared;
    Net net;
    // Danger: every second call, so that the one that is made to turn a client away goes well.
    faults::inject({Call::accept4, error, 1, 0, kMomentMs, ntohs(net.front.sin_port), 0, false, 0, 2});
    const int client = net.client("OPEN 7c" + std::to_string(error) + " 2e c=plain,t=x,d=2000\r\n");
    comes_up(net, client);
  }
}

TEST(Accepting, AClientAtTheDoorIsAnsweredThoughAcceptFailsAsTheNodeEnds) {
  const Cleared cleared;
  Net net;
  net.node->stop();
  net.run(900);
  faults::inject({Call::accept4, ENFILE, 1, 0, kMomentMs, ntohs(net.front.sin_port)});
  Socket dialled;
  EXPECT_EQ(dial(net.front, 1024, 0, dialled), Dial::begun);
  pollfd stands{dialled.number(), POLLOUT, 0};
  EXPECT_EQ(poll(&stands, 1, 1000), 1);
  const std::string line = "OPEN 7d1 2e c=plain,t=x,d=2000\r\n";
  dialled.send(line.data(), line.size());
  const int client = net.keep(std::move(dialled));
  EXPECT_FALSE(net.until([&] { return net.node->done(); }, kMomentMs - 50)) << "somebody is at the door";
  const int host = host_with_line(net);
  net.write(host, "BUSY\r\n");
  EXPECT_NE(net.read(client, 4, 3000), "");
}
