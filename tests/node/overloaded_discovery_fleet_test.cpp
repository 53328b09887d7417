// Processes of the node and a discovery that pushes changes and turns all calls away for a while, in which an
// endpoint drains. Guards against new work at the draining endpoint, whose sum grows with the nodes
// (review/8), and against nodes that serve less than they can while discovery is down.
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>

#include "support/fixtures.h"

using namespace dapplewharf;

namespace {

constexpr Duration kGrace = 500 * kMs;
constexpr Duration kSlack = 50 * kMs;
constexpr Duration kDeadline = 2 * kSecond;
constexpr Duration kLineInterval = 500 * kMs;
constexpr Duration kLateAnswer = 700 * kMs;
constexpr int kTurnUs = 2000;
const std::string kBusy = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";

// One side of a connection that the test holds.
struct Stream {
  Socket socket;
  std::string received;
  TimePoint first_byte_at = 0;
  bool ended = false;

  explicit Stream(Socket connection = {}) : socket(std::move(connection)) {}
  void receive(TimePoint now) {
    const bool was_empty = received.empty();
    ended = !socket.receive(received, 4096, ended) || ended;
    first_byte_at = was_empty && !received.empty() ? now : first_byte_at;
  }
  void send(const std::string& bytes) const { socket.send_without_waiting(bytes); }
};

void accept_all(const Socket& listener, const std::function<void(Socket)>& add) {
  for (Socket accepted;
       (accepted = Socket(accept4(listener.descriptor(), nullptr, nullptr, SOCK_NONBLOCK)));) {
    add(std::move(accepted));
  }
}

enum class Trouble {
  none,
  answers_503,
  answers_503_late,
  resets_requests,
  resets_connections,  // discovery is down
  refuses_connections  // the same
};

// Serves the list of h0 to h3; h0 drains from version 2 on.
class OverloadedDiscovery {
 public:
  OverloadedDiscovery() : address_(NodeHarness::listen_on_loopback(listener_)) {}

  std::optional<TimePoint> first_failure_at;  // of a call
  nlohmann::json endpoints = nlohmann::json::array();
  int version = 1;

  [[nodiscard]] std::string address() const { return NodeHarness::address_text(address_); }
  [[nodiscard]] std::string list(bool is_complete) const {
    const bool has_entries = is_complete || version == 2;
    return nlohmann::json{{"generation", version},
                          {"reset", is_complete},
                          {"instances", has_entries ? endpoints : nlohmann::json::array()}}
        .dump();
  }
  void begin(Trouble trouble) {
    trouble_ = trouble;
    if (trouble == Trouble::refuses_connections) {
      listener_.close();
    } else if (!listener_) {
      EXPECT_FALSE(listen_on(address_, listener_));
    }
  }
  void run(TimePoint now) {
    if (listener_) {
      accept_all(listener_, [&](Socket accepted) { calls_.push_back({Stream(std::move(accepted))}); });
    }
    if (trouble_ == Trouble::resets_connections || trouble_ == Trouble::refuses_connections) {
      return reset_all(now);
    }
    for (Call& call : calls_) {
      call.stream.receive(now);
      if (call.stream.received.find("\r\n\r\n") != std::string::npos) {
        answer_if_due(call, now);
      }
    }
    std::erase_if(calls_, [](const Call& call) { return call.stream.ended; });
  }

 private:
  struct Call {
    Stream stream;
    bool is_waiting = false;
  };
  void reset_all(TimePoint now) {
    for (Call& call : calls_) {
      call.stream.socket.close_with_reset();
    }
    first_failure_at = first_failure_at.value_or(now);
    calls_.clear();
  }
  void turn_away(Call& call, TimePoint now) {
    if (trouble_ == Trouble::answers_503_late && now < call.stream.first_byte_at + kLateAnswer) {
      return;
    }
    first_failure_at = first_failure_at.value_or(now);
    if (trouble_ == Trouble::resets_requests) {
      call.stream.socket.close_with_reset();
      call.stream.ended = true;
      return;
    }
    call.stream.send(kBusy);
    call.stream.received.clear();
  }
  void answer_if_due(Call& call, TimePoint now) {
    if (!call.is_waiting && trouble_ != Trouble::none) {
      return turn_away(call, now);
    }
    const bool has_changes =
        call.stream.received.find("after=" + std::to_string(version)) == std::string::npos;
    const bool is_watch = call.stream.received.find("wait_ms=3000") != std::string::npos;
    call.is_waiting = is_watch && !has_changes && now < call.stream.first_byte_at + 3 * kSecond;
    if (!call.is_waiting) {
      call.stream.send(NodeHarness::http(list(false)));
      call.stream.received.clear();
    }
  }

