// Short stories of the node: parsing, errors as values, and whole days of one client on loopback sockets.
#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>

#include "support/fixtures.h"
#include "wire/http.h"
#include "wire/lines.h"

using namespace dapplewharf;

const RequestSchema kGrammar{{{"chat", 20000}}, {"acme"}};

TEST(Lines, AFirstLineGivesWhatDecisionsNeedAndOnlyDChanges) {
  const std::string line =
      "OPEN 9b1f03aa5c7e2d41 00000000000000ff c=chat,t=acme,d=2000,g=5c0f6e1a2b3d4c59,again=1,h=3.5\r\n";
  const Opened opened = opening_of(line, kGrammar);
  ASSERT_TRUE(opened.opening) << opened.fault;
  EXPECT_EQ(opened.opening->traffic_type, "chat");
  EXPECT_EQ(opened.opening->id, "9b1f03aa5c7e2d41");
  EXPECT_EQ(opened.opening->key, 255);
  EXPECT_EQ(opened.opening->wait, 20000);
  EXPECT_TRUE(opened.opening->returned);
  std::string changed = line;
  EXPECT_EQ(with_wait(*opened.opening, 1234), changed.replace(line.find("2000"), 4, "123"));
  EXPECT_TRUE(opening_of("OPEN 1 2 c=chat,t=acme,d=4294967,at=s-1\r\n", kGrammar).opening);
}

TEST(Lines, AFirstLineOfWhichAnyPartIsWrongIsRefusedAndNamed) {
  for (const char* bad : {"",
                          "HELLO",
                          "OPEN",
                          "OPEN a",
                          "OPEN a b",
                          "OPEN a b c=chat,t=acme",
                          "OPEN a b t=acme,d=1",
                          "OPEN a b c=chat,t=acme,d=soon",
                          "OPEN a b c=chat,t=acme,d=-1",
                          "OPEN a b c=chat,t=acme,d=",
                          "OPEN a b c=chat,t=acme,d=1e3",
                          "OPEN a b c=chat,t=acme,d=inf",
                          "OPEN a b c=chat,t=acme,d=0",
                          "OPEN a b c=chat,t=acme,d=2001",
                          "OPEN a b c=chat,t=acme,d=999999999",
                          "OPEN a b c=chats,t=acme,d=9",
                          "OPEN a b c=chat,t=other,d=9",
                          "OPEN a b c=chat,d=9",
                          "OPEN a b ,,,==",
                          "OPEN a b c=chat,t=acme,d=9,",
                          "OPEN a c=chat,t=acme,d=9",
                          "OPEN  a b c=chat,t=acme,d=9",
                          "OPEN a b c=chat,t=acme,d=9 more",
                          "OPEN a b c=chat,t=acme,d=9,d=8",
                          "OPEN a b c=chat,t=acme,d=9,g=xyz",
                          "OPEN a b c=chat,t=acme,d=9,h",
                          "OPEN a b c=chat,t=acme,d=9,again=yes",
                          "OPEN a\x01 b c=chat,t=acme,d=9",
                          "open a b c=chat,t=acme,d=9"}) {
    EXPECT_FALSE(opening_of(std::string(bad) + "\r\n", kGrammar).fault.empty()) << bad;
  }
  EXPECT_FALSE(opening_of("OPEN a b c=chat,t=acme,d=9\n", kGrammar).fault.empty()) << "a line ends with CRLF";
  EXPECT_TRUE(opening_of("OPEN a b c=chat,t=acme,d=9\r\n", kGrammar).fault.empty());
}

