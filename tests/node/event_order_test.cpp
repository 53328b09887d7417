// Rare moments: two events that cross, on loopback sockets, each crossing forced step by step by the story.
// None waits for luck, and none asserts a machine's speed: spans are the protocol page's own.
#include <gtest/gtest.h>

#include "support/fixtures.h"

using namespace dapplewharf;

namespace {

const std::string kBusy = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
constexpr int kToldUnheardMs = 6000, kToldAnewMs = 4000;  // protocol page

std::string opening(const std::string& more = "") {
  static int last = 0;
  return "OPEN 2f" + std::to_string(++last) + " 2e c=plain,t=x,d=2000,g=3d" + more + "\r\n";
}

// What discovery says of hosts: whole lists.
std::string list(const NodeHarness& harness, int version, const std::vector<std::string>& hosts,
                 const std::string& lifecycle) {
  nlohmann::json named = nlohmann::json::array();
  for (const std::string& host : hosts) {
    named.push_back({{"instanceId", host},
                     {"hostPort", NodeHarness::address_text(harness.endpoint_address)},
                     {"zone", "near"},
                     {"lifecycle", lifecycle}});
  }
  return NodeHarness::http(
      nlohmann::json({{"generation", version}, {"reset", true}, {"instances", named}}).dump());
}
const std::vector<std::string> kAll = {"h0", "h1", "h2", "h3"};

bool asks(const NodeHarness& harness) {
  return harness.discovery_request.find("\r\n\r\n") != std::string::npos;
}

}  // namespace

TEST(Crossings, AWatchSilentFromItsFirstMomentIsMadeGoodBeforeItCountsAsTold) {
  NodeHarness harness;
  harness.discovery_responses = {kBusy};  // danger: one call lost before made the next one wait longer
  EXPECT_TRUE(harness.run_until([&] { return harness.discovery_responses.empty(); }));
  EXPECT_TRUE(harness.run_until([&] { return harness.discovery_connections == 2 && asks(harness); }));
  const TimePoint silent_from = harness.loop.now();
  EXPECT_TRUE(
      harness.run_until([&] { return harness.discovery_connections == 3 && asks(harness); }, kToldUnheardMs))
      << "opened anew";
  harness.discovery_responses = {kBusy, NodeHarness::http("garbage"),
                                 list(harness, 2, kAll, "draining")};  // many ask just then
  EXPECT_TRUE(harness.run_until([&] { return harness.discovery_responses.empty(); }, kToldUnheardMs));
  EXPECT_LT(harness.loop.now() - silent_from, kToldUnheardMs * kMs);
  EXPECT_EQ(harness.read(harness.connect_client(opening())).substr(0, 4), "BUSY")
      << "and what it says is followed";
}

TEST(Crossings, ANewPlaceThatTurnsAwayIsAskedAgainBeforeItCountsAsTold) {
  NodeHarness harness;
  EXPECT_TRUE(harness.run_until([&] { return asks(harness); }));
  harness.reload_with_new_discovery();
  const TimePoint moved = harness.loop.now();
  harness.discovery_responses = {kBusy, kBusy, kBusy, kBusy, list(harness, 1, kAll, "draining")};
  EXPECT_TRUE(harness.run_until([&] { return harness.discovery_responses.empty(); }, kToldAnewMs));
  EXPECT_LT(harness.loop.now() - moved, kToldAnewMs * kMs);
}

namespace {

// Takes no connection until it is let: what is dialled meanwhile comes up late, when its SYN is sent again.
struct Held {
  NodeHarness& harness;
  Socket filler;  // one that waits to be accepted fills a backlog of none
  explicit Held(NodeHarness& to) : harness(to) {
    listen(harness.endpoint_listener.descriptor(), 0);
    EXPECT_EQ(start_connecting(harness.endpoint_address, 1024, 0, filler), ConnectStart::in_progress);
    pollfd stands{filler.descriptor(), POLLOUT, 0};
    EXPECT_EQ(poll(&stands, 1, 5000), 1);
  }
  void let() {
    listen(harness.endpoint_listener.descriptor(), 16);
    Socket taken(accept4(harness.endpoint_listener.descriptor(), nullptr, nullptr, 0));
    EXPECT_TRUE(taken);
  }
};

// A client whose try's connection stands, while the node does not know so yet: the next turn serves both.
struct Standing {
  int client = 0, host = 0;
  explicit Standing(NodeHarness& harness) {
    // Two places in the loop are given again in the opposite order: the host's comes before the client's.
    for (const int gone : {harness.connect_client(""), harness.connect_client("")}) {
      harness.reset(gone), harness.run_for(20);
    }
    Socket socket;
    EXPECT_EQ(start_connecting(harness.node_address, 1024, 0, socket), ConnectStart::in_progress);
    client = harness.keep_socket(std::move(socket));
    const std::string line = opening();
    Socket taken;
    for (int i = 0; i < 400 && !taken; ++i) {
      if (i == 2) {
        harness.socket(client).send(line.data(), line.size());
      }
      harness.run_once();
      taken = Socket(accept4(harness.endpoint_listener.descriptor(), nullptr, nullptr, SOCK_NONBLOCK));
    }
    EXPECT_TRUE(taken);
    host = harness.keep_socket(std::move(taken));
  }
};

std::string all_of(NodeHarness& harness, int number) {  // what came until its end
  std::string bytes;
  bool end = false;
  EXPECT_TRUE(harness.run_until([&] { return !harness.socket(number).receive(bytes, 65536, end) || end; }));
  return bytes;
}

}  // namespace