  Socket listener_;
  sockaddr_in address_;
  Trouble trouble_ = Trouble::none;
  std::vector<Call> calls_;
};

// An endpoint that answers each request with UP and each line after it with the same line.
class Endpoint {
 public:
  Endpoint() : address_(NodeHarness::listen_on_loopback(listener_)) {}

  std::optional<TimePoint> draining_since;
  int late_requests = 0;

  [[nodiscard]] std::string address() const { return NodeHarness::address_text(address_); }
  void run(TimePoint now) {
    accept_all(listener_, [&](Socket accepted) { connections_.emplace_back(std::move(accepted)); });
    for (Stream& connection : connections_) {
      connection.receive(now);
      for (std::size_t end; (end = connection.received.find("\r\n")) != std::string::npos;) {
        const std::string line = connection.received.substr(0, end + 2);
        connection.received.erase(0, end + 2);
        answer(connection, line);
      }
    }
    std::erase_if(connections_, [](const Stream& connection) { return connection.ended; });
  }

 private:
  void answer(Stream& connection, const std::string& line) {
    if (line.substr(0, 4) != "OPEN") {
      return connection.send(line);
    }
    if (!draining_since) {
      return connection.send("UP x\r\n");
    }
    late_requests += connection.first_byte_at > *draining_since + kGrace + kSlack ? 1 : 0;
    connection.send("BUSY\r\n");
    connection.ended = true;
  }

  Socket listener_;
  sockaddr_in address_;
  std::vector<Stream> connections_;
};

// A process of the node; killed at the end.
class NodeProcess {
 public:
  NodeProcess(int index, int count, const OverloadedDiscovery& discovery, const std::string& settings) {
    Socket reserved;
    address_ = NodeHarness::listen_on_loopback(reserved);
    reserved.close();
    path_ = std::filesystem::temp_directory_path() /
            ("fleet-" + std::to_string(getpid()) + "-" + std::to_string(index) + ".json");
    nlohmann::json parsed = nlohmann::json::parse(settings);
    parsed["peersTotal"] = count;
    std::ofstream(path_) << nlohmann::json{{"name", "n" + std::to_string(index)},
                                           {"listen", NodeHarness::address_text(address_)},
                                           {"discovery", discovery.address()},
                                           {"seed", "8c1f30d27a5be964"},
                                           {"limits", {{"sockets", 512}, {"memory_mb", 192}}},
                                           {"known", nlohmann::json::parse(discovery.list(true))},
                                           {"settings", parsed}};
    const std::string config = "PROXY_CONFIG=" + path_.string();
    std::string program = NODE_PROGRAM;
    std::vector<char*> environment{const_cast<char*>(config.c_str()), nullptr};
    std::vector<char*> arguments{program.data(), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, "/dev/null", O_WRONLY, 0);
    EXPECT_EQ(posix_spawn(&pid_, NODE_PROGRAM, &actions, nullptr, arguments.data(), environment.data()), 0);
    posix_spawn_file_actions_destroy(&actions);
  }
  ~NodeProcess() {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    std::filesystem::remove(path_);
  }
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;

  [[nodiscard]] Stream connect(const std::string& bytes) const {
    Socket socket(::socket(AF_INET, SOCK_STREAM, 0));
    if (::connect(socket.descriptor(), reinterpret_cast<const sockaddr*>(&address_), sizeof address_) != 0) {
      return Stream();
    }
    fcntl(socket.descriptor(), F_SETFL, O_NONBLOCK);
    socket.send_without_waiting(bytes);
    return Stream(std::move(socket));
  }

