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
std::string list(const Net& net, int version, const std::vector<std::string>& hosts,
                 const std::string& lifecycle) {
  nlohmann::json named = nlohmann::json::array();
  for (const std::string& host : hosts) {
    named.push_back({{"instanceId", host},
                     {"hostPort", Net::text_of(net.hosts_at)},
                     {"zone", "near"},
                     {"lifecycle", lifecycle}});
  }
  return Net::http(nlohmann::json({{"generation", version}, {"reset", true}, {"instances", named}}).dump());
}
const std::vector<std::string> kAll = {"h0", "h1", "h2", "h3"};

bool asks(const Net& net) {
  return net.asked.find("\r\n\r\n") != std::string::npos;
}

}  // namespace

TEST(Crossings, AWatchSilentFromItsFirstMomentIsMadeGoodBeforeItCountsAsTold) {
  Net net;
  net.answers = {kBusy};  // danger: one call lost before made the next one wait longer
  EXPECT_TRUE(net.until([&] { return net.answers.empty(); }));
  EXPECT_TRUE(net.until([&] { return net.calls == 2 && asks(net); }));
  const TimePoint silent_from = net.loop.now();
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
  const TimePoint moved = net.loop.now();
  net.answers = {kBusy, kBusy, kBusy, kBusy, list(net, 1, kAll, "draining")};
  EXPECT_TRUE(net.until([&] { return net.answers.empty(); }, kToldAnewMs));
  EXPECT_LT(net.loop.now() - moved, kToldAnewMs * kMs);
}

namespace {

// Takes no connection until it is let: what is dialled meanwhile comes up late, when its SYN is sent again.
struct Held {
  Net& net;
  Socket filler;  // one that waits to be accepted fills a backlog of none
  explicit Held(Net& to) : net(to) {
    listen(net.hosts.number(), 0);
    EXPECT_EQ(dial(net.hosts_at, 1024, 0, filler), Dial::begun);
    pollfd stands{filler.number(), POLLOUT, 0};
    EXPECT_EQ(poll(&stands, 1, 5000), 1);
  }
  void let() {
    listen(net.hosts.number(), 16);
    Socket taken(accept4(net.hosts.number(), nullptr, nullptr, 0));
    EXPECT_TRUE(taken);
  }
};

// A client whose try's connection stands, while the node does not know so yet: the next turn serves both.
struct Standing {
  int client = 0, host = 0;
  explicit Standing(Net& net) {
    // Two places in the loop are given again in the opposite order: the host's comes before the client's.
    for (const int gone : {net.client(""), net.client("")}) {
      net.reset(gone), net.run(20);
    }
    Socket socket;
    EXPECT_EQ(dial(net.front, 1024, 0, socket), Dial::begun);
    client = net.keep(std::move(socket));
    const std::string line = opening();
    Socket taken;
    for (int i = 0; i < 400 && !taken; ++i) {
      if (i == 2) {
        net.socket(client).send(line.data(), line.size());
      }
      net.turn();
      taken = Socket(accept4(net.hosts.number(), nullptr, nullptr, SOCK_NONBLOCK));
    }
    EXPECT_TRUE(taken);
    host = net.keep(std::move(taken));
  }
};

std::string all_of(Net& net, int number) {  // what came until its end
  std::string bytes;
  bool end = false;
  EXPECT_TRUE(net.until([&] { return !net.socket(number).receive(bytes, 65536, end) || end; }));
  return bytes;
}

}  // namespace