TEST(Http, AnAnswerMayComeByteByByteWholeChunkedOrCutOff) {
  const std::string sized = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabcd";
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: "
      "close\r\n\r\n2\r\nab\r\n2;x\r\ncd\r\n0\r\n\r\n";
  for (const std::string& whole : {sized, chunked}) {
    for (std::size_t n = 0; n < whole.size(); ++n) {
      EXPECT_EQ(answer_of(whole.substr(0, n), false, 4096).state, Answer::State::more) << n;
      EXPECT_EQ(answer_of(whole.substr(0, n), true, 4096).state, Answer::State::bad) << n;
    }
    EXPECT_EQ(answer_of(whole, false, 4096).body, "abcd");
  }
  EXPECT_TRUE(answer_of(chunked, false, 4096).closes);
  for (const char* bad : {"no http\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
                          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"}) {
    EXPECT_EQ(answer_of(bad, false, 4096).state, Answer::State::bad) << bad;
  }
  for (const std::string& whole : {sized, chunked}) {
    EXPECT_EQ(answer_of(whole, true, 3).state, Answer::State::bad) << "one byte over the largest body";
  }
  EXPECT_EQ(answer_of("HTTP/1.0 200 OK\r\n\r\nabcd", true, 3).state, Answer::State::bad);
}

namespace {

// A list of hosts as it may come at worst: indented, with long names.
std::string long_list(int hosts, int version, const std::string& lifecycle, const std::string& at) {
  nlohmann::json named = nlohmann::json::array();
  for (int i = 0; i < hosts; ++i) {
    named.push_back({{"instanceId", "h" + std::to_string(i) + std::string(200, 'x')},
                     {"hostPort", at},
                     {"zone", "near"},
                     {"machineType", std::string(64, 'k')},
                     {"cell", i},
                     {"weight", 1.0},
                     {"startedAtMs", 0},
                     {"lifecycle", lifecycle}});
  }
  return nlohmann::json({{"generation", version}, {"reset", true}, {"instances", named}}).dump(8);
}

}  // namespace

// Danger: a list that is refused whole leaves the node with the hosts of before for good.
TEST(Lists, AThousandHostsIndentedWithLongNamesAndInPiecesAreFollowed) {
  for (const bool chunked : {false, true}) {
    Net net(1024, true, [](Configuration& to) {
      to.memory_mb = 32;
      to.known = nlohmann::json::parse(long_list(1024, 1, "up", to.discovery));
    });
    const std::string body = long_list(1024, 2, "draining", Net::text_of(net.hosts_at));
    EXPECT_GT(body.size(), 512u * 1024) << "more than was once read";
    std::string answer = Net::http(body);
    if (chunked) {
      answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
      char size[16];
      for (std::size_t i = 0; i < body.size(); i += 700) {
        const std::string piece = body.substr(i, 700);
        snprintf(size, sizeof size, "%zx\r\n", piece.size());
        answer += size + piece + "\r\n";
      }
      answer += "0\r\n\r\n";
    }
    ASSERT_TRUE(net.until([&] { return net.asked.find("\r\n\r\n") != std::string::npos; }));
    net.asked.clear();
    const Tenths by = net.loop.now() + 20 * kSecond;
    for (std::size_t i = 0; i < answer.size(); i += 1400) {
      ASSERT_LT(net.loop.now(), by) << "it was refused on the way";
      std::size_t sent = 0;
      const std::string piece = answer.substr(i, 1400);
      ASSERT_TRUE(net.until([&] {
        sent += net.call.send(piece.data() + sent, piece.size() - sent).value_or(0);
        return sent == piece.size();
      }));
      net.loop.turn(0);
    }
    EXPECT_TRUE(net.until([&] { return net.asked.find("after=2&") != std::string::npos; })) << chunked;
    EXPECT_EQ(net.read(net.client("OPEN 6a" + std::to_string(chunked) + " 6b c=plain,t=x,d=2000,g=6c\r\n"))
                  .substr(0, 4),
              "BUSY")
        << "all 1,024 drain";
  }
}

TEST(Errors, WhatProvesThatATryNeverRan) {
  for (const AttemptProgress reach : {AttemptProgress::not_connected, AttemptProgress::partly_written}) {
    for (const TerminationReason cause :
         {TerminationReason::connection_broken, TerminationReason::closed, TerminationReason::timed_out}) {
      EXPECT_EQ(outcome_of({reach, cause}), Outcome::connect_failed);
    }
  }
  EXPECT_EQ(outcome_of({AttemptProgress::written, TerminationReason::connection_broken}),
            Outcome::connection_lost);
  EXPECT_EQ(outcome_of({AttemptProgress::written, TerminationReason::timed_out}), Outcome::timed_out);
  EXPECT_EQ(outcome_of({AttemptProgress::written, TerminationReason::busy}), Outcome::rejected);
  EXPECT_EQ(outcome_of({AttemptProgress::not_connected, TerminationReason::no_descriptor}),
            Outcome::not_sent);
}

TEST(SlotMap, ALateTicketNeverHitsASlotGivenToAnother) {
  SlotMap<int> table;
  const Handle first = table.add(1);
  table.drop(first);
  const Handle second = table.add(2);
  EXPECT_EQ(first.slot, second.slot);
  EXPECT_EQ(table.find(first), nullptr);
  table.drop(first);
  EXPECT_EQ(*table.find(second), 2);
}

TEST(Incarnations, AStepOfTheMachinesClockIsNoRestart) {
  Incarnations starts;
  const Tenths first = starts.place("h", 1000, 50000, 20000);
  EXPECT_EQ(first, 40000);
  EXPECT_EQ(starts.place("h", 1000, 60000, 90000), first);
  EXPECT_GT(starts.place("h", 2000, 60000, 30000), first);
  EXPECT_EQ(starts.place("h", 0, 60000, 30000), 0);
}

TEST(LatencyEstimator, AHostWhoseProbesWaitIsToldOnceASecondAndOnceMoreWhenOver) {
  LatencyEstimator meter;
  Tenths now = 100000;
  for (int i = 0; i < 5; ++i) {
    meter.record_health_check(now, 30);
  }
  EXPECT_FALSE(meter.report(now, 500, {}));
  meter.record_health_check(now, 630);
  EXPECT_GE(meter.report(now, 500, {}), 600);
  EXPECT_FALSE(meter.report(now + 5000, 500, {}));
  EXPECT_TRUE(meter.report(now + 10000, 500, {}));
  meter.record_health_check(now + 11000, 35);
  EXPECT_LT(meter.report(now + 11000, 500, {}), 100);
  EXPECT_FALSE(meter.report(now + 22000, 500, {}));
}

TEST(LatencyEstimator, AHostThatWasNeverSeenAtRestIsJudgedByTheOthers) {
  const double work = baseline_service_time({2.5 * 178, 2.5 * 34, 4 * 20, 6 * 1});
  EXPECT_EQ(work, 80) << "neither the slow one nor the one that answers at once";
  EXPECT_EQ(baseline_service_time({}), 0);
  LatencyEstimator alone;
  LatencyEstimator among;
  for (LatencyEstimator* meter : {&alone, &among}) {
    meter->record_health_check(99000, 178);
  }
  EXPECT_FALSE(among.report(99000, 500, {}, 64)) << "one probe alone says nothing";
  for (LatencyEstimator* meter : {&alone, &among}) {
    meter->record_health_check(100000, 178);
  }
  EXPECT_FALSE(alone.report(100000, 500, {}));
  EXPECT_GT(among.report(100000, 500, {}, static_cast<Tenths>(2 * work / 2.5)), 250);
}

TEST(LatencyEstimator, LinesWithoutAnswerCountWithTheirAge) {
  LatencyEstimator meter;
  EXPECT_EQ(meter.report(100000, 500, {0, 20000, 21000}), 21000);
}

namespace {

std::string opening(const std::string& more = "") {  // a client's own, with an id that is new
  static int last = 0;
  return "OPEN 1f" + std::to_string(++last) + " 2e c=plain,t=x,d=2000,g=3d" + more + "\r\n";
}

}  // namespace

TEST(Node, AConnectionIsServedAndItsBytesPassUnchanged) {
  Net net;
  const int client = net.client("PING\r\n" + opening());
  const int host = net.host_accepts();
  EXPECT_NE(net.read(host).find(" 2e c=plain,t=x,d="), std::string::npos);
  net.write(host, "UP abc\r\nfirst\r\n");
  EXPECT_EQ(net.read(client), "PONG\r\nUP abc\r\nfirst\r\n");
  const std::string large(70000, 'x');
  net.write(client, "a line\r\nand a ha");
  EXPECT_EQ(net.read(host), "a line\r\nand a ha");
  net.write(host, large);
  EXPECT_EQ(net.read(client, large.size()), large);
  net.finish(client);
  EXPECT_TRUE(net.ended(host));
  net.write(host, "BYE\r\n");
  EXPECT_EQ(net.read(client), "BYE\r\n");
  net.finish(host);
  EXPECT_TRUE(net.ended(client));
}

TEST(Node, ATurnedAwayTryGoesOnAndTheLastIsAnsweredBusyAtOnce) {
  Net net;
  const int client = net.client(opening());
  for (int i = 0; i < 4; ++i) {
    const int host = net.host_accepts();
    net.read(host);
    net.write(host, "BUSY\r\n");
  }
  EXPECT_EQ(net.read(client).substr(0, 5), "BUSY ");
  EXPECT_TRUE(net.ended(client));
}

TEST(Node, NonsenseFromAHostCostsOnlyItsTry) {
  Net net;
  const int client = net.client(opening());
  for (const std::string& nonsense :
       {std::string("HTTP/1.1 400 Bad\r\n"), std::string(9000, 'x'), std::string("UP no e")}) {
    const int host = net.host_accepts();
    net.read(host);
    net.write(host, nonsense);
    net.finish(host);
  }
  net.write(net.host_accepts(), "UP fine\r\n");
  EXPECT_EQ(net.read(client), "UP fine\r\n");
}

TEST(Node, BadInputFromAClientCostsItsConnectionOnly) {
  Net net;
  const int malformed = net.client("GET / HTTP/1.1\r\n");
  const int endless = net.client(std::string(6000, 'x'));
  const int fine = net.client(opening());
  EXPECT_EQ(net.read(malformed), "ERR\r\n");
  EXPECT_TRUE(net.ended(malformed));
  EXPECT_EQ(net.read(endless), "ERR\r\n");
  net.write(net.host_accepts(), "UP fine\r\n");
  EXPECT_EQ(net.read(fine), "UP fine\r\n");
}

TEST(Node, AResetIsPassedOnAsOne) {
  Net net;
  const int client = net.client(opening());
  const int host = net.host_accepts();
  net.write(host, "UP x\r\n");
  net.read(client);
  net.reset(host);
  EXPECT_TRUE(net.was_reset(client));
}

TEST(Node, AClientThatLeavesWhileItWaitsEndsItsTry) {
  Net net;
  const int client = net.client(opening());
  const int host = net.host_accepts();
  net.read(host);
  net.reset(client);
  EXPECT_TRUE(net.ended(host));
}

TEST(Node, AtSigtermStandingClientsAreMovedBetweenLinesAndTheNodeEnds) {
  Net net;
  const int client = net.client(opening());
  const int host = net.host_accepts();
  net.write(host, "UP x\r\nwhole\r\nhal");
  EXPECT_EQ(net.read(client), "UP x\r\nwhole\r\n");
  net.node->stop();
  const int late = net.client(opening());
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

TEST(Node, AConnectionWhoseLinesStayUnansweredIsMoved) {
  Net net;
  const int client = net.client(opening());
  net.write(net.host_accepts(), "UP x\r\n");
  net.read(client);
  net.write(client, "hello\r\n");
  EXPECT_EQ(net.read(client, 6, 5000), "MOVE\r\n");
}

TEST(Node, DiscoveryThatFailsIsAskedAgainAndItsWordsAreFollowed) {
  Net net;
  net.answers = {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", Net::http("garbage"),
                 Net::http(R"({"generation":2,"reset":true,"instances":[]})")};
  EXPECT_TRUE(net.until([&] { return net.answers.empty(); }, 5000));
  const int client = net.client(opening());
  EXPECT_EQ(net.read(client).substr(0, 4), "BUSY");
}

TEST(Node, WithoutAListFromBeforeItAsksForTheWholeOne) {
  Net net(1024, false);
  EXPECT_TRUE(net.until([&] { return net.asked.find("\r\n\r\n") != std::string::npos; }, 1000));
  EXPECT_EQ(net.asked.substr(0, 18), "GET /api/targets H") << "changes since nothing may leave hosts out";
  net.answers = {Net::http(R"({"generation":9,"reset":true,"instances":[{"instanceId":"h0","hostPort":")" +
                           Net::text_of(net.hosts_at) + R"(","zone":"near","lifecycle":"up"}]})")};
  EXPECT_TRUE(net.until([&] { return net.answers.empty(); }));
  EXPECT_TRUE(net.until([&] { return net.asked.find("after=9") != std::string::npos; }, 1000))
      << "then it watches";
  const int client = net.client(opening());
  const int host = net.host_accepts();
  net.write(host, "UP x\r\n");
  EXPECT_EQ(net.read(client), "UP x\r\n");
}