TEST(Crossings, AHostAnnouncedAsLeavingWhileItsConnectionComesUpIsSentNothing) {
  for (const char* lifecycle : {"draining", "removed"}) {
    Socket other;
    const sockaddr_in there = NodeHarness::listen_on_loopback(other);
    NodeHarness harness(1024, true, [](Configuration& to) {
      to.env["bounds"]["dialTimeoutMs"] = 10000;
      to.env["bounds"]["maxAttempts"] = 1;  // what never began is no try of it
      to.env["lanes"][0]["semantics"] = "at_most_once";
      to.env["lanes"][0]["hardLimitMs"] = 9000;
    });
    std::string line = opening();
    line.replace(line.find("d=2000"), 6, "d=9000");
    Held held(harness);
    const int client = harness.connect_client(line);
    nlohmann::json hosts = nlohmann::json::array();
    for (const std::string& host : kAll) {
      hosts.push_back({{"instanceId", host},
                       {"hostPort", NodeHarness::address_text(harness.endpoint_address)},
                       {"lifecycle", lifecycle}});
    }
    hosts.push_back({{"instanceId", "h9"},
                     {"hostPort", NodeHarness::address_text(there)},
                     {"zone", "near"},
                     {"lifecycle", "up"}});
    harness.discovery_responses = {NodeHarness::http(
        nlohmann::json({{"generation", 2}, {"reset", false}, {"instances", hosts}}).dump())};
    EXPECT_TRUE(harness.run_until([&] { return harness.discovery_responses.empty(); }));
    harness.run_for(20);
    held.let();
    Socket taken;
    EXPECT_TRUE(harness.run_until([&] {
      if (!taken)
        taken = Socket(accept4(other.descriptor(), nullptr, nullptr, SOCK_NONBLOCK));
      return static_cast<bool>(taken);
    })) << "it is placed anew";
    EXPECT_EQ(all_of(harness, harness.accept_endpoint_connection()), "") << lifecycle;
    const int host = harness.keep_socket(std::move(taken));
    EXPECT_EQ(harness.read(host).substr(0, 5), "OPEN ");
    harness.write(host, "UP x\r\n");
    EXPECT_EQ(harness.read(client), "UP x\r\n");
  }
}

TEST(Crossings, AClientThatLeavesAsItsTryComesUpIsNotSentOn) {
  for (const bool by_reset : {true, false}) {
    NodeHarness harness;
    Standing both(harness);
    if (by_reset) {
      harness.reset(both.client);
    } else {
      harness.shut_down_writing(both.client);
    }
    EXPECT_EQ(all_of(harness, both.host), "") << (by_reset ? "RST" : "FIN");
  }
}

// Its line and its end are there before the node's next turn: not even a connection is made for it.
TEST(Crossings, AClientThatEndsWithItsLineCostsNoHostAConnection) {
  NodeHarness harness;
  Socket client;
  ASSERT_EQ(start_connecting(harness.node_address, 1024, 0, client), ConnectStart::in_progress);
  harness.run_for(20);
  const std::string line = opening();
  EXPECT_EQ(client.send(line.data(), line.size()), line.size());
  client.shut_down_sending();
  const int number = harness.keep_socket(std::move(client));
  EXPECT_EQ(harness.read(number).substr(0, 5), "ERR\r\n") << "it may still listen";
  harness.run_for(100);
  EXPECT_FALSE(Socket(accept4(harness.endpoint_listener.descriptor(), nullptr, nullptr, SOCK_NONBLOCK)));
  // The next one is served as ever: nothing of the one that left counts as out.
  const int next = harness.connect_client(opening());
  harness.write(harness.accept_endpoint_connection(), "UP x\r\n");
  EXPECT_EQ(harness.read(next), "UP x\r\n");
}

