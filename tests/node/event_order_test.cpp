// Races between two events, on loopback sockets. Each test forces the order of the events step by step, so
// that the result depends neither on chance nor on the speed of the machine; the time limits are those of the
// protocol.
#include <gtest/gtest.h>

#include "support/fixtures.h"

using namespace dapplewharf;

namespace {

const std::string kBusy = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
// The times after which the protocol deems a node notified of changes: those that an unanswered watch missed,
// and those at a new address of discovery.
constexpr int kNotifiedAfterSilenceMs = 6000, kNotifiedAfterAddressChangeMs = 4000;

// Returns a request line whose id is unique in this process.
std::string request_line() {
  static int last_id = 0;
  return "OPEN 2f" + std::to_string(++last_id) + " 2e c=plain,t=x,d=2000,g=3d\r\n";
}

// Returns discovery's response with a complete list in which all endpoints have the same lifecycle state.
std::string complete_list(const NodeHarness& harness, int version, const std::vector<std::string>& endpoints,
                          const std::string& lifecycle) {
  nlohmann::json instances = nlohmann::json::array();
  for (const std::string& endpoint : endpoints) {
    instances.push_back({{"instanceId", endpoint},
                         {"hostPort", NodeHarness::address_text(harness.endpoint_address)},
                         {"zone", "near"},
                         {"lifecycle", lifecycle}});
  }
  return NodeHarness::http(
      nlohmann::json({{"generation", version}, {"reset", true}, {"instances", instances}}).dump());
}
const std::vector<std::string> kAllEndpoints = {"h0", "h1", "h2", "h3"};

// Whether discovery has received a complete call that it has not answered.
bool has_discovery_call(const NodeHarness& harness) {
  return harness.discovery_request.find("\r\n\r\n") != std::string::npos;
}

}  // namespace

TEST(EventOrder, UnansweredWatchIsRepeatedBeforeTheNodeIsDeemedNotified) {
  NodeHarness harness;
  harness.discovery_responses = {kBusy};  // a failed call before it must not delay the repeated watch
  EXPECT_TRUE(harness.run_until([&] { return harness.discovery_responses.empty(); }));
  EXPECT_TRUE(
      harness.run_until([&] { return harness.discovery_connections == 2 && has_discovery_call(harness); }));
  const TimePoint watch_sent_at = harness.loop.now();
  EXPECT_TRUE(
      harness.run_until([&] { return harness.discovery_connections == 3 && has_discovery_call(harness); },
                        kNotifiedAfterSilenceMs))
      << "the watch is repeated on a new connection";
  // The service is overloaded by the calls of all nodes, so that the first two answers are useless.
  harness.discovery_responses = {kBusy, NodeHarness::http("garbage"),
                                 complete_list(harness, 2, kAllEndpoints, "draining")};
  EXPECT_TRUE(
      harness.run_until([&] { return harness.discovery_responses.empty(); }, kNotifiedAfterSilenceMs));
  EXPECT_LT(harness.loop.now() - watch_sent_at, kNotifiedAfterSilenceMs * kMs);
  EXPECT_EQ(harness.read(harness.connect_client(request_line())).substr(0, 4), "BUSY")
      << "the list is applied";
}

TEST(EventOrder, NewDiscoveryThatRejectsCallsIsCalledAgainBeforeTheNodeIsDeemedNotified) {
  NodeHarness harness;
  EXPECT_TRUE(harness.run_until([&] { return has_discovery_call(harness); }));
  harness.reload_with_new_discovery();
  const TimePoint reloaded_at = harness.loop.now();
  harness.discovery_responses = {kBusy, kBusy, kBusy, kBusy,
                                 complete_list(harness, 1, kAllEndpoints, "draining")};
  EXPECT_TRUE(
      harness.run_until([&] { return harness.discovery_responses.empty(); }, kNotifiedAfterAddressChangeMs));
  EXPECT_LT(harness.loop.now() - reloaded_at, kNotifiedAfterAddressChangeMs * kMs);
}

