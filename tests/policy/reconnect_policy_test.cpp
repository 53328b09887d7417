// Connections that were open at a host before this node started (`at=`): the platform allows 40 s to bring
// each up again, so no passing trouble ends one. Accepting: a passing failure turns no client away.
#include <gtest/gtest.h>

#include "support/fixtures.h"
#include "support/system_faults.h"

using namespace dapplewharf;
using faults::SystemCall;

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
int host_with_line(NodeHarness& harness) {
  const int host = harness.accept_endpoint_connection();
  if (::testing::Test::HasFailure()) {
    return host;
  }
  EXPECT_EQ(harness.read(host).substr(0, 5), "OPEN ");
  return host;
}

void comes_up(NodeHarness& harness, int client) {
  const int host = host_with_line(harness);
  if (::testing::Test::HasFailure()) {
    return;
  }
  harness.write(host, "UP x\r\n");
  EXPECT_EQ(harness.read(client), "UP x\r\n");
}

int further_connections(NodeHarness& harness, int ms) {
  int count = 0;
  harness.run_until(
      [&] {
        Socket taken(accept4(harness.endpoint_listener.descriptor(), nullptr, nullptr, SOCK_NONBLOCK));
        if (taken) {
          ++count, harness.keep_socket(std::move(taken));
        }
        return false;
      },
      ms);
  return count;
}

}  // namespace

TEST(ReconnectPolicy, ACallThatFailsForAMomentDoesNotEndAConnectionFromBefore) {
  const std::pair<SystemCall, int> failing[] = {
      {SystemCall::connect, ENETUNREACH},   {SystemCall::connect, ENOBUFS},
      {SystemCall::connect, EADDRNOTAVAIL}, {SystemCall::connect, ENETDOWN},
      {SystemCall::connect, EAGAIN},        {SystemCall::socket, ENFILE},
      {SystemCall::socket, ENOBUFS},        {SystemCall::connect, ECONNREFUSED},
      {SystemCall::connect, EHOSTUNREACH}};
  for (const auto& [call, error] : failing) {
    SCOPED_TRACE(std::to_string(static_cast<int>(call)) + " errno " + std::to_string(error));
    const Cleared cleared;
    NodeHarness harness;
    Socket dialled;
    EXPECT_EQ(start_connecting(harness.node_address, 1024, 0, dialled), ConnectStart::in_progress);
    const int client = harness.keep_socket(std::move(dialled));
    harness.run_for(20);
    const int port = call == SystemCall::connect ? ntohs(harness.endpoint_address.sin_port) : 0;
    faults::inject({call, error, 1, 0, kMomentMs, port});
    harness.write(client, line_at("h2"));
    comes_up(harness, client);
    if (HasFailure()) {
      return;  // each further one would wait in vain as well
    }
    EXPECT_GT(faults::affected_calls(), 0);
  }
}

TEST(ReconnectPolicy, AHostsPassingTroubleDoesNotEndAConnectionFromBefore) {
  for (const std::string trouble :
       {"reset", "end", "BUSY\r\n", "ERR\r\n", "half a line", "refused", "unlisted"}) {
    SCOPED_TRACE(trouble);
    const Cleared cleared;
    NodeHarness harness;
    if (trouble == "refused") {
      harness.endpoint_listener.close();
    }
    const int client = harness.connect_client(line_at(trouble == "unlisted" ? "h9" : "h2"));
    if (trouble == "refused") {
      harness.run_for(kMomentMs);
      EXPECT_FALSE(listen_on(harness.endpoint_address, harness.endpoint_listener));
    } else if (trouble == "unlisted") {
      harness.run_for(kMomentMs);
      harness.discovery_responses = {NodeHarness::http(
          R"({"generation":2,"reset":false,"instances":[{"instanceId":"h9","hostPort":")" +
          NodeHarness::address_text(harness.endpoint_address) + R"(","zone":"near","lifecycle":"up"}]})")};
    } else {
      const int first = host_with_line(harness);
      if (trouble == "reset") {
        harness.reset(first);
      } else if (trouble == "end") {
        harness.shut_down_writing(first);
      } else {
        harness.write(first, trouble);
      }
      if (trouble == "half a line") {
        harness.reset(first);
      }
    }
    comes_up(harness, client);
    if (HasFailure()) {
      return;
    }
  }
}

TEST(ReconnectPolicy, AHostThatNeverAnswersTheLineIsAskedAgain) {
  const Cleared cleared;
  NodeHarness harness;
  const int client = harness.connect_client(line_at("h2"));
  const int silent = host_with_line(harness);
  EXPECT_TRUE(harness.is_closed_by_peer(silent)) << "danger: a single attempt would wait for over an hour";
  if (HasFailure()) {
    return;
  }
  comes_up(harness, client);
}