TEST(Crossings, AHostAnnouncedAsLeavingWhileItsConnectionComesUpIsSentNothing) {
  for (const char* lifecycle : {"draining", "removed"}) {
    Socket other;
    const sockaddr_in there = Net::listening(other);
    Net net(1024, true, [](Configuration& to) {
      to.env["bounds"]["dialTimeoutMs"] = 10000;
      to.env["bounds"]["maxAttempts"] = 1;  // what never began is no try of it
      to.env["lanes"][0]["semantics"] = "at_most_once";
      to.env["lanes"][0]["hardLimitMs"] = 9000;
    });
    std::string line = opening();
    line.replace(line.find("d=2000"), 6, "d=9000");
    Held held(net);
    const int client = net.client(line);
    nlohmann::json hosts = nlohmann::json::array();
    for (const std::string& host : kAll) {
      hosts.push_back(
          {{"instanceId", host}, {"hostPort", Net::text_of(net.hosts_at)}, {"lifecycle", lifecycle}});
    }
    hosts.push_back(
        {{"instanceId", "h9"}, {"hostPort", Net::text_of(there)}, {"zone", "near"}, {"lifecycle", "up"}});
    net.answers = {
        Net::http(nlohmann::json({{"generation", 2}, {"reset", false}, {"instances", hosts}}).dump())};
    EXPECT_TRUE(net.until([&] { return net.answers.empty(); }));
    net.run(20);
    held.let();
    Socket taken;
    EXPECT_TRUE(net.until([&] {
      if (!taken)
        taken = Socket(accept4(other.number(), nullptr, nullptr, SOCK_NONBLOCK));
      return static_cast<bool>(taken);
    })) << "it is placed anew";
    EXPECT_EQ(all_of(net, net.host_accepts()), "") << lifecycle;
    const int host = net.keep(std::move(taken));
    EXPECT_EQ(net.read(host).substr(0, 5), "OPEN ");
    net.write(host, "UP x\r\n");
    EXPECT_EQ(net.read(client), "UP x\r\n");
  }
}

TEST(Crossings, AClientThatLeavesAsItsTryComesUpIsNotSentOn) {
  for (const bool by_reset : {true, false}) {
    Net net;
    Standing both(net);
    if (by_reset) {
      net.reset(both.client);
    } else {
      net.finish(both.client);
    }
    EXPECT_EQ(all_of(net, both.host), "") << (by_reset ? "RST" : "FIN");
  }
}

// Its line and its end are there before the node's next turn: not even a connection is made for it.
TEST(Crossings, AClientThatEndsWithItsLineCostsNoHostAConnection) {
  Net net;
  Socket client;
  ASSERT_EQ(dial(net.front, 1024, 0, client), Dial::begun);
  net.run(20);
  const std::string line = opening();
  EXPECT_EQ(client.send(line.data(), line.size()), line.size());
  client.finish();
  const int number = net.keep(std::move(client));
  EXPECT_EQ(net.read(number).substr(0, 5), "ERR\r\n") << "it may still listen";
  net.run(100);
  EXPECT_FALSE(Socket(accept4(net.hosts.number(), nullptr, nullptr, SOCK_NONBLOCK)));
  // The next one is served as ever: nothing of the one that left counts as out.
  const int next = net.client(opening());
  net.write(net.host_accepts(), "UP x\r\n");
  EXPECT_EQ(net.read(next), "UP x\r\n");
}

TEST(Crossings, ATryWhoseTimeEndedDuringAPauseIsNotSentOn) {
  Net net;
  Standing both(net);
  timespec pause{2, 100000000};  // longer than its client waits; the process is held up as by a SIGSTOP
  nanosleep(&pause, nullptr);
  EXPECT_EQ(all_of(net, both.host), "");
  EXPECT_EQ(net.read(both.client).substr(0, 4), "BUSY");
}

namespace {

// What a client has when the process is gone: nothing turns any more.
std::string after_the_end(Net& net, int client) {
  EXPECT_TRUE(net.until([&] { return net.node->done(); }, 5000));
  net.node.reset();
  std::string bytes;
  bool end = false;
  while (net.socket(client).receive(bytes, 65536, end).value_or(0) > 0) {
  }
  return bytes;
}

}  // namespace

TEST(Crossings, WhatWaitsLongerThanAStopLastsIsAnsweredBeforeItsEnd) {
  for (const char* effect : {"at_most_once", "idempotent"}) {
    Net net(1024, true, [&](Configuration& to) {
      to.env["lanes"][0]["hardLimitMs"] = 9000;
      to.env["lanes"][0]["semantics"] = effect;
      to.env["bounds"]["maxAttempts"] = 1;
    });
    std::string line = opening();
    line.replace(line.find("d=2000"), 6, "d=9000");
    const int client = net.client(line);
    const int host = net.host_accepts();
    EXPECT_EQ(net.read(host).substr(0, 5), "OPEN ");  // and it never answers
    net.node->stop();
    const std::string last = after_the_end(net, client);
    EXPECT_EQ(last.substr(0, 4), effect == std::string("idempotent") ? "BUSY" : "ERR\r") << effect;
  }
}