TEST(Node, OutOfDescriptorsEveryClientStillGetsAnAnswer) {
  Net net(64);
  std::vector<int> clients;
  for (int i = 0; i < 60; ++i) {
    clients.push_back(net.client(opening()));
  }
  for (const int client : clients) {
    EXPECT_EQ(net.read(client, 4, 3000).substr(0, 4), "BUSY");
  }
  for (const int client : clients) {
    net.reset(client);
  }
  EXPECT_EQ(net.read(net.client("PING\r\n")), "PONG\r\n");
}

// Operators' term: idle clients may fill the descriptors while discovery is down.
TEST(Descriptors, TheLastOnesAreDiscoverysAndNoProbeTakesThem) {
  EventLoop loop;
  Counters counters;
  const Limits limits{96, kSecond};
  Socket listener;
  const std::string at = Net::text_of(Net::listening(listener));
  std::vector<Socket> idle;
  while (!Socket::short_of(limits.descriptors, kProbesLeave)) {
    idle.emplace_back(::socket(AF_INET, SOCK_STREAM, 0));
  }
  std::optional<TerminationReason> probed;
  HealthChecker probes(loop, counters, limits, [&](const std::string&, const HealthChecker::Probed& end) {
    probed = end.end.reason;
  });
  probes.probe("h0", at);
  EXPECT_EQ(probed, TerminationReason::no_descriptor);
  bool lost = false;
  EndpointDiscovery discovery(loop, counters, at, limits, 1,
                              {.listed = [](const EndpointSnapshot&) {}, .lost = [&] { lost = true; }});
  discovery.fetch();
  for (int i = 0; i < 5; ++i) {
    loop.turn(100);
  }
  EXPECT_FALSE(lost);
  EXPECT_TRUE(Socket(accept4(listener.number(), nullptr, nullptr, SOCK_NONBLOCK)))
      << "its connection has come";
}