TEST(ReconnectPolicy, WhatMayHaveRunIsNotSentAgainAndIsAnsweredAtOnce) {
  const Cleared cleared;
  NodeHarness harness(1024, true,
                      [](Configuration& to) { to.settings["lanes"][0]["semantics"] = "at_most_once"; });
  const int client = harness.connect_client(line_at("h2"));
  const int host = host_with_line(harness);
  const TimePoint reset_at = harness.loop.now();
  harness.reset(host);
  EXPECT_EQ(harness.read(client), "ERR\r\n");
  EXPECT_LT(harness.loop.now() - reset_at, 200 * kMs);
  EXPECT_EQ(further_connections(harness, 1000), 0);
}

TEST(ReconnectPolicy, BetweenAttemptsAnEndOfTheClientOrOfTheNodeIsHeeded) {
  const Cleared cleared;
  {
    NodeHarness harness;
    const int client = harness.connect_client(line_at("h2"));
    const int host = host_with_line(harness);
    harness.reset(host);
    harness.reset(client);
    EXPECT_EQ(further_connections(harness, 1500), 0) << "nobody waits for it any more";
  }
  {
    NodeHarness harness;
    harness.endpoint_listener.close();
    const int client = harness.connect_client(line_at("h2"));
    harness.run_for(100);
    harness.node->begin_shutdown();
    const std::string told = harness.read(client, 4, 4000);
    EXPECT_TRUE(told == "MOVE\r\n" || told == "ERR\r\n") << told;
    harness.shut_down_writing(client);
    EXPECT_TRUE(harness.run_until([&] { return harness.node->may_exit(); }, 4000))
        << "nothing is held for good";
  }
}

TEST(ReconnectPolicy, AHostThatNoListNamesIsAnsweredWithinABadClientsTime) {
  const Cleared cleared;
  NodeHarness harness;
  const int client = harness.connect_client(line_at("nobody"));
  EXPECT_EQ(harness.read(client, 5, kBadClientMs), "ERR\r\n");
}

TEST(ReconnectPolicy, AHostsBusySaysThatAnUnrepeatableOneHasNeverRun) {
  const Cleared cleared;
  NodeHarness harness(1024, true,
                      [](Configuration& to) { to.settings["lanes"][0]["semantics"] = "at_most_once"; });
  const int client = harness.connect_client(line_at("h1"));
  harness.write(host_with_line(harness), "BUSY\r\n");
  comes_up(harness, client);
}

// The module gives up a host's connections while some that stood there before are not up yet.
TEST(ReconnectPolicy, AHostInTroubleGivesUpNothingThatIsNotUpYet) {
  for (const bool up : {false, true}) {
    LoadBalancerHarness fleet;
    fleet.silent_endpoints = {"h1"};
    fleet.start(3);
    FlatEvent before;
    before.kind = EventKind::connection_adopted;
    before.request_id = "before", before.endpoint = "h1", before.traffic_type = "plain",
    before.client_key = 5;
    before.is_pending = true;
    before.deadline = fleet.now + 400000000;
    fleet.send_event(before);
    fleet.attempts["before"].push_back("h1");
    if (up) {
      fleet.establish("before");
    }
    fleet.advance_time(20 * kSecond);
    EXPECT_EQ(fleet.migrated.size(), up ? 1u : 0u);
  }
}

TEST(Accepting, APassingFailureTurnsNobodyAway) {
  for (const int error : {ENFILE, EMFILE, ENOBUFS, ENOMEM, ECONNABORTED, EPROTO, ENETDOWN, EINTR, EPERM}) {
    SCOPED_TRACE(error);
    const Cleared cleared;
    NodeHarness harness;
    // Danger: every second call, so that the one that is made to turn a client away goes well.
    faults::inject(
        {SystemCall::accept4, error, 1, 0, kMomentMs, ntohs(harness.node_address.sin_port), 0, false, 0, 2});
    const int client =
        harness.connect_client("OPEN 7c" + std::to_string(error) + " 2e c=plain,t=x,d=2000\r\n");
    comes_up(harness, client);
  }
}

TEST(Accepting, AClientAtTheDoorIsAnsweredThoughAcceptFailsAsTheNodeEnds) {
  const Cleared cleared;
  NodeHarness harness;
  harness.node->begin_shutdown();
  harness.run_for(900);
  faults::inject({SystemCall::accept4, ENFILE, 1, 0, kMomentMs, ntohs(harness.node_address.sin_port)});
  Socket dialled;
  EXPECT_EQ(start_connecting(harness.node_address, 1024, 0, dialled), ConnectStart::in_progress);
  pollfd stands{dialled.descriptor(), POLLOUT, 0};
  EXPECT_EQ(poll(&stands, 1, 1000), 1);
  const std::string line = "OPEN 7d1 2e c=plain,t=x,d=2000\r\n";
  dialled.send(line.data(), line.size());
  const int client = harness.keep_socket(std::move(dialled));
  EXPECT_FALSE(harness.run_until([&] { return harness.node->may_exit(); }, kMomentMs - 50))
      << "somebody is at the door";
  const int host = host_with_line(harness);
  harness.write(host, "BUSY\r\n");
  EXPECT_NE(harness.read(client, 4, 3000), "");
}