TEST(Crossings, ALineThatComesInPiecesAcrossAStopIsAnswered) {
  Net net;
  const std::string line = opening();
  const int client = net.client(line.substr(0, 9));
  net.node->stop();
  net.run(1300);
  EXPECT_FALSE(net.node->done()) << "half a line is one that comes";
  net.write(client, line.substr(9));
  net.write(net.host_accepts(), "UP x\r\n");
  EXPECT_EQ(net.read(client, 12, 2000), "UP x\r\nMOVE\r\n");
}

TEST(Crossings, WhoTheKernelAcceptedAsTheNodeWasAboutToEndIsAnswered) {
  Net net;
  net.node->stop();
  net.run(1100);
  Socket socket;
  EXPECT_EQ(dial(net.front, 1024, 0, socket), Dial::begun);
  const std::string line = opening();
  EXPECT_TRUE(socket.send(line.data(), line.size()));  // loopback: it is written to what the kernel accepted
  EXPECT_FALSE(net.node->done());
  const int client = net.keep(std::move(socket));
  net.write(net.host_accepts(), "UP x\r\n");
  EXPECT_EQ(net.read(client, 12, 2000), "UP x\r\nMOVE\r\n");
  net.finish(client);
  EXPECT_TRUE(net.until([&] { return net.node->done(); }, 2000));
}

TEST(Crossings, AListServiceThatIsBackAfterALongTimeIsAskedWithinTheGrace) {
  Net net(1024, true, [](Configuration& to) { to.env["discovery"] = "pushed"; });
  EXPECT_TRUE(net.until([&] { return asks(net); }));
  const sockaddr_in there = net.discovery_at;
  net.discovery.close();
  net.call.close(), net.asked.clear();
  net.run(4000);  // the waits between calls have grown
  EXPECT_FALSE(listen_at(there, net.discovery));
  const TimePoint back = net.loop.now();
  net.answers = {list(net, 2, kAll, "draining")};
  EXPECT_TRUE(net.until([&] { return net.answers.empty(); }));
  EXPECT_LT(net.loop.now() - back, 1000 * kMs) << "the grace in the settings";
}

TEST(Crossings, AServiceThatCountsAnewIsAskedForTheWholeList) {
  Net net;
  net.answers = {Net::http(R"({"generation":9,"reset":false,"instances":[]})"),
                 Net::http(R"({"generation":3,"reset":false,"instances":[]})")};
  EXPECT_TRUE(net.until([&] { return net.answers.empty(); }));
  EXPECT_TRUE(net.until([&] { return asks(net); }));
  EXPECT_EQ(net.asked.substr(0, 18), "GET /api/targets H") << "what it told before it began anew is unknown";
}