TEST(Node, ASlowReaderHoldsUpItsOwnConnectionOnlyAndLittleOfIt) {
  Net net;
  const int slow = net.client(opening());
  const int host = net.host_accepts();
  net.write(host, "UP x\r\n");
  EXPECT_EQ(net.read(slow), "UP x\r\n");
  std::string line(1000, 'x');
  line.replace(998, 2, "\r\n");
  std::size_t taken = 0;
  const auto gives = [&] {  // false when nothing more is taken: the kernel's buffers and the node's are full
    const std::size_t at = taken % line.size();
    const std::size_t got = net.socket(host).send(line.data() + at, line.size() - at).value_or(0);
    taken += got;
    return got > 0;
  };
  for (int i = 0; i < 20000 && (gives() || (net.run(50), gives())); ++i) {
    net.run(0);
  }
  EXPECT_LT(taken, 19000u * 1000u);
  const int other = net.client(opening());
  net.write(net.host_accepts(), "UP y\r\n");
  EXPECT_EQ(net.read(other), "UP y\r\n");
  std::string all;
  bool ended = false;
  net.until([&] { return net.socket(slow).receive(all, 65536, ended), all.size() >= taken / 1000 * 1000; },
            5000);
  EXPECT_EQ(all.size(), taken / 1000 * 1000) << "whole lines, and all of them";
}