 private:
  sockaddr_in address_{};
  std::filesystem::path path_;
  pid_t pid_ = -1;
};

struct Outcomes {
  int up = 0;
  int rejected = 0;
  int lost = 0;  // closed or not answered in time
};

class Fleet {
 public:
  explicit Fleet(int count) : endpoints_(4) {
    for (std::size_t i = 0; i < endpoints_.size(); ++i) {
      discovery.endpoints.push_back({{"instanceId", "h" + std::to_string(i)},
                                     {"hostPort", endpoints_[i].address()},
                                     {"zone", "near"},
                                     {"lifecycle", "up"}});
    }
    for (int i = 0; i < count; ++i) {
      nodes_.push_back(std::make_unique<NodeProcess>(i, count, discovery, kSettings));
    }
  }

  OverloadedDiscovery discovery;
  Outcomes outcomes;
  Duration slowest_line = 0;  // from a standing client's line to its echo

  [[nodiscard]] TimePoint now() const { return EventLoop::steady_now(); }
  [[nodiscard]] int late_requests() const { return endpoints_[0].late_requests; }
  void drain_first_endpoint() {
    endpoints_[0].draining_since = now();
    discovery.endpoints[0]["lifecycle"] = "draining";
    discovery.version = 2;
  }
  // Waits until each node answers PING, then opens a standing connection at each.
  void wait_until_ready() {
    for (const auto& node : nodes_) {
      Stream front;
      run_until(
          [&] {
            if (!front.socket || front.ended) {
              front = node->connect("PING\r\n");
            }
            front.receive(now());
            return front.received == "PONG\r\n";
          },
          20 * kSecond);
      EXPECT_EQ(front.received, "PONG\r\n");
      standing_.push_back({node->connect(request()), 0});
    }
    is_ready_ = true;
  }
  // Runs all stand-ins, with a new client each 30 ms once all nodes are ready, until the condition holds or
  // the time is over.
  bool run_until(const std::function<bool()>& condition, Duration timeout) {
    for (const TimePoint end = now() + timeout; now() < end; usleep(kTurnUs)) {
      if (condition()) {
        return true;
      }
      discovery.run(now());
      for (Endpoint& endpoint : endpoints_) {
        endpoint.run(now());
      }
      run_clients();
      run_standing_clients();
    }
    return condition();
  }
  void run_for(Duration duration) {
    run_until([] { return false; }, duration);
  }

 private:
  struct Client {
    Stream stream;
    TimePoint sent_at = 0;
  };
  static constexpr const char* kSettings = R"({"zone": "near", "discovery": "pushed",
    "guarantees": {"coldFrom": 0.3, "coldMs": 8000, "fallMs": 2000, "fallMultiple": 2.5,
                   "stopSendingWithinMs": 500},
    "bounds": {"maxAttempts": 3, "maxRetryAfterMs": 1500, "retryAfter": true, "probes": false,
               "dialTimeoutMs": 250},
    "extra": {"messageAimMs": [250]}, "lanes": [{"name": "plain", "semantics": "idempotent", "group": "all",
    "windowMs": 5000, "objectiveMs": 800, "hardLimitMs": 2000}]})";

  std::string request() {
    const std::string number = std::to_string(++last_request_);
    return "OPEN 1f" + number + " " + number + " c=plain,t=x,d=2000\r\n";
  }
  void run_clients() {
    if (is_ready_ && now() >= next_client_at_) {
      next_client_at_ = now() + 30 * kMs;
      clients_.push_back(
          {nodes_[static_cast<std::size_t>(last_request_) % nodes_.size()]->connect(request()), now()});
    }
    std::erase_if(clients_, [&](Client& client) { return has_ended(client); });
  }
  bool has_ended(Client& client) {
    client.stream.receive(now());
    if (client.stream.received.find("\r\n") != std::string::npos) {
      ++(client.stream.received.substr(0, 2) == "UP" ? outcomes.up : outcomes.rejected);
      return true;
    }
    const bool is_lost = client.stream.ended || now() > client.sent_at + kDeadline + kSlack;
    outcomes.lost += is_lost ? 1 : 0;
    return is_lost;
  }
  void run_standing_clients() {
    for (Client& client : standing_) {
      client.stream.receive(now());
      const bool has_line = client.stream.received.find("\r\n") != std::string::npos;
      slowest_line = std::max(slowest_line, client.sent_at > 0 && !has_line ? now() - client.sent_at : 0);
      if (has_line && now() >= client.sent_at + kLineInterval && !is_moved(client)) {
        client.stream.received.clear();
        client.stream.send("LINE\r\n");
        client.sent_at = now();
      }
    }
    // Once the list has come, the connections to the draining endpoint are moved.
    std::erase_if(standing_, [&](const Client& client) {
      outcomes.lost += client.stream.ended && !is_moved(client) ? 1 : 0;
      return client.stream.ended;
    });
  }
  static bool is_moved(const Client& client) {
    return client.stream.received.find("MOVE") != std::string::npos;
  }

  std::vector<Endpoint> endpoints_;
  std::vector<std::unique_ptr<NodeProcess>> nodes_;
  std::vector<Client> clients_, standing_;
  bool is_ready_ = false;
  int last_request_ = 0;
  TimePoint next_client_at_ = 0;
};

