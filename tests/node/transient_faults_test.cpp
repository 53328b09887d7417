// Transient system call failures on established connections, final answers, calls to discovery, reloads and
// the start of the node.
#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>

#include "node/reload.h"
#include "support/fixtures.h"
#include "support/system_faults.h"

using namespace dapplewharf;
using faults::SystemCall;

namespace {

struct TransientFaults : ::testing::Test {
  TransientFaults() { faults::clear(); }
  ~TransientFaults() override { faults::clear(); }
};

// Returns a request line whose id is unique in this process.
std::string request_line() {
  static int last_id = 0;
  return "OPEN 6b" + std::to_string(++last_id) + " 2e c=plain,t=x,d=2000" + "\r\n";
}

// Establishes a connection. Returns the sockets of the client and of the host.
std::pair<int, int> establish_connection(NodeHarness& harness) {
  const int client = harness.connect_client(request_line());
  const int host = harness.accept_endpoint_connection();
  EXPECT_EQ(harness.read(host).substr(0, 5), "OPEN ");
  harness.write(host, "UP x\r\n");
  EXPECT_EQ(harness.read(client), "UP x\r\n");
  return {client, host};
}

}  // namespace

TEST_F(TransientFaults, UnreachableHostMigratesTheClientAndAResetResetsIt) {
  for (const int error : {ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, ECONNRESET}) {
    SCOPED_TRACE(error);
    NodeHarness harness;
    const auto [client, host] = establish_connection(harness);
    harness.run_for(20);
    // Only for the node's socket, whose peer has the host's port.
    faults::inject({SystemCall::recv, error, 1, 0, 500, ntohs(harness.endpoint_address.sin_port)});
    harness.socket(host).send("a line\r\n", 8);
    if (error == ECONNRESET) {
      EXPECT_TRUE(harness.was_reset(client));
    } else {
      EXPECT_EQ(harness.read(client, 6), "MOVE\r\n");
    }
    faults::clear();
  }
}

TEST_F(TransientFaults, TransientReadAndWriteErrorsDoNotEndAConnection) {
  for (const auto& [call, error] : {std::pair(SystemCall::recv, ENOBUFS),
                                    {SystemCall::recv, EINTR},
                                    {SystemCall::recv, ENOMEM},
                                    {SystemCall::send, ENOBUFS},
                                    {SystemCall::send, EINTR},
                                    {SystemCall::send, ENOMEM}}) {
    SCOPED_TRACE(error);
    NodeHarness harness;
    const auto [client, host] = establish_connection(harness);
    faults::inject({call, error, 1, 0, 100, 0, 0, false, 0, 2});  // every second call
    harness.write(client, "there\r\n");
    EXPECT_EQ(harness.read(host, 7), "there\r\n");
    harness.write(host, "back\r\n");
    EXPECT_EQ(harness.read(client, 6), "back\r\n");
    faults::clear();
  }
}

TEST_F(TransientFaults, AnswersAreCompleteDespiteShortWrites) {
  NodeHarness harness(64);  // silent clients may hold an eighth of them
  faults::inject({SystemCall::send, 0, 1, 0, -1, 0, 0, true});
  const int pinging = harness.connect_client("PING\r\n");
  EXPECT_EQ(harness.read(pinging, 6), "PONG\r\n");
  const int longest_silent = harness.connect_client("");
  harness.run_for(200);  // longer than an ordinary client takes to send its request
  for (int i = 0; i < 12; ++i) {
    harness.connect_client("");
  }
  EXPECT_EQ(harness.read(longest_silent, 6), "BUSY\r\n") << "the longest silent client is evicted";
}

TEST_F(TransientFaults, HealthCheckThatThisMachineCannotSendDoesNotCountAgainstTheEndpoint) {
  LoadBalancerHarness harness;
  harness.start(3);
  for (int i = 0; i < 12; ++i) {
    FlatEvent unsent;
    unsent.kind = EventKind::health_check_ended, unsent.endpoint = "h1", unsent.outcome = Outcome::not_sent;
    harness.send_event(unsent);
    for (const FlatAction& action : harness.last_actions) {
      EXPECT_EQ(action.text.find("health_degraded signal=active"), std::string::npos) << action.text;
    }
  }
}

TEST_F(TransientFaults, DiscoveryIsCalledAgainAfterATransientConnectError) {
  for (const auto& [call, error] :
       {std::pair(SystemCall::connect, ENETUNREACH), {SystemCall::socket, ENFILE}}) {
    SCOPED_TRACE(error);
    NodeHarness harness;
    EXPECT_TRUE(harness.run_until(
        [&] { return harness.discovery_connections == 1 && harness.discovery_request.size() > 4; }));
    faults::inject({call, error, 1, 0, 300,
                    call == SystemCall::connect ? ntohs(harness.discovery_address.sin_port) : 0});
    const std::int64_t affected_before = faults::affected_calls();
    harness.socket(harness.keep_socket(std::move(harness.discovery_connection))).close_with_reset();
    EXPECT_TRUE(harness.run_until([&] { return harness.discovery_connections == 2; }, 3000));
    EXPECT_GT(faults::affected_calls(), affected_before);
    faults::clear();
  }
}

TEST_F(TransientFaults, ConfigurationIsReloadedOnceItsFileBecomesReadable) {
  NodeHarness harness;
  const std::string path = ::testing::TempDir() + "transient-faults-" + std::to_string(getpid()) + ".json";
  std::remove(path.c_str());
  const ConfigurationFiles files{path, "", ""};
  Reloader reloader(harness.loop, *harness.node, files);
  Socket new_discovery;
  const sockaddr_in new_address = NodeHarness::listen_on_loopback(new_discovery);
  reloader.reload();
  harness.run_for(300);
  nlohmann::json settings = harness.configuration.settings;
  std::ofstream(path) << nlohmann::json{{"name", "n0"},
                                        {"listen", harness.configuration.listen},
                                        {"discovery", NodeHarness::address_text(new_address)},
                                        {"seed", "1f"},
                                        {"settings", settings}};
  Socket connection;
  EXPECT_TRUE(harness.run_until(
      [&] {
        if (!connection)
          connection = Socket(accept4(new_discovery.descriptor(), nullptr, nullptr, SOCK_NONBLOCK));
        return static_cast<bool>(connection);
      },
      2000))
      << "discovery is called at the new address";
  std::remove(path.c_str());
}

TEST_F(TransientFaults, ListeningWaitsForADescriptor) {
  Socket listener;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  faults::inject({SystemCall::socket, ENFILE, 1, 0, 250});
  EXPECT_FALSE(listen_on(address, listener));
  EXPECT_TRUE(listener);
}

TEST_F(TransientFaults, OrdinaryClientsThatConnectAtOnceDoNotEvictEachOther) {
  NodeHarness harness(128);  // silent clients may hold an eighth of them, 16
  std::vector<int> clients;
  for (int i = 0; i < 30; ++i) {
    Socket socket;
    EXPECT_EQ(start_connecting(harness.node_address, 1024, 0, socket), ConnectStart::in_progress);
    clients.push_back(harness.keep_socket(std::move(socket)));
  }
  harness.run_for(20);  // the node has accepted all of them, and none has sent anything yet
  for (const int client : clients) {
    harness.write(client, "PING\r\n");
  }
  for (const int client : clients) {
    EXPECT_EQ(harness.read(client, 6), "PONG\r\n");
  }
}
