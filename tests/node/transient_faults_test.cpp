// Faults that pass, on the other paths of the node: what stands, what is answered in passing, reloads,
// starts.
#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>

#include "node/reload.h"
#include "support/fixtures.h"
#include "support/system_faults.h"

using namespace dapplewharf;
using faults::SystemCall;

namespace {

struct Passing : ::testing::Test {
  Passing() { faults::clear(); }
  ~Passing() override { faults::clear(); }
};

std::string opening(const std::string& more = "") {
  static int last = 0;
  return "OPEN 6b" + std::to_string(++last) + " 2e c=plain,t=x,d=2000" + more + "\r\n";
}

// A client that stands at a host.
std::pair<int, int> standing(NodeHarness& harness) {
  const int client = harness.connect_client(opening());
  const int host = harness.accept_endpoint_connection();
  EXPECT_EQ(harness.read(host).substr(0, 5), "OPEN ");
  harness.write(host, "UP x\r\n");
  EXPECT_EQ(harness.read(client), "UP x\r\n");
  return {client, host};
}

}  // namespace

TEST_F(Passing, AHostThatCannotBeReachedMovesItsClientAndOneThatResetsEndsIt) {
  for (const int error : {ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, ECONNRESET}) {
    SCOPED_TRACE(error);
    NodeHarness harness;
    const auto [client, host] = standing(harness);
    harness.run_for(20);
    // At the node alone: its peer there is the host's port.
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

TEST_F(Passing, AReadOrWriteThatFailsForAMomentCutsNobodyOff) {
  for (const auto& [call, error] : {std::pair(SystemCall::recv, ENOBUFS),
                                    {SystemCall::recv, EINTR},
                                    {SystemCall::recv, ENOMEM},
                                    {SystemCall::send, ENOBUFS},
                                    {SystemCall::send, EINTR},
                                    {SystemCall::send, ENOMEM}}) {
    SCOPED_TRACE(error);
    NodeHarness harness;
    const auto [client, host] = standing(harness);
    faults::inject({call, error, 1, 0, 100, 0, 0, false, 0, 2});  // every second call
    harness.write(client, "there\r\n");
    EXPECT_EQ(harness.read(host, 7), "there\r\n");
    harness.write(host, "back\r\n");
    EXPECT_EQ(harness.read(client, 6), "back\r\n");
    faults::clear();
  }
}

TEST_F(Passing, ShortWritesChangeNoAnswer) {
  NodeHarness harness(64);  // an eighth of them for silent clients
  faults::inject({SystemCall::send, 0, 1, 0, -1, 0, 0, true});
  const int known = harness.connect_client("PING\r\n");
  EXPECT_EQ(harness.read(known, 6), "PONG\r\n");
  const int longest = harness.connect_client("");
  harness.run_for(200);  // it had its time
  for (int i = 0; i < 12; ++i) {
    harness.connect_client("");
  }
  EXPECT_EQ(harness.read(longest, 6), "BUSY\r\n") << "the longest silent gives way";
}

TEST_F(Passing, AProbeThatThisMachineCannotSendSaysNothingOfItsHost) {
  LoadBalancerHarness fleet;
  fleet.start(3);
  for (int i = 0; i < 12; ++i) {
    FlatEvent unsent;
    unsent.kind = EventKind::health_check_ended, unsent.endpoint = "h1", unsent.outcome = Outcome::not_sent;
    fleet.send_event(unsent);
    for (const FlatAction& action : fleet.last_actions) {
      EXPECT_EQ(action.text.find("health_degraded signal=active"), std::string::npos) << action.text;
    }
  }
}

TEST_F(Passing, AListServiceThatCannotBeDialledForAMomentIsAskedAgain) {
  for (const auto& [call, error] :
       {std::pair(SystemCall::connect, ENETUNREACH), {SystemCall::socket, ENFILE}}) {
    SCOPED_TRACE(error);
    NodeHarness harness;
    EXPECT_TRUE(harness.run_until(
        [&] { return harness.discovery_connections == 1 && harness.discovery_request.size() > 4; }));
    faults::inject({call, error, 1, 0, 300,
                    call == SystemCall::connect ? ntohs(harness.discovery_address.sin_port) : 0});
    const std::int64_t before = faults::affected_calls();
    harness.socket(harness.keep_socket(std::move(harness.discovery_connection))).close_with_reset();
    EXPECT_TRUE(harness.run_until([&] { return harness.discovery_connections == 2; }, 3000));
    EXPECT_GT(faults::affected_calls(), before);
    faults::clear();
  }
}

TEST_F(Passing, AFileThatCannotBeReadForAMomentIsTakenAfterwards) {
  NodeHarness harness;
  const std::string path = ::testing::TempDir() + "passing-" + std::to_string(getpid()) + ".json";
  std::remove(path.c_str());
  const Files files{path, "", ""};
  Reloader reloader(harness.loop, *harness.node, files);
  Socket elsewhere;
  const sockaddr_in there = NodeHarness::listen_on_loopback(elsewhere);
  reloader.reload();
  harness.run_for(300);
  nlohmann::json settings = harness.configuration.env;
  std::ofstream(path) << nlohmann::json{{"name", "n0"},
                                        {"listen", harness.configuration.listen},
                                        {"discovery", NodeHarness::address_text(there)},
                                        {"seed", "1f"},
                                        {"settings", settings}};
  Socket asked;
  EXPECT_TRUE(harness.run_until(
      [&] {
        if (!asked)
          asked = Socket(accept4(elsewhere.descriptor(), nullptr, nullptr, SOCK_NONBLOCK));
        return static_cast<bool>(asked);
      },
      2000))
      << "the new place of the list is asked";
  std::remove(path.c_str());
}

TEST_F(Passing, ANodeThatStartsWaitsForADescriptor) {
  Socket taken;
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  faults::inject({SystemCall::socket, ENFILE, 1, 0, 250});
  EXPECT_FALSE(listen_on(at, taken));
  EXPECT_TRUE(taken);
}

TEST_F(Passing, ManyUsualClientsThatComeAtOnceDoNotGiveWayToOneAnother) {
  NodeHarness harness(128);  // an eighth of them, 16, for silent clients
  std::vector<int> clients;
  for (int i = 0; i < 30; ++i) {
    Socket socket;
    EXPECT_EQ(start_connecting(harness.node_address, 1024, 0, socket), ConnectStart::in_progress);
    clients.push_back(harness.keep_socket(std::move(socket)));
  }
  harness.run_for(20);  // the node has accepted them all, and none has said anything yet
  for (const int client : clients) {
    harness.write(client, "PING\r\n");
  }
  for (const int client : clients) {
    EXPECT_EQ(harness.read(client, 6), "PONG\r\n");
  }
}