// Lets discovery be in trouble for 5 s, in which an endpoint drains if it is running.
void play(Fleet& fleet, Trouble trouble, bool has_drain) {
  fleet.wait_until_ready();
  fleet.run_for(kSecond);
  fleet.discovery.begin(trouble);
  ASSERT_TRUE(fleet.run_until([&] { return fleet.discovery.first_failure_at.has_value(); }, 5 * kSecond));
  fleet.run_for(300 * kMs);
  if (has_drain) {
    fleet.drain_first_endpoint();
  }
  fleet.run_for(5 * kSecond);
  fleet.discovery.begin(Trouble::none);
  fleet.run_for(kDeadline + kSecond);
  const int up_before = fleet.outcomes.up;
  fleet.run_for(kSecond);
  std::printf("trouble %d: %d up, %d rejected, %d lost, %d late at the draining endpoint\n",
              static_cast<int>(trouble), fleet.outcomes.up, fleet.outcomes.rejected, fleet.outcomes.lost,
              fleet.late_requests());
  EXPECT_EQ(fleet.late_requests(), 0);
  EXPECT_EQ(fleet.outcomes.lost, 0);
  EXPECT_LT(fleet.slowest_line, kSecond) << "lines of standing connections do not wait";
  EXPECT_GT(fleet.outcomes.up, up_before + 20) << "the list has come, and new work is served";
}

}  // namespace

TEST(OverloadedDiscoveryFleet, DrainIsKeptByThreeProcesses) {
  Fleet fleet(3);
  play(fleet, Trouble::answers_503, true);
}

TEST(OverloadedDiscoveryFleet, DrainIsKeptByTwelveProcesses) {
  Fleet fleet(12);
  play(fleet, Trouble::answers_503, true);
}

TEST(OverloadedDiscoveryFleet, DrainIsKeptByTwentyFourProcesses) {
  Fleet fleet(24);
  play(fleet, Trouble::answers_503, true);
}

TEST(OverloadedDiscoveryFleet, DrainIsKeptWhileCallsAreTurnedAwayAfterAWait) {
  Fleet fleet(12);
  play(fleet, Trouble::answers_503_late, true);
}

TEST(OverloadedDiscoveryFleet, DrainIsKeptWhileRequestsAreReset) {
  Fleet fleet(12);
  play(fleet, Trouble::resets_requests, true);
}

TEST(OverloadedDiscoveryFleet, NewWorkIsServedWhileDiscoveryIsDown) {
  for (const auto trouble : {Trouble::refuses_connections, Trouble::resets_connections}) {
    Fleet fleet(12);
    play(fleet, trouble, false);
    EXPECT_EQ(fleet.outcomes.rejected, 0);
  }
}