namespace {

// Prevents connections to the endpoints' listener until `release` is called. A connection begun before is
// established late, when its SYN is retransmitted.
struct BlockedEndpointListener {
  NodeHarness& harness;
  Socket filler;  // fills the accept queue, whose backlog is 0
  explicit BlockedEndpointListener(NodeHarness& node_harness) : harness(node_harness) {
    listen(harness.endpoint_listener.descriptor(), 0);
    EXPECT_EQ(start_connecting(harness.endpoint_address, 1024, 0, filler), ConnectStart::in_progress);
    pollfd connected{filler.descriptor(), POLLOUT, 0};
    EXPECT_EQ(poll(&connected, 1, 5000), 1);
  }
  void release() {
    listen(harness.endpoint_listener.descriptor(), 16);
    Socket accepted(accept4(harness.endpoint_listener.descriptor(), nullptr, nullptr, 0));
    EXPECT_TRUE(accepted);
  }
};

// A client whose attempt's connection is established, which the node has not noticed yet: its next turn
// handles events of both sockets.
struct UnnoticedEstablishedAttempt {
  int client = 0, host = 0;
  explicit UnnoticedEstablishedAttempt(NodeHarness& harness) {
    // The event loop reuses the slots of these two clients in reverse order, so that the host's socket is
    // handled before the client's.
    for (const int closed_client : {harness.connect_client(""), harness.connect_client("")}) {
      harness.reset(closed_client), harness.run_for(20);
    }
    Socket socket;
    EXPECT_EQ(start_connecting(harness.node_address, 1024, 0, socket), ConnectStart::in_progress);
    client = harness.keep_socket(std::move(socket));
    const std::string line = request_line();
    Socket accepted;
    for (int i = 0; i < 400 && !accepted; ++i) {
      if (i == 2) {
        harness.socket(client).send(line.data(), line.size());
      }
      harness.run_once();
      accepted = Socket(accept4(harness.endpoint_listener.descriptor(), nullptr, nullptr, SOCK_NONBLOCK));
    }
    EXPECT_TRUE(accepted);
    host = harness.keep_socket(std::move(accepted));
  }
};

// Returns all bytes received until the peer closes the connection.
std::string read_until_closed(NodeHarness& harness, int descriptor) {
  std::string bytes;
  bool has_ended = false;
  EXPECT_TRUE(harness.run_until(
      [&] { return !harness.socket(descriptor).receive(bytes, 65536, has_ended) || has_ended; }));
  return bytes;
}

}  // namespace

TEST(EventOrder, EndpointThatLeavesWhileItsConnectionIsBeingEstablishedIsSentNothing) {
  for (const char* lifecycle : {"draining", "removed"}) {
    Socket other_listener;
    const sockaddr_in other_address = NodeHarness::listen_on_loopback(other_listener);
    NodeHarness harness(1024, true, [](Configuration& to) {
      to.settings["bounds"]["dialTimeoutMs"] = 10000;
      to.settings["bounds"]["maxAttempts"] = 1;  // an attempt of which nothing was sent does not count
      to.settings["lanes"][0]["semantics"] = "at_most_once";
      to.settings["lanes"][0]["hardLimitMs"] = 9000;
    });
    std::string line = request_line();
    line.replace(line.find("d=2000"), 6, "d=9000");
    BlockedEndpointListener blocked(harness);
    const int client = harness.connect_client(line);
    nlohmann::json instances = nlohmann::json::array();
    for (const std::string& endpoint : kAllEndpoints) {
      instances.push_back({{"instanceId", endpoint},
                           {"hostPort", NodeHarness::address_text(harness.endpoint_address)},
                           {"lifecycle", lifecycle}});
    }
    instances.push_back({{"instanceId", "h9"},
                         {"hostPort", NodeHarness::address_text(other_address)},
                         {"zone", "near"},
                         {"lifecycle", "up"}});
    harness.discovery_responses = {NodeHarness::http(
        nlohmann::json({{"generation", 2}, {"reset", false}, {"instances", instances}}).dump())};
    EXPECT_TRUE(harness.run_until([&] { return harness.discovery_responses.empty(); }));
    harness.run_for(20);
    blocked.release();
    Socket accepted;
    EXPECT_TRUE(harness.run_until([&] {
      if (!accepted)
        accepted = Socket(accept4(other_listener.descriptor(), nullptr, nullptr, SOCK_NONBLOCK));
      return static_cast<bool>(accepted);
    })) << "an attempt at another endpoint follows";
    EXPECT_EQ(read_until_closed(harness, harness.accept_endpoint_connection()), "") << lifecycle;
    const int host = harness.keep_socket(std::move(accepted));
    EXPECT_EQ(harness.read(host).substr(0, 5), "OPEN ");
    harness.write(host, "UP x\r\n");
    EXPECT_EQ(harness.read(client), "UP x\r\n");
  }
}