TEST(Node, ALineLongerThanTheProtocolsPassesAndMoveStandsAfterIt) {
  Net net;
  const int client = net.client(opening());
  const int host = net.host_accepts();
  net.write(host, "UP x\r\n" + std::string(9000, 'x'));
  EXPECT_EQ(net.read(client, 9006).size(), 9006u);
  net.node->stop();
  net.run(1200);
  net.write(host, "end\r\nnext");
  EXPECT_EQ(net.read(client, 11, 1500), "end\r\nMOVE\r\n");
}

TEST(Node, AKeptConnectionThatDiscoveryClosedCostsNoLoss) {
  Net net;
  const std::string none = R"({"generation":2,"reset":false,"instances":[]})";
  net.answers = {Net::http(none)};
  EXPECT_TRUE(net.until([&] { return net.answers.empty(); }));
  net.run(20);
  net.call.close();  // the next call is out already, or is to be made anew
  net.asked.clear();
  net.answers = {Net::http(R"({"generation":3,"reset":true,"instances":[]})")};
  EXPECT_TRUE(net.until([&] { return net.answers.empty(); }, 450)) << "a watch goes on within 200 ms";
}

TEST(Node, AClientThatComesLateToANodeThatStopsIsAnsweredBeforeItsEnd) {
  Net net;
  net.node->stop();
  net.run(800);
  const int late = net.client(opening());  // no host ever says a word
  EXPECT_EQ(net.read(late, 4, 1900).substr(0, 4), "BUSY");
  net.finish(late);
  EXPECT_TRUE(net.until([&] { return net.node->done(); }, 300));
}

