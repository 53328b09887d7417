// A thousand requests with random events in one event loop, on loopback sockets and with a fixed seed:
// clients leave; hosts answer, do not answer, close, reset and drain. The rules are checked by what clients
// and hosts receive.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "base/random.h"
#include "support/fixtures.h"

using namespace dapplewharf;

namespace {

constexpr std::uint64_t kSeed = 20261202;
constexpr int kNodes = 42, kRoundsPerNode = 3, kClientsPerRound = 8, kEndpoints = 4, kMaxTurnsPerRound = 2000;

struct Client {
  Socket socket;
  std::string id, unsent, received;
  bool is_at_most_once = false, has_left = false;
  bool is_answered() const { return received.find('\n') != std::string::npos; }
};

struct ReceivedAttempt {  // as seen by the host
  Socket socket;
  int endpoint = 0;
  std::string received, id;
  bool is_answered = false, is_rejected = false;
  bool is_ended_by_node = false;
  bool is_checked = false;  // its request line has been checked against the rules
};

// One node with several endpoints, and the clients and attempts of one round.
struct RandomScenario {
  RandomGenerator& random;
  Socket listeners[kEndpoints];
  sockaddr_in addresses[kEndpoints];
  std::optional<NodeHarness> harness;
  std::vector<Client> clients;
  std::vector<ReceivedAttempt> attempts;
  int turn = 0, version = 1, last_id = 0, request_lines = 0, answers = 0;
  int updated_endpoint = -1;       // the endpoint of the update that discovery is sending; -1: none
  bool is_update_a_drain = false;  // otherwise the update ends a drain
  int draining_since_turn[kEndpoints] = {-1, -1, -1, -1};  // -1: not draining

  explicit RandomScenario(RandomGenerator& generator) : random(generator) {
    for (int i = 0; i < kEndpoints; ++i) {
      addresses[i] = NodeHarness::listen_on_loopback(listeners[i]);
    }
    harness.emplace(1024, true, [this](Configuration& to) {
      for (int i = 0; i < kEndpoints; ++i) {
        to.cached_endpoint_list["instances"][i]["hostPort"] = NodeHarness::address_text(addresses[i]);
      }
      to.settings["lanes"][0]["hardLimitMs"] = 400;
      to.settings["lanes"].push_back(to.settings["lanes"][0]);
      to.settings["lanes"][1]["name"] = "once";
      to.settings["lanes"][1]["semantics"] = "at_most_once";
    });
  }
  // Returns true with probability 1 / `count`.
  bool one_in(int count) { return random.next() % static_cast<unsigned>(count) == 0; }

  void connect_client() {
    Client& client = clients.emplace_back();
    client.is_at_most_once = one_in(2);
    client.id = "c" + std::to_string(++last_id);
    client.unsent =
        "OPEN " + client.id + " 2e c=" + (client.is_at_most_once ? "once" : "plain") + ",t=x,d=400,g=3d\r\n";
    EXPECT_EQ(start_connecting(harness->node_address, 1024, 0, client.socket), ConnectStart::in_progress);
  }

  // Sends the requests, and lets clients leave, hosts answer and endpoints drain at random.
  void trigger_random_events() {
    for (Client& client : clients) {
      if (!client.unsent.empty()) {
        client.unsent.erase(0, client.socket.send(client.unsent.data(), client.unsent.size()).value_or(0));
      }
      if (client.has_left || !client.unsent.empty() || !one_in(30)) {
        continue;
      }
      client.has_left = true;
      one_in(2) ? client.socket.close_with_reset() : client.socket.shut_down_sending();
    }
    for (ReceivedAttempt& attempt : attempts) {
      if (attempt.is_checked && !attempt.is_answered && !attempt.is_ended_by_node && one_in(4)) {
        answer(attempt);
      }
    }
    if (updated_endpoint < 0 && harness->discovery_responses.empty() && one_in(10)) {
      updated_endpoint = static_cast<int>(random.next() % kEndpoints);
      is_update_a_drain = draining_since_turn[updated_endpoint] < 0;
      if (is_update_a_drain && std::count(draining_since_turn, draining_since_turn + kEndpoints, -1) < 3) {
        return void(updated_endpoint = -1);
      }
      const nlohmann::json entry = {{"instanceId", "h" + std::to_string(updated_endpoint)},
                                    {"hostPort", NodeHarness::address_text(addresses[updated_endpoint])},
                                    {"zone", "near"},
                                    {"lifecycle", is_update_a_drain ? "draining" : "up"}};
      const nlohmann::json body = {{"generation", ++version}, {"reset", false}, {"instances", {entry}}};
      harness->discovery_responses = {NodeHarness::http(body.dump())};
    }
  }

  void answer(ReceivedAttempt& attempt) {
    // Failures are kept rare: a node whose endpoints all appear unhealthy rejects every request.
    const unsigned choice = random.next() % 16;
    const std::string line = choice == 0   ? "BUSY\r\n"
                             : choice == 1 ? "ERR\r\n"
                             : choice == 2 ? "U"
                             : choice < 5  ? ""
                                           : "UP r\r\n";
    attempt.socket.send(line.data(), line.size());
    if (choice == 5) {
      attempt.socket.send("UP s\r\n", 6);  // a second answer
    }
    if (choice == 2 || choice == 3 || (choice == 0 && one_in(2))) {
      attempt.socket.shut_down_sending();
    }
    if (choice == 4 || choice == 6) {
      attempt.socket.close_with_reset();  // without an answer, or directly after UP
    }
    attempt.is_answered = true, attempt.is_rejected = choice == 0;
  }