TEST(EventOrder, RequestIsNotSentIfItsClientLeavesAsTheAttemptIsEstablished) {
  for (const bool by_reset : {true, false}) {
    NodeHarness harness;
    UnnoticedEstablishedAttempt attempt(harness);
    if (by_reset) {
      harness.reset(attempt.client);
    } else {
      harness.shut_down_writing(attempt.client);
    }
    EXPECT_EQ(read_until_closed(harness, attempt.host), "") << (by_reset ? "RST" : "FIN");
  }
}

// The node receives the request line and the client's close in the same turn.
TEST(EventOrder, NoAttemptIsMadeForAClientThatClosesTogetherWithItsRequest) {
  NodeHarness harness;
  Socket client;
  ASSERT_EQ(start_connecting(harness.node_address, 1024, 0, client), ConnectStart::in_progress);
  harness.run_for(20);
  const std::string line = request_line();
  EXPECT_EQ(client.send(line.data(), line.size()), line.size());
  client.shut_down_sending();
  const int descriptor = harness.keep_socket(std::move(client));
  EXPECT_EQ(harness.read(descriptor).substr(0, 5), "ERR\r\n") << "the client may still read";
  harness.run_for(100);
  EXPECT_FALSE(Socket(accept4(harness.endpoint_listener.descriptor(), nullptr, nullptr, SOCK_NONBLOCK)));
  // The next client is served: nothing of the former request is left.
  const int next = harness.connect_client(request_line());
  harness.write(harness.accept_endpoint_connection(), "UP x\r\n");
  EXPECT_EQ(harness.read(next), "UP x\r\n");
}

TEST(EventOrder, RequestIsNotSentIfItsDeadlinePassesWhileTheProcessIsPaused) {
  NodeHarness harness;
  UnnoticedEstablishedAttempt attempt(harness);
  timespec pause{2, 100000000};  // 2.1 s, as by SIGSTOP; the client waits 2 s
  nanosleep(&pause, nullptr);
  EXPECT_EQ(read_until_closed(harness, attempt.host), "");
  EXPECT_EQ(harness.read(attempt.client).substr(0, 4), "BUSY");
}

namespace {

// Waits until the node may exit, destroys it, and returns what the client has received.
std::string received_before_exit(NodeHarness& harness, int client) {
  EXPECT_TRUE(harness.run_until([&] { return harness.node->may_exit(); }, 5000));
  harness.node.reset();
  std::string bytes;
  bool has_ended = false;
  while (harness.socket(client).receive(bytes, 65536, has_ended).value_or(0) > 0) {
  }
  return bytes;
}

}  // namespace

TEST(EventOrder, RequestWithALongDeadlineIsAnsweredBeforeTheShutdownEnds) {
  for (const char* effect : {"at_most_once", "idempotent"}) {
    NodeHarness harness(1024, true, [&](Configuration& to) {
      to.settings["lanes"][0]["hardLimitMs"] = 9000;
      to.settings["lanes"][0]["semantics"] = effect;
      to.settings["bounds"]["maxAttempts"] = 1;
    });
    std::string line = request_line();
    line.replace(line.find("d=2000"), 6, "d=9000");
    const int client = harness.connect_client(line);
    const int host = harness.accept_endpoint_connection();
    EXPECT_EQ(harness.read(host).substr(0, 5), "OPEN ");  // the host never answers
    harness.node->begin_shutdown();
    const std::string received = received_before_exit(harness, client);
    EXPECT_EQ(received.substr(0, 4), effect == std::string("idempotent") ? "BUSY" : "ERR\r") << effect;
  }
}