TEST(Node, AConnectionFromBeforeGoesToItsHostOrIsAnswered) {
  Net net;
  const int known = net.client("OPEN 1 2 c=plain,t=x,d=4294967,at=h2\r\n");
  const int host = net.host_accepts();
  EXPECT_EQ(net.read(host).substr(0, 11), "OPEN 1 2 c=");
  net.write(host, "UP x\r\n");
  EXPECT_EQ(net.read(known), "UP x\r\n");
  EXPECT_EQ(net.read(net.client("OPEN 3 2 c=plain,t=x,d=4294967,at=nobody\r\n")), "ERR\r\n");
}

TEST(Node, DiscoveryThatHangsIsGivenUpBeforeTheNodeCountsAsTold) {
  Net net;
  net.answers = {"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf a body"};
  EXPECT_TRUE(net.until([&] { return net.calls == 1; }));
  EXPECT_TRUE(net.until([&] { return net.calls == 2; }, 9000))
      << "two seconds after the wait of five, and a retry";
}

TEST(Reload, TheListComesWholeFromTheNewPlaceAndWhatItNoLongerNamesIsGone) {
  Net net;
  const std::string h0 = R"([{"instanceId":"h0","hostPort":")" + Net::text_of(net.hosts_at) +
                         R"(","zone":"near","lifecycle":"up"}])";
  net.answers = {Net::http(R"({"generation":7,"reset":false,"instances":[]})")};
  EXPECT_TRUE(net.until([&] { return net.answers.empty(); }));
  const int client = net.client(opening());
  const int host = net.host_accepts();
  net.read(host);
  net.write(host, "UP x\r\n");
  net.read(client);
  net.run(50);  // the watch is out at the old place, and has not been answered
  for (int i = 0; i < 3; ++i) {
    net.moves_discovery();
  }
  EXPECT_TRUE(net.until([&] { return net.asked.find("\r\n\r\n") != std::string::npos; }, 300))
      << "asked at once, not when the old call ends";
  EXPECT_EQ(net.asked.substr(0, 18), "GET /api/targets H") << "versions there may be counted anew";
  net.answers = {Net::http(R"({"generation":2,"reset":true,"instances":)" + h0 + "}")};
  EXPECT_TRUE(net.until([&] { return net.answers.empty(); }));
  EXPECT_TRUE(net.until([&] { return net.asked.find("after=2&") != std::string::npos; }, 150)) << net.asked;
  net.write(client, "still here\r\n");
  EXPECT_EQ(net.read(host), "still here\r\n");
}

