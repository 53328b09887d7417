// A thousand crossings at random with a fixed seed, on loopback sockets: clients leave, hosts answer, hang,
// break and drain, all in one loop, and the rules are checked from outside: by what clients and hosts see.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "base/random.h"
#include "support/fixtures.h"

using namespace dapplewharf;

namespace {

constexpr std::uint64_t kSeed = 20261202;
constexpr int kNodes = 42, kRounds = 3, kTogether = 8, kHosts = 4, kMostTurns = 2000;

struct Client {
  Socket socket;
  std::string id, line, in;
  bool once = false, gone = false;
  bool answered() const { return in.find('\n') != std::string::npos; }
};

struct Attempt {  // as its host sees it
  Socket socket;
  int host = 0;
  std::string in, id;
  bool answered = false, turned_away = false, ended = false;  // ended: by the node
  bool known = false;                                         // its line has been judged
};

struct Many {
  RandomGenerator& chance;
  Socket listeners[kHosts];
  sockaddr_in at[kHosts];
  std::optional<NodeHarness> harness;
  std::vector<Client> clients;
  std::vector<Attempt> tries;
  int turn = 0, version = 1, told = -1, last_id = 0, lines = 0, answers = 0;
  int drains_since[kHosts] = {-1, -1, -1, -1};
  bool drains = false;

  explicit Many(RandomGenerator& from) : chance(from) {
    for (int i = 0; i < kHosts; ++i) {
      at[i] = NodeHarness::listen_on_loopback(listeners[i]);
    }
    harness.emplace(1024, true, [this](Configuration& to) {
      for (int i = 0; i < kHosts; ++i) {
        to.known["instances"][i]["hostPort"] = NodeHarness::address_text(at[i]);
      }
      to.env["lanes"][0]["hardLimitMs"] = 400;
      to.env["lanes"].push_back(to.env["lanes"][0]);
      to.env["lanes"][1]["name"] = "once";
      to.env["lanes"][1]["semantics"] = "at_most_once";
    });
  }
  bool one_in(int of) { return chance.next() % static_cast<unsigned>(of) == 0; }

  void opens() {
    Client& made = clients.emplace_back();
    made.once = one_in(2);
    made.id = "c" + std::to_string(++last_id);
    made.line = "OPEN " + made.id + " 2e c=" + (made.once ? "once" : "plain") + ",t=x,d=400,g=3d\r\n";
    EXPECT_EQ(start_connecting(harness->node_address, 1024, 0, made.socket), ConnectStart::in_progress);
  }

  void happens() {
    for (Client& one : clients) {
      if (!one.line.empty()) {
        one.line.erase(0, one.socket.send(one.line.data(), one.line.size()).value_or(0));
      }
      if (one.gone || !one.line.empty() || !one_in(30)) {
        continue;
      }
      one.gone = true;
      one_in(2) ? one.socket.close_with_reset() : one.socket.shut_down_sending();
    }
    for (Attempt& one : tries) {
      if (one.known && !one.answered && !one.ended && one_in(4)) {
        answer(one);
      }
    }
    if (told < 0 && harness->discovery_responses.empty() && one_in(10)) {
      told = static_cast<int>(chance.next() % kHosts);
      drains = drains_since[told] < 0;
      if (drains && std::count(drains_since, drains_since + kHosts, -1) < 3) {
        return void(told = -1);
      }
      const nlohmann::json entry = {{"instanceId", "h" + std::to_string(told)},
                                    {"hostPort", NodeHarness::address_text(at[told])},
                                    {"zone", "near"},
                                    {"lifecycle", drains ? "draining" : "up"}};
      const nlohmann::json body = {{"generation", ++version}, {"reset", false}, {"instances", {entry}}};
      harness->discovery_responses = {NodeHarness::http(body.dump())};
    }
  }

  void answer(Attempt& one) {
    // What goes wrong is kept rare: a node that sees trouble everywhere rejects, and nothing crosses.
    const unsigned how = chance.next() % 16;
    const std::string said = how == 0   ? "BUSY\r\n"
                             : how == 1 ? "ERR\r\n"
                             : how == 2 ? "U"
                             : how < 5  ? ""
                                        : "UP r\r\n";
    one.socket.send(said.data(), said.size());
    if (how == 5) {
      one.socket.send("UP s\r\n", 6);  // a second answer
    }
    if (how == 2 || how == 3 || (how == 0 && one_in(2))) {
      one.socket.shut_down_sending();
    }
    if (how == 4 || how == 6) {
      one.socket.close_with_reset();  // also right behind its UP
    }
    one.answered = true, one.turned_away = how == 0;
  }