TEST(EventOrder, RequestLineThatIsInterruptedByAShutdownIsAnswered) {
  NodeHarness harness;
  const std::string line = request_line();
  const int client = harness.connect_client(line.substr(0, 9));
  harness.node->begin_shutdown();
  harness.run_for(1300);
  EXPECT_FALSE(harness.node->may_exit()) << "a client has sent half of a request line";
  harness.write(client, line.substr(9));
  harness.write(harness.accept_endpoint_connection(), "UP x\r\n");
  EXPECT_EQ(harness.read(client, 12, 2000), "UP x\r\nMOVE\r\n");
}

TEST(EventOrder, ClientInTheAcceptQueueWhenTheNodeIsAboutToExitIsAnswered) {
  NodeHarness harness;
  harness.node->begin_shutdown();
  harness.run_for(1100);
  Socket socket;
  EXPECT_EQ(start_connecting(harness.node_address, 1024, 0, socket), ConnectStart::in_progress);
  const std::string line = request_line();
  // On loopback the kernel has established the connection already.
  EXPECT_TRUE(socket.send(line.data(), line.size()));
  EXPECT_FALSE(harness.node->may_exit());
  const int client = harness.keep_socket(std::move(socket));
  harness.write(harness.accept_endpoint_connection(), "UP x\r\n");
  EXPECT_EQ(harness.read(client, 12, 2000), "UP x\r\nMOVE\r\n");
  harness.shut_down_writing(client);
  EXPECT_TRUE(harness.run_until([&] { return harness.node->may_exit(); }, 2000));
}

TEST(EventOrder, DiscoveryThatReturnsAfterALongOutageIsCalledWithinTheDrainGracePeriod) {
  NodeHarness harness(1024, true, [](Configuration& to) { to.settings["discovery"] = "pushed"; });
  EXPECT_TRUE(harness.run_until([&] { return has_discovery_call(harness); }));
  const sockaddr_in address = harness.discovery_address;
  harness.discovery_listener.close();
  harness.discovery_connection.close(), harness.discovery_request.clear();
  harness.run_for(4000);  // the backoff between calls grows
  EXPECT_FALSE(listen_on(address, harness.discovery_listener));
  const TimePoint available_at = harness.loop.now();
  harness.discovery_responses = {complete_list(harness, 2, kAllEndpoints, "draining")};
  EXPECT_TRUE(harness.run_until([&] { return harness.discovery_responses.empty(); }));
  EXPECT_LT(harness.loop.now() - available_at, 1000 * kMs) << "the drain grace period of the settings";
}

TEST(EventOrder, DiscoveryThatRestartsItsVersionsIsAskedForTheCompleteList) {
  NodeHarness harness;
  harness.discovery_responses = {NodeHarness::http(R"({"generation":9,"reset":false,"instances":[]})"),
                                 NodeHarness::http(R"({"generation":3,"reset":false,"instances":[]})")};
  EXPECT_TRUE(harness.run_until([&] { return harness.discovery_responses.empty(); }));
  EXPECT_TRUE(harness.run_until([&] { return has_discovery_call(harness); }));
  EXPECT_EQ(harness.discovery_request.substr(0, 18), "GET /api/targets H")
      << "changes before its restart may be missing";
}