TEST(Reload, APlaceThatDoesNotAnswerYetIsAskedAgainForTheWholeList) {
  Net net;
  net.run(50);
  net.moves_discovery();
  const sockaddr_in there = net.discovery_at;
  net.discovery.close();
  net.run(400);
  EXPECT_FALSE(listen_at(there, net.discovery));
  EXPECT_TRUE(net.until([&] { return net.asked.find("\r\n\r\n") != std::string::npos; }, 3000));
  EXPECT_EQ(net.asked.substr(0, 18), "GET /api/targets H");
}

TEST(Reload, AFileThatIsWrongIsRefusedWholeAndNamed) {
  const char* path = "reload-story.json";
  const std::string sound =
      R"({"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"a1","settings":)" +
      Net().told.env.dump() + "}";
  const auto reads = [&](const std::string& text) {
    std::ofstream(path) << text;
    return read_configuration(path, Source::file_only);
  };
  EXPECT_EQ(reads(sound).fault, "");
  std::string other = sound;
  EXPECT_NE(reads(other.replace(other.find("127.0.0.1:2"), 11, "127.0.0.1:x")).fault.find("discovery"),
            std::string::npos);
  std::string flag = sound;
  flag.insert(flag.find("\"coldFrom\""), "\n\"drainBindsAlone\":1,");
  EXPECT_EQ(reads(flag).fault, std::string(path) + ":2:1: 'drainBindsAlone' is 1; expected true or false");
  for (const auto& [from, to, named] :
       {std::tuple("\"hardLimitMs\":2000", "\"hardLimitMs\":\"2000\"", "hardLimitMs"),
        std::tuple("\"maxAttempts\":4", "\"maxAttempts\":[4]", "maxAttempts"),
        std::tuple("\"semantics\":\"idempotent\"", "\"semantics\":true", "semantics"),
        std::tuple("\"zone\":\"near\"", "\"zone\":7", "zone")}) {
    std::string odd = sound;
    ASSERT_NE(odd.find(from), std::string::npos) << from;
    EXPECT_NE(reads(odd.replace(odd.find(from), std::string(from).size(), to)).fault.find(named),
              std::string::npos);
  }
  for (const std::string& bad : {std::string(), std::string("[]"), sound.substr(0, sound.size() / 2),
                                 std::string(R"({"name":"n0"})"), std::string(R"({"name":7,"listen":[]})")}) {
    EXPECT_FALSE(reads(bad).fault.empty()) << bad;
  }
  std::remove(path);
  EXPECT_FALSE(read_configuration(path, Source::file_only).fault.empty());
  setenv("PROXY_DISCOVERY", "127.0.0.1:3", 1);
  EXPECT_EQ(reads(sound).taken->discovery, "127.0.0.1:2") << "what the start was told is stale";
  EXPECT_EQ(read_configuration(path, Source::environment_first).taken->discovery, "127.0.0.1:3");
  unsetenv("PROXY_DISCOVERY");
  std::remove(path);
}

