// Tests of a node whose discovery pushes changes, is running and turns calls away, so that the list may
// change without this node's knowledge. Guards against new work by the list of before, which reached a
// draining endpoint until the service took calls again (review/8).
#include "node/request_line.h"
#include "support/fixtures.h"

using namespace dapplewharf;

namespace {

const std::string kBusy = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
const std::string kNoChanges = R"({"generation":1,"reset":false,"instances":[]})";
constexpr Duration kLateAnswer = 700 * kMs;

enum class Discovery { answers_503_at_once, answers_503_late, resets_requests, resets_connections };

// A node in service or just started, and its discovery in this kind of trouble.
struct OverloadHarness {
  Discovery discovery;
  NodeHarness node;
  TimePoint request_since = 0;

  OverloadHarness(Discovery kind, bool is_in_service)
      : discovery(kind), node(1024, true, [](Configuration& configuration) {
          configuration.settings["discovery"] = "pushed";
        }) {
    if (is_in_service) {
      node.discovery_responses = {NodeHarness::http(kNoChanges)};
      EXPECT_TRUE(
          node.run_until([&] { return node.discovery_request.find("wait_ms=3000") != std::string::npos; }));
      node.run_for(200);
      node.discovery_responses = {kBusy};
    }
  }

  void fail_call() {
    if (discovery == Discovery::resets_connections && node.discovery_connection) {
      node.discovery_connection.close_with_reset();
    }
    if (node.discovery_request.find("\r\n\r\n") == std::string::npos) {
      request_since = 0;
      return;
    }
    request_since = request_since > 0 ? request_since : node.loop.now();
    if (discovery == Discovery::resets_requests) {
      node.discovery_request.clear();
      node.discovery_connection.close_with_reset();
    } else if (discovery == Discovery::answers_503_at_once ||
               node.loop.now() - request_since >= kLateAnswer) {
      node.discovery_responses = {kBusy};
    }
  }
  bool run_until(const std::function<bool()>& condition, int timeout_ms) {
    return node.run_until([&] { return fail_call(), condition(); }, timeout_ms);
  }
  void run_for(int duration_ms) {
    run_until([] { return false; }, duration_ms);
  }
  bool has_endpoint_connection() {
    return static_cast<bool>(
        Socket(accept4(node.endpoint_listener.descriptor(), nullptr, nullptr, SOCK_NONBLOCK)));
  }
  std::string answer_to(const std::string& line, int timeout_ms) {
    const int client = node.connect_client(line);
    std::string answer;
    bool ended = false;
    run_until([&] { return node.socket(client).receive(answer, 100, ended), !answer.empty(); }, timeout_ms);
    return answer;
  }
};

}  // namespace

TEST(OverloadedDiscovery, NewWorkWaitsForAsLongAsCallsAreTurnedAway) {
  for (const auto kind :
       {Discovery::answers_503_at_once, Discovery::answers_503_late, Discovery::resets_requests}) {
    for (const bool is_in_service : {true, false}) {
      OverloadHarness harness(kind, is_in_service);
      harness.run_for(3600);
      EXPECT_EQ(harness.answer_to("OPEN 5d 2e c=plain,t=x,d=1000\r\n", 1000).substr(0, 5), "BUSY ")
          << "kind " << static_cast<int>(kind) << ", in service " << is_in_service;
      EXPECT_FALSE(harness.has_endpoint_connection()) << "sent by the list of before";
      harness.node.connect_client(request_line());
      harness.discovery = Discovery::answers_503_late;  // at present; the list comes before that
      EXPECT_TRUE(harness.node.run_until(
          [&] { return harness.node.discovery_request.find("\r\n\r\n") != std::string::npos; }, 2000));
      harness.node.discovery_responses = {NodeHarness::http(kNoChanges)};
      EXPECT_TRUE(harness.node.run_until([&] { return harness.has_endpoint_connection(); }, 1000));
    }
  }
}

// Guards against a node that waits for a discovery that is down as for one that is overloaded.
TEST(OverloadedDiscovery, NewWorkGoesByTheListOfBeforeOnceConnectionsAreRefusedOrReset) {
  for (const bool is_refused : {true, false}) {
    OverloadHarness harness(Discovery::answers_503_at_once, true);
    harness.run_for(2500);
    harness.node.connect_client(request_line());
    harness.run_for(200);
    EXPECT_FALSE(harness.has_endpoint_connection());
    harness.discovery = Discovery::resets_connections;
    if (is_refused) {
      harness.node.discovery_listener.close();
    }
    EXPECT_TRUE(harness.run_until([&] { return harness.has_endpoint_connection(); }, 1500)) << is_refused;
  }
}

// Guards against a start that a front takes for a crash.
TEST(OverloadedDiscovery, PingIsAnsweredWhileNewWorkWaitsForTheFirstList) {
  OverloadHarness harness(Discovery::answers_503_at_once, false);
  EXPECT_EQ(harness.answer_to("PING\r\n", 5500), "PONG\r\n");
  EXPECT_EQ(harness.answer_to("OPEN 5d 2e c=plain,t=x,d=600\r\n", 700).substr(0, 4), "BUSY");
  EXPECT_FALSE(harness.has_endpoint_connection());
}