  // Accepts connections at the endpoints, reads from all sockets and checks new attempts.
  void receive() {
    for (int i = 0; i < kEndpoints; ++i) {
      for (;;) {
        Socket accepted(accept4(listeners[i].descriptor(), nullptr, nullptr, SOCK_NONBLOCK));
        if (!accepted) {
          break;
        }
        attempts.emplace_back().socket = std::move(accepted);
        attempts.back().endpoint = i;
      }
    }
    for (ReceivedAttempt& attempt : attempts) {
      bool has_ended = false;
      if (attempt.socket && !attempt.is_ended_by_node) {
        attempt.is_ended_by_node = !attempt.socket.receive(attempt.received, 4096, has_ended) || has_ended;
      }
    }
    for (ReceivedAttempt& attempt : attempts) {
      if (!attempt.is_checked && attempt.received.find('\n') != std::string::npos) {
        check_attempt(attempt);
      }
    }
    for (Client& client : clients) {
      bool has_ended = false;
      if (client.socket) {
        client.socket.receive(client.received, 4096, has_ended);
      }
    }
  }

  void check_attempt(ReceivedAttempt& attempt) {
    ++request_lines;
    attempt.is_checked = true;
    attempt.id = attempt.received.substr(5, attempt.received.find(' ', 5) - 5);
    const int draining_since = draining_since_turn[attempt.endpoint];
    EXPECT_FALSE(draining_since >= 0 && turn > draining_since)
        << "rule 3: " << attempt.id << " is sent to a draining endpoint, turn " << turn;
    const auto client =
        std::find_if(clients.begin(), clients.end(), [&](auto& other) { return other.id == attempt.id; });
    ASSERT_NE(client, clients.end()) << "rule 1: an attempt after the end of the request: " << attempt.id;
    EXPECT_FALSE(client->is_answered()) << "rule 1: an attempt after the answer: " << attempt.id;
    for (const ReceivedAttempt& earlier : attempts) {
      if (&earlier == &attempt || earlier.id != attempt.id) {
        continue;
      }
      EXPECT_TRUE(earlier.is_answered || earlier.is_ended_by_node)
          << "rule 2: two attempts in flight: " << attempt.id;
      EXPECT_TRUE(!client->is_at_most_once || earlier.is_rejected)
          << "rule 2: the request may have run twice: " << attempt.id;
    }
  }

  // Runs one turn of the event loop. Returns whether every client has been answered or has left.
  bool step() {
    trigger_random_events();
    const bool has_unsent_update = updated_endpoint >= 0 && !harness->discovery_responses.empty();
    harness->run_once();
    ++turn;
    receive();
    // Discovery's response was sent at the end of this turn. The node reads it in the next turn, in which it
    // may still send a request before.
    if (has_unsent_update && harness->discovery_responses.empty()) {
      draining_since_turn[updated_endpoint] = is_update_a_drain ? turn + 1 : -1, updated_endpoint = -1;
    }
    return std::all_of(clients.begin(), clients.end(),
                       [](const Client& client) { return client.has_left || client.is_answered(); });
  }

  // Checks the answers and removes all clients and attempts.
  void end_round() {
    for (const Client& client : clients) {
      if (client.has_left) {
        continue;
      }
      const std::string answer = client.received.substr(0, client.received.find_first_of(" \r"));
      ++answers;
      EXPECT_TRUE(answer == "UP" || answer == "BUSY" || answer == "ERR")
          << client.id << ": " << client.received;
      EXPECT_TRUE(answer == "UP" || client.received.find('\n') + 1 == client.received.size())
          << "rule 1: data after the final answer";
      for (const ReceivedAttempt& attempt : attempts) {
        EXPECT_TRUE(attempt.id != client.id || !client.is_at_most_once || answer != "BUSY" ||
                    attempt.is_rejected)
            << "rule 2: rejected though it may have run: " << client.id;
      }
    }
    clients.clear();
    for (int i = 0; i < 5; ++i) {
      harness->run_once(), ++turn;
    }
    attempts.clear();
    for (int i = 0; i < kEndpoints; ++i) {
      while (Socket(accept4(listeners[i].descriptor(), nullptr, nullptr, SOCK_NONBLOCK))) {
      }
    }
  }
};

}  // namespace

TEST(EventOrder, RulesHoldForAThousandRequestsWithRandomEvents) {
  SCOPED_TRACE("seed " + std::to_string(kSeed));
  spdlog::set_level(spdlog::level::err);
  RandomGenerator random(kSeed);
  int request_lines = 0;
  int answers = 0;
  for (int node = 0; node < kNodes && !testing::Test::HasFailure(); ++node) {
    RandomScenario scenario(random);
    for (int round = 0; round < kRoundsPerNode; ++round) {
      for (int i = 0; i < kClientsPerRound; ++i) {
        scenario.connect_client();
      }
      int turns = 0;
      while (!scenario.step() && ++turns < kMaxTurnsPerRound) {
      }
      EXPECT_LT(turns, kMaxTurnsPerRound)
          << "rule 1: a client has no answer, node " << node << " round " << round;
      scenario.end_round();
    }
    request_lines += scenario.request_lines, answers += scenario.answers;
  }
  spdlog::set_level(spdlog::level::info);
  std::cout << request_lines << " request lines at hosts, " << answers << " clients answered" << std::endl;
  EXPECT_GT(request_lines, 500) << "too few attempts for the test to be meaningful";
  EXPECT_GT(answers, 250);
}