TEST(BadClients, TheIdOfAnOpenOrLateConnectionReachesNoHost) {
  Net net;
  const std::string first = opening();
  const int client = net.client(first);
  const int host = net.host_accepts();
  EXPECT_EQ(net.read(net.client(first)), "ERR\r\n") << "while it waits";
  net.write(host, "UP x\r\n");
  EXPECT_EQ(net.read(client), "UP x\r\n");
  EXPECT_EQ(net.read(net.client(first)), "ERR\r\n") << "while it stands";
  net.reset(client);
  EXPECT_TRUE(net.ended(host));
  EXPECT_EQ(net.read(net.client(first)), "ERR\r\n") << "an id is new with every connection";
}

TEST(BadClients, CommandsPouredInBehindTheFirstOneEndItAndItsTry) {
  Net net;
  EXPECT_EQ(net.read(net.client(opening() + opening())), "ERR\r\n");
  const int client = net.client(opening());
  const int host = net.host_accepts();
  net.read(host);
  net.write(client, "BOOK 1\r\n");
  EXPECT_EQ(net.read(client), "ERR\r\n");
  EXPECT_TRUE(net.ended(host));
}

TEST(BadClients, HalfALineAndASilentOneAreEndedWithinThreeSeconds) {
  Net net;
  const int half = net.client("OPEN 1f 2");
  const int silent = net.client("");
  const int both = net.client("PING\r\nOPEN 1f 2");
  const int almost = net.client("PING now\r\n");
  EXPECT_EQ(net.read(almost, 1, 500), "ERR\r\n");
  EXPECT_EQ(net.read(half, 1, 2700), "ERR\r\n");
  EXPECT_EQ(net.read(both, 9, 1000), "PONG\r\nERR\r\n");
  EXPECT_TRUE(net.ended(half));
  EXPECT_TRUE(net.ended(silent));
}

TEST(BadClients, OneThatPoursOnWhileItIsToldToGoIsCutOff) {
  Net net;
  const int client = net.client("frob\r\n");
  const std::string lots(16000, 'x');
  std::size_t taken = 0;
  net.until(
      [&] {
        const auto given = net.socket(client).send(lots.data(), lots.size());
        taken += given.value_or(0);
        return !given;
      },
      900);
  EXPECT_FALSE(net.socket(client).send("x", 1)) << "cut off well before the second that its answer has";
}

TEST(BadClients, ACrowdThatSaysNothingOrOnlyPingTakesNothingFromAUsualClient) {
  Net net(140);
  std::vector<int> crowd;
  for (int i = 0; i < 60; ++i) {
    crowd.push_back(net.client(i % 2 ? "" : "PING\r\n"));
  }
  const int client = net.client(opening());
  net.write(net.host_accepts(), "UP fine\r\n");
  EXPECT_EQ(net.read(client), "UP fine\r\n");
  EXPECT_EQ(net.read(crowd[1]), "BUSY\r\n") << "the longest silent give way";
}

TEST(HealthChecker, AnErrorThatComesAtOnceSaysNothingOfHowLongAHostTakes) {
  Net net;
  Counters counters;
  Limits limits;
  limits.connect_time = 5000;
  std::vector<Tenths> answered;
  HealthChecker probes(net.loop, counters, limits,
                       [&](const std::string&, const HealthChecker::Probed& probed) {
                         answered.push_back(probed.answer_after);
                       });
  probes.probe("h", Net::text_of(net.hosts_at));
  const int host = net.host_accepts();
  for (const char* answer : {"ERR\r\n", "PONG\r\n"}) {
    net.read(host);
    net.run(5);
    net.write(host, answer);
    net.run(5);
    probes.probe("h", Net::text_of(net.hosts_at));
  }
  ASSERT_EQ(answered.size(), 2u);
  EXPECT_EQ(answered[0], 0);
  EXPECT_GE(answered[1], 50);
}