TEST(EventOrder, DataAfterAResponseIsNotTakenForTheNextResponse) {
  const std::string unrequested = R"({"generation":3,"reset":true,"instances":[]})";
  for (const std::string& extra_response :
       {NodeHarness::http(unrequested),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2c\r\n" + unrequested + "\r\n0\r\n\r\n"}) {
    NodeHarness harness;
    EXPECT_TRUE(harness.run_until([&] { return has_discovery_call(harness); }));
    harness.discovery_responses = {complete_list(harness, 2, kAllEndpoints, "up") + extra_response};
    EXPECT_TRUE(harness.run_until(
        [&] { return harness.discovery_connections == 2 && has_discovery_call(harness); }, 2000))
        << "the connection is out of step and replaced by a new one";
    EXPECT_NE(harness.discovery_request.find("after=2&"), std::string::npos) << harness.discovery_request;
    const int client = harness.connect_client(request_line());
    const int host = harness.accept_endpoint_connection();
    harness.write(host, "UP x\r\n");
    EXPECT_EQ(harness.read(client), "UP x\r\n") << "the empty list was not requested and must not be applied";
  }
}

TEST(EventOrder, WithOnlyDrainingBindingARemovedEndpointIsStillUsed) {
  NodeHarness harness(1024, true, [](Configuration& to) {
    to.settings["guarantees"]["drainBindsAlone"] = true;
    to.settings["bounds"]["probes"] = true;
  });
  harness.discovery_responses = {NodeHarness::http(R"({"generation":2,"reset":true,"instances":[]})")};
  EXPECT_TRUE(harness.run_until([&] { return harness.discovery_responses.empty(); }));
  const int client = harness.connect_client(request_line());
  std::string answer;
  EXPECT_TRUE(harness.run_until([&] {  // the listener receives health checks and attempts
    Socket accepted(accept4(harness.endpoint_listener.descriptor(), nullptr, nullptr, SOCK_NONBLOCK));
    if (accepted)
      harness.keep_socket(std::move(accepted));
    for (Socket& socket : harness.sockets) {
      std::string line;
      bool has_ended = false;
      if (!socket || socket.descriptor() == client)
        continue;
      socket.receive(line, 4096, has_ended);
      if (line.starts_with("PING"))
        socket.send("PONG\r\n", 6);
      if (line.starts_with("OPEN"))
        socket.send("UP x\r\n", 6);
    }
    bool has_ended = false;
    harness.socket(client).receive(answer, 4096, has_ended);
    return answer == "UP x\r\n";
  })) << answer;
}

TEST(EventOrder, HealthCheckIsNotSentIfItsEndpointDrainsBeforeTheConnectionIsEstablished) {
  NodeHarness harness(1024, true, [](Configuration& to) {
    to.settings["bounds"]["probes"] = true;
    to.settings["bounds"]["dialTimeoutMs"] = 10000;
  });
  BlockedEndpointListener blocked(harness);
  harness.run_for(2500);  // by then health checks of all four endpoints are waiting for their connections
  harness.discovery_responses = {complete_list(harness, 2, kAllEndpoints, "draining")};
  EXPECT_TRUE(harness.run_until([&] { return harness.discovery_responses.empty(); }));
  harness.run_for(20);
  blocked.release();
  std::string received;
  harness.run_until(
      [&] {
        Socket accepted(accept4(harness.endpoint_listener.descriptor(), nullptr, nullptr, SOCK_NONBLOCK));
        if (accepted) {
          harness.keep_socket(std::move(accepted));
        }
        bool has_ended = false;
        for (Socket& socket : harness.sockets) {
          socket.receive(received, 4096, has_ended);
        }
        return !received.empty();
      },
      4500);  // a SYN that was not answered is retransmitted within this time
  EXPECT_EQ(received, "");
}

TEST(EventOrder, AdoptedConnectionIsMigratedOrClosedOnShutdownClientResetAndDrain) {
  for (const std::string event : {"shutdown", "client reset", "drain", "drain after UP"}) {
    SCOPED_TRACE(event);
    NodeHarness harness;
    const int client = harness.connect_client("OPEN 1 2 c=plain,t=x,d=4294967,at=h2\r\n");
    const int host = harness.accept_endpoint_connection();
    EXPECT_EQ(harness.read(host).substr(0, 5), "OPEN ");
    if (event == "drain after UP") {
      harness.write(host, "UP x\r\n");
      EXPECT_EQ(harness.read(client), "UP x\r\n");
    }
    if (event == "client reset") {
      harness.reset(client);
    } else if (event == "shutdown") {
      harness.node->begin_shutdown();
    } else {
      harness.discovery_responses = {
          NodeHarness::http(R"({"generation":2,"reset":false,"instances":[{"instanceId":"h2","hostPort":")" +
                            NodeHarness::address_text(harness.endpoint_address) +
                            R"(","zone":"near","lifecycle":"draining"}]})")};
    }
    if (event != "client reset") {
      EXPECT_EQ(harness.read(client, 6, 9000), "MOVE\r\n");
    }
    EXPECT_TRUE(harness.is_closed_by_peer(host));
  }
}