TEST(Crossings, ATryWhoseTimeEndedDuringAPauseIsNotSentOn) {
  NodeHarness harness;
  Standing both(harness);
  timespec pause{2, 100000000};  // longer than its client waits; the process is held up as by a SIGSTOP
  nanosleep(&pause, nullptr);
  EXPECT_EQ(all_of(harness, both.host), "");
  EXPECT_EQ(harness.read(both.client).substr(0, 4), "BUSY");
}

namespace {

// What a client has when the process is gone: nothing turns any more.
std::string after_the_end(NodeHarness& harness, int client) {
  EXPECT_TRUE(harness.run_until([&] { return harness.node->done(); }, 5000));
  harness.node.reset();
  std::string bytes;
  bool end = false;
  while (harness.socket(client).receive(bytes, 65536, end).value_or(0) > 0) {
  }
  return bytes;
}

}  // namespace

TEST(Crossings, WhatWaitsLongerThanAStopLastsIsAnsweredBeforeItsEnd) {
  for (const char* effect : {"at_most_once", "idempotent"}) {
    NodeHarness harness(1024, true, [&](Configuration& to) {
      to.env["lanes"][0]["hardLimitMs"] = 9000;
      to.env["lanes"][0]["semantics"] = effect;
      to.env["bounds"]["maxAttempts"] = 1;
    });
    std::string line = opening();
    line.replace(line.find("d=2000"), 6, "d=9000");
    const int client = harness.connect_client(line);
    const int host = harness.accept_endpoint_connection();
    EXPECT_EQ(harness.read(host).substr(0, 5), "OPEN ");  // and it never answers
    harness.node->stop();
    const std::string last = after_the_end(harness, client);
    EXPECT_EQ(last.substr(0, 4), effect == std::string("idempotent") ? "BUSY" : "ERR\r") << effect;
  }
}

TEST(Crossings, ALineThatComesInPiecesAcrossAStopIsAnswered) {
  NodeHarness harness;
  const std::string line = opening();
  const int client = harness.connect_client(line.substr(0, 9));
  harness.node->stop();
  harness.run_for(1300);
  EXPECT_FALSE(harness.node->done()) << "half a line is one that comes";
  harness.write(client, line.substr(9));
  harness.write(harness.accept_endpoint_connection(), "UP x\r\n");
  EXPECT_EQ(harness.read(client, 12, 2000), "UP x\r\nMOVE\r\n");
}

TEST(Crossings, WhoTheKernelAcceptedAsTheNodeWasAboutToEndIsAnswered) {
  NodeHarness harness;
  harness.node->stop();
  harness.run_for(1100);
  Socket socket;
  EXPECT_EQ(start_connecting(harness.node_address, 1024, 0, socket), ConnectStart::in_progress);
  const std::string line = opening();
  EXPECT_TRUE(socket.send(line.data(), line.size()));  // loopback: it is written to what the kernel accepted
  EXPECT_FALSE(harness.node->done());
  const int client = harness.keep_socket(std::move(socket));
  harness.write(harness.accept_endpoint_connection(), "UP x\r\n");
  EXPECT_EQ(harness.read(client, 12, 2000), "UP x\r\nMOVE\r\n");
  harness.shut_down_writing(client);
  EXPECT_TRUE(harness.run_until([&] { return harness.node->done(); }, 2000));
}

TEST(Crossings, AListServiceThatIsBackAfterALongTimeIsAskedWithinTheGrace) {
  NodeHarness harness(1024, true, [](Configuration& to) { to.env["discovery"] = "pushed"; });
  EXPECT_TRUE(harness.run_until([&] { return asks(harness); }));
  const sockaddr_in there = harness.discovery_address;
  harness.discovery_listener.close();
  harness.discovery_connection.close(), harness.discovery_request.clear();
  harness.run_for(4000);  // the waits between calls have grown
  EXPECT_FALSE(listen_on(there, harness.discovery_listener));
  const TimePoint back = harness.loop.now();
  harness.discovery_responses = {list(harness, 2, kAll, "draining")};
  EXPECT_TRUE(harness.run_until([&] { return harness.discovery_responses.empty(); }));
  EXPECT_LT(harness.loop.now() - back, 1000 * kMs) << "the grace in the settings";
}