TEST(Crossings, WhatStandsBehindAnAnswerIsNotTheAnswerToTheNextCall) {
  const std::string second = R"({"generation":3,"reset":true,"instances":[]})";
  for (const std::string& behind :
       {Net::http(second),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2c\r\n" + second + "\r\n0\r\n\r\n"}) {
    Net net;
    EXPECT_TRUE(net.until([&] { return asks(net); }));
    net.answers = {list(net, 2, kAll, "up") + behind};
    EXPECT_TRUE(net.until([&] { return net.calls == 2 && asks(net); }, 2000)) << "out of step, dialled anew";
    EXPECT_NE(net.asked.find("after=2&"), std::string::npos) << net.asked;
    const int client = net.client(opening());
    const int host = net.host_accepts();
    net.write(host, "UP x\r\n");
    EXPECT_EQ(net.read(client), "UP x\r\n") << "the second list, of no hosts, was never asked for";
  }
}

TEST(Crossings, WhereOnlyDrainsBindAHostCalledGoneIsStillSentTo) {
  Net net(1024, true, [](Configuration& to) {
    to.env["guarantees"]["drainBindsAlone"] = true;
    to.env["bounds"]["probes"] = true;
  });
  net.answers = {Net::http(R"({"generation":2,"reset":true,"instances":[]})")};
  EXPECT_TRUE(net.until([&] { return net.answers.empty(); }));
  const int client = net.client(opening());
  std::string up;
  EXPECT_TRUE(net.until([&] {  // probes and tries come to one listener
    Socket taken(accept4(net.hosts.number(), nullptr, nullptr, SOCK_NONBLOCK));
    if (taken)
      net.keep(std::move(taken));
    for (Socket& one : net.made) {
      std::string line;
      bool end = false;
      if (!one || one.number() == client)
        continue;
      one.receive(line, 4096, end);
      if (line.starts_with("PING"))
        one.send("PONG\r\n", 6);
      if (line.starts_with("OPEN"))
        one.send("UP x\r\n", 6);
    }
    bool end = false;
    net.socket(client).receive(up, 4096, end);
    return up == "UP x\r\n";
  })) << up;
}

TEST(Crossings, AProbeWhoseConnectionComesUpAfterItsHostDrainsIsNotSent) {
  Net net(1024, true, [](Configuration& to) {
    to.env["bounds"]["probes"] = true;
    to.env["bounds"]["dialTimeoutMs"] = 10000;
  });
  Held held(net);
  net.run(2500);  // all four are due by then, and held
  net.answers = {list(net, 2, kAll, "draining")};
  EXPECT_TRUE(net.until([&] { return net.answers.empty(); }));
  net.run(20);
  held.let();
  std::string sent;
  net.until(
      [&] {
        Socket taken(accept4(net.hosts.number(), nullptr, nullptr, SOCK_NONBLOCK));
        if (taken) {
          net.keep(std::move(taken));
        }
        bool end = false;
        for (Socket& one : net.made) {
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
    Net net;
    const int client = net.client("OPEN 1 2 c=plain,t=x,d=4294967,at=h2\r\n");
    const int host = net.host_accepts();
    EXPECT_EQ(net.read(host).substr(0, 5), "OPEN ");
    if (what == "drain once up") {
      net.write(host, "UP x\r\n");
      EXPECT_EQ(net.read(client), "UP x\r\n");
    }
    if (what == "end") {
      net.reset(client);
    } else if (what == "stop") {
      net.node->stop();
    } else {
      net.answers = {
          Net::http(R"({"generation":2,"reset":false,"instances":[{"instanceId":"h2","hostPort":")" +
                    Net::text_of(net.hosts_at) + R"(","zone":"near","lifecycle":"draining"}]})")};
    }
    if (what != "end") {
      EXPECT_EQ(net.read(client, 6, 9000), "MOVE\r\n");
    }
    EXPECT_TRUE(net.ended(host));
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
        Net net(1024, true, [](Configuration& to) { to.env["lanes"][0]["semantics"] = "at_most_once"; });
        std::string line = opening();
        line.replace(line.find("d=2000"), 6, "d=250");
        const int client = net.client(line);
        const int host = net.host_accepts();
        EXPECT_EQ(net.read(host).substr(0, 5), "OPEN ");
        const auto happens = [&](const std::string& what) {
          if (what == "client FIN") {
            net.finish(client);
          }
          if (what == "client RST") {
            net.reset(client);
          }
          if (what == "UP" || what == "BUSY") {
            net.socket(host).send((what + "\r\n").data(), what.size() + 2);
          }
          if (what == "host RST") {
            net.reset(host);
          }
          if (what == "drains") {
            net.answers = {list(net, 2, kAll, "draining")}, net.turn();  // it goes out with a turn
          }
          if (what == "SIGTERM") {
            net.node->stop();
          }
        };
        happens(a);
        if (turn_between) {
          net.turn();
        }
        happens(b);
        const bool gone = has(a, "client") || has(b, "client");
        std::string got;
        bool end = false;
        int further = 0;
        net.until([&] {
          Socket taken(accept4(net.hosts.number(), nullptr, nullptr, SOCK_NONBLOCK));
          if (taken) {
            ++further, taken.send("BUSY\r\n", 6), net.keep(std::move(taken));
          }
          return a == "client RST" || b == "client RST" || !net.socket(client).receive(got, 4096, end) ||
                 end || got.find('\n') != std::string::npos;
        });
        net.run(30);
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
          EXPECT_TRUE(net.ended(host)) << "its host hears of the end";
        }
      }
    }
  }
  EXPECT_EQ(played, 72);
}