// Two events in both orders, in one turn of the event loop and in consecutive turns, while an attempt that
// must not be repeated is in flight. Impossible pairs are skipped: a host cannot answer after its reset, a
// client cannot leave twice, and a host cannot answer twice.
TEST(EventOrder, AnswersFollowTheRulesForEachPairOfEventsInBothOrders) {
  const std::vector<std::string> events = {"client FIN", "client RST", "UP",     "BUSY",
                                           "host RST",   "drain",      "SIGTERM"};
  const auto contains = [](const std::string& event, const char* part) {
    return event.find(part) != std::string::npos;
  };
  int combinations = 0;
  for (const std::string& first : events) {
    for (const std::string& second : events) {
      for (const bool in_consecutive_turns : {false, true}) {
        const bool client_leaves_twice = contains(first, "client") && contains(second, "client");
        const bool answer_after_reset = first == "host RST" && (second == "UP" || second == "BUSY");
        const bool two_answers = (first == "UP" || first == "BUSY") && (second == "UP" || second == "BUSY");
        if (first == second || client_leaves_twice || answer_after_reset || two_answers) {
          continue;
        }
        SCOPED_TRACE(first + (in_consecutive_turns ? ", in the next turn " : ", ") + second);
        ++combinations;
        NodeHarness harness(1024, true,
                            [](Configuration& to) { to.settings["lanes"][0]["semantics"] = "at_most_once"; });
        std::string line = request_line();
        line.replace(line.find("d=2000"), 6, "d=250");
        const int client = harness.connect_client(line);
        const int host = harness.accept_endpoint_connection();
        EXPECT_EQ(harness.read(host).substr(0, 5), "OPEN ");
        const auto trigger = [&](const std::string& event) {
          if (event == "client FIN") {
            harness.shut_down_writing(client);
          }
          if (event == "client RST") {
            harness.reset(client);
          }
          if (event == "UP" || event == "BUSY") {
            harness.socket(host).send((event + "\r\n").data(), event.size() + 2);
          }
          if (event == "host RST") {
            harness.reset(host);
          }
          if (event == "drain") {
            harness.discovery_responses = {complete_list(harness, 2, kAllEndpoints, "draining")},
            harness.run_once();  // sends the response
          }
          if (event == "SIGTERM") {
            harness.node->begin_shutdown();
          }
        };
        trigger(first);
        if (in_consecutive_turns) {
          harness.run_once();
        }
        trigger(second);
        const bool client_left = contains(first, "client") || contains(second, "client");
        std::string received;
        bool has_ended = false;
        int further_attempts = 0;
        harness.run_until([&] {
          Socket accepted(accept4(harness.endpoint_listener.descriptor(), nullptr, nullptr, SOCK_NONBLOCK));
          if (accepted) {
            ++further_attempts, accepted.send("BUSY\r\n", 6), harness.keep_socket(std::move(accepted));
          }
          return first == "client RST" || second == "client RST" ||
                 !harness.socket(client).receive(received, 4096, has_ended) || has_ended ||
                 received.find('\n') != std::string::npos;
        });
        harness.run_for(30);
        const bool up = first == "UP" || second == "UP";
        const bool busy = first == "BUSY" || second == "BUSY";
        if (!busy) {
          EXPECT_EQ(further_attempts, 0) << "a request that may have run is not attempted again";
        }
        if (!client_left && up) {
          EXPECT_EQ(received.substr(0, 4), "UP\r\n");
        }
        if (!client_left && busy) {
          EXPECT_EQ(received.substr(0, 4), "BUSY");
        }
        if (!client_left && !up && !busy) {
          EXPECT_EQ(received, "ERR\r\n") << "the request may have run";
        }
        // After UP there may be a MOVE.
        EXPECT_LE(std::count(received.begin(), received.end(), '\n'), up ? 2 : 1) << received;
        if (client_left && first != "host RST" && second != "host RST") {
          EXPECT_TRUE(harness.is_closed_by_peer(host)) << "the connection to the host is closed";
        }
      }
    }
  }
  EXPECT_EQ(combinations, 72);
}