TEST(Crossings, AServiceThatCountsAnewIsAskedForTheWholeList) {
  NodeHarness harness;
  harness.discovery_responses = {NodeHarness::http(R"({"generation":9,"reset":false,"instances":[]})"),
                                 NodeHarness::http(R"({"generation":3,"reset":false,"instances":[]})")};
  EXPECT_TRUE(harness.run_until([&] { return harness.discovery_responses.empty(); }));
  EXPECT_TRUE(harness.run_until([&] { return asks(harness); }));
  EXPECT_EQ(harness.discovery_request.substr(0, 18), "GET /api/targets H")
      << "what it told before it began anew is unknown";
}

TEST(Crossings, WhatStandsBehindAnAnswerIsNotTheAnswerToTheNextCall) {
  const std::string second = R"({"generation":3,"reset":true,"instances":[]})";
  for (const std::string& behind :
       {NodeHarness::http(second),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2c\r\n" + second + "\r\n0\r\n\r\n"}) {
    NodeHarness harness;
    EXPECT_TRUE(harness.run_until([&] { return asks(harness); }));
    harness.discovery_responses = {list(harness, 2, kAll, "up") + behind};
    EXPECT_TRUE(harness.run_until([&] { return harness.discovery_connections == 2 && asks(harness); }, 2000))
        << "out of step, dialled anew";
    EXPECT_NE(harness.discovery_request.find("after=2&"), std::string::npos) << harness.discovery_request;
    const int client = harness.connect_client(opening());
    const int host = harness.accept_endpoint_connection();
    harness.write(host, "UP x\r\n");
    EXPECT_EQ(harness.read(client), "UP x\r\n") << "the second list, of no hosts, was never asked for";
  }
}

TEST(Crossings, WhereOnlyDrainsBindAHostCalledGoneIsStillSentTo) {
  NodeHarness harness(1024, true, [](Configuration& to) {
    to.env["guarantees"]["drainBindsAlone"] = true;
    to.env["bounds"]["probes"] = true;
  });
  harness.discovery_responses = {NodeHarness::http(R"({"generation":2,"reset":true,"instances":[]})")};
  EXPECT_TRUE(harness.run_until([&] { return harness.discovery_responses.empty(); }));
  const int client = harness.connect_client(opening());
  std::string up;
  EXPECT_TRUE(harness.run_until([&] {  // probes and tries come to one listener
    Socket taken(accept4(harness.endpoint_listener.descriptor(), nullptr, nullptr, SOCK_NONBLOCK));
    if (taken)
      harness.keep_socket(std::move(taken));
    for (Socket& one : harness.sockets) {
      std::string line;
      bool end = false;
      if (!one || one.descriptor() == client)
        continue;
      one.receive(line, 4096, end);
      if (line.starts_with("PING"))
        one.send("PONG\r\n", 6);
      if (line.starts_with("OPEN"))
        one.send("UP x\r\n", 6);
    }
    bool end = false;
    harness.socket(client).receive(up, 4096, end);
    return up == "UP x\r\n";
  })) << up;
}

TEST(Crossings, AProbeWhoseConnectionComesUpAfterItsHostDrainsIsNotSent) {
  NodeHarness harness(1024, true, [](Configuration& to) {
    to.env["bounds"]["probes"] = true;
    to.env["bounds"]["dialTimeoutMs"] = 10000;
  });
  Held held(harness);
  harness.run_for(2500);  // all four are due by then, and held
  harness.discovery_responses = {list(harness, 2, kAll, "draining")};
  EXPECT_TRUE(harness.run_until([&] { return harness.discovery_responses.empty(); }));
  harness.run_for(20);
  held.let();
  std::string sent;
  harness.run_until(
      [&] {
        Socket taken(accept4(harness.endpoint_listener.descriptor(), nullptr, nullptr, SOCK_NONBLOCK));
        if (taken) {
          harness.keep_socket(std::move(taken));
        }
        bool end = false;
        for (Socket& one : harness.sockets) {
          one.receive(sent, 4096, end);
        }
        return !sent.empty();
      },
      4500);  // the next SYN of one that is still dialled comes within that
  EXPECT_EQ(sent, "");
}

TEST(Crossings, AHandOverThatIsOutIsCrossedByAStopAnEndOrADrain) {
  for (const char* crossing : {"stop", "end", "drain", "drain once up"}) {
    SCOPED_TRACE(crossing);
    const std::string what = crossing;
    NodeHarness harness;
    const int client = harness.connect_client("OPEN 1 2 c=plain,t=x,d=4294967,at=h2\r\n");
    const int host = harness.accept_endpoint_connection();
    EXPECT_EQ(harness.read(host).substr(0, 5), "OPEN ");
    if (what == "drain once up") {
      harness.write(host, "UP x\r\n");
      EXPECT_EQ(harness.read(client), "UP x\r\n");
    }
    if (what == "end") {
      harness.reset(client);
    } else if (what == "stop") {
      harness.node->stop();
    } else {
      harness.discovery_responses = {
          NodeHarness::http(R"({"generation":2,"reset":false,"instances":[{"instanceId":"h2","hostPort":")" +
                            NodeHarness::address_text(harness.endpoint_address) +
                            R"(","zone":"near","lifecycle":"draining"}]})")};
    }
    if (what != "end") {
      EXPECT_EQ(harness.read(client, 6, 9000), "MOVE\r\n");
    }
    EXPECT_TRUE(harness.is_closed_by_peer(host));
  }
}