  void sees() {
    for (int i = 0; i < kHosts; ++i) {
      for (;;) {
        Socket taken(accept4(listeners[i].descriptor(), nullptr, nullptr, SOCK_NONBLOCK));
        if (!taken) {
          break;
        }
        tries.emplace_back().socket = std::move(taken);
        tries.back().host = i;
      }
    }
    for (Attempt& one : tries) {
      bool end = false;
      if (one.socket && !one.ended) {
        one.ended = !one.socket.receive(one.in, 4096, end) || end;
      }
    }
    for (Attempt& one : tries) {
      if (!one.known && one.in.find('\n') != std::string::npos) {
        judge(one);
      }
    }
    for (Client& one : clients) {
      bool end = false;
      if (one.socket) {
        one.socket.receive(one.in, 4096, end);
      }
    }
  }

  void judge(Attempt& made) {
    ++lines;
    made.known = true;
    made.id = made.in.substr(5, made.in.find(' ', 5) - 5);
    const int since = drains_since[made.host];
    EXPECT_FALSE(since >= 0 && turn > since)
        << "rule 3: " << made.id << " to a host that drains, turn " << turn;
    const auto client =
        std::find_if(clients.begin(), clients.end(), [&](auto& one) { return one.id == made.id; });
    ASSERT_NE(client, clients.end()) << "rule 1: nothing is sent after the end: " << made.id;
    EXPECT_FALSE(client->answered()) << "rule 1: a try after the answer: " << made.id;
    for (const Attempt& earlier : tries) {
      if (&earlier == &made || earlier.id != made.id) {
        continue;
      }
      EXPECT_TRUE(earlier.answered || earlier.ended) << "rule 2: two out: " << made.id;
      EXPECT_TRUE(!client->once || earlier.turned_away) << "rule 2: an effect twice: " << made.id;
    }
  }

  bool step() {
    happens();
    const bool waits = told >= 0 && !harness->discovery_responses.empty();
    harness->run_once();
    ++turn;
    sees();
    // The answer went out at the end of that turn: the node reads it in the next one, and may write before.
    if (waits && harness->discovery_responses.empty()) {
      drains_since[told] = drains ? turn + 1 : -1, told = -1;
    }
    return std::all_of(clients.begin(), clients.end(),
                       [](const Client& one) { return one.gone || one.answered(); });
  }

  void ends() {
    for (const Client& one : clients) {
      if (one.gone) {
        continue;
      }
      const std::string word = one.in.substr(0, one.in.find_first_of(" \r"));
      ++answers;
      EXPECT_TRUE(word == "UP" || word == "BUSY" || word == "ERR") << one.id << ": " << one.in;
      EXPECT_TRUE(word == "UP" || one.in.find('\n') + 1 == one.in.size()) << "rule 1: more after its answer";
      for (const Attempt& made : tries) {
        EXPECT_TRUE(made.id != one.id || !one.once || word != "BUSY" || made.turned_away)
            << "rule 2: rejected though it may have run: " << one.id;
      }
    }
    clients.clear();
    for (int i = 0; i < 5; ++i) {
      harness->run_once(), ++turn;
    }
    tries.clear();
    for (int i = 0; i < kHosts; ++i) {
      while (Socket(accept4(listeners[i].descriptor(), nullptr, nullptr, SOCK_NONBLOCK))) {
      }
    }
  }
};

}  // namespace

TEST(Crossings, AThousandAtRandomKeepTheRules) {
  SCOPED_TRACE("seed " + std::to_string(kSeed));
  spdlog::set_level(spdlog::level::err);
  RandomGenerator chance(kSeed);
  int lines = 0;
  int answers = 0;
  for (int node = 0; node < kNodes && !testing::Test::HasFailure(); ++node) {
    Many many(chance);
    for (int round = 0; round < kRounds; ++round) {
      for (int i = 0; i < kTogether; ++i) {
        many.opens();
      }
      int turns = 0;
      while (!many.step() && ++turns < kMostTurns) {
      }
      EXPECT_LT(turns, kMostTurns) << "rule 1: somebody has no answer, node " << node << " round " << round;
      many.ends();
    }
    lines += many.lines, answers += many.answers;
  }
  spdlog::set_level(spdlog::level::info);
  std::cout << lines << " lines at hosts, " << answers << " clients answered" << std::endl;
  EXPECT_GT(lines, 500) << "too few to cross";
  EXPECT_GT(answers, 250);
}