// Event A by event B, in both orders, in one turn and with a turn between, while an unrepeatable try is out.
// Cells that cannot happen: a host says nothing after its reset, a client's two ends are one, a host turns
// away once.
TEST(Crossings, EachEventByEachOtherInBothOrders) {
  const std::vector<std::string> events = {"client FIN", "client RST", "UP",     "BUSY",
                                           "host RST",   "drains",     "SIGTERM"};
  const auto has = [](const std::string& word, const char* part) {
    return word.find(part) != std::string::npos;
  };
  int played = 0;
  for (const std::string& a : events) {
    for (const std::string& b : events) {
      for (const bool turn_between : {false, true}) {
        const bool two_ends = has(a, "client") && has(b, "client");
        const bool after_reset = a == "host RST" && (b == "UP" || b == "BUSY");
        const bool two_answers = (a == "UP" || a == "BUSY") && (b == "UP" || b == "BUSY");
        if (a == b || two_ends || after_reset || two_answers) {
          continue;
        }
        SCOPED_TRACE(a + (turn_between ? ", a turn, " : ", ") + b);
        ++played;
        NodeHarness harness(1024, true,
                            [](Configuration& to) { to.env["lanes"][0]["semantics"] = "at_most_once"; });
        std::string line = opening();
        line.replace(line.find("d=2000"), 6, "d=250");
        const int client = harness.connect_client(line);
        const int host = harness.accept_endpoint_connection();
        EXPECT_EQ(harness.read(host).substr(0, 5), "OPEN ");
        const auto happens = [&](const std::string& what) {
          if (what == "client FIN") {
            harness.shut_down_writing(client);
          }
          if (what == "client RST") {
            harness.reset(client);
          }
          if (what == "UP" || what == "BUSY") {
            harness.socket(host).send((what + "\r\n").data(), what.size() + 2);
          }
          if (what == "host RST") {
            harness.reset(host);
          }
          if (what == "drains") {
            harness.discovery_responses = {list(harness, 2, kAll, "draining")},
            harness.run_once();  // it goes out with a turn
          }
          if (what == "SIGTERM") {
            harness.node->stop();
          }
        };
        happens(a);
        if (turn_between) {
          harness.run_once();
        }
        happens(b);
        const bool gone = has(a, "client") || has(b, "client");
        std::string got;
        bool end = false;
        int further = 0;
        harness.run_until([&] {
          Socket taken(accept4(harness.endpoint_listener.descriptor(), nullptr, nullptr, SOCK_NONBLOCK));
          if (taken) {
            ++further, taken.send("BUSY\r\n", 6), harness.keep_socket(std::move(taken));
          }
          return a == "client RST" || b == "client RST" || !harness.socket(client).receive(got, 4096, end) ||
                 end || got.find('\n') != std::string::npos;
        });
        harness.run_for(30);
        const bool up = a == "UP" || b == "UP";
        const bool busy = a == "BUSY" || b == "BUSY";
        if (!busy) {
          EXPECT_EQ(further, 0) << "what may have run is tried once";
        }
        if (!gone && up) {
          EXPECT_EQ(got.substr(0, 4), "UP\r\n");
        }
        if (!gone && busy) {
          EXPECT_EQ(got.substr(0, 4), "BUSY");
        }
        if (!gone && !up && !busy) {
          EXPECT_EQ(got, "ERR\r\n") << "it may have run";
        }
        EXPECT_LE(std::count(got.begin(), got.end(), '\n'), up ? 2 : 1) << got;  // UP, and MOVE behind it
        if (gone && a != "host RST" && b != "host RST") {
          EXPECT_TRUE(harness.is_closed_by_peer(host)) << "its host hears of the end";
        }
      }
    }
  }
  EXPECT_EQ(played, 72);
}
