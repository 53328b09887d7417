// What the stories share: a tiny fake fleet that feeds a LoadBalancer and remembers what it asked for, and a
// node on loopback sockets.
#pragma once
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <algorithm>
#include <deque>
#include <set>

#include "node/node.h"
#include "policy/load_balancer.h"
#include "support/flat_conversions.h"

namespace dapplewharf {

struct LoadBalancerHarness {
  SettingsMap settings{{"nodes", 1.0},           {"zone", "near"},           {"cold_from", 0.3},
                       {"cold_time", 80000.0},   {"fall_time", 20000.0},     {"fall_multiple", 2.5},
                       {"drain_grace", 10000.0}, {"max_tries", 4.0},         {"probes_allowed", 1.0},
                       {"come_back_told", 1.0},  {"max_come_back", 15000.0}, {"message_goal.0", 500.0},
                       {"discovery", "pushed"}};
  std::unique_ptr<LoadBalancer> load_balancer;
  TimePoint now = 1000000;
  std::vector<FlatAction> last_actions;  // the answer to the latest event
  std::map<std::string, std::vector<std::string>> attempts;
  std::map<std::string, int> health_checks;
  std::vector<std::string> migrated;
  std::set<std::string> silent_endpoints,
      failing_endpoints;      // hosts that answer no probe, or answer with an error
  double reported_load = -1;  // that probes report, where it is not below 0

  LoadBalancerHarness() {
    define_traffic_class(0, "plain", "idempotent", "all");
    define_traffic_class(1, "marked", "deduplicated", "zone");
    define_traffic_class(2, "once", "unrepeatable", "all");
  }

  void define_traffic_class(int i, const std::string& name, const std::string& effect,
                            const std::string& group) {
    const std::string at = "traffic." + std::to_string(i) + ".";
    settings[at + "name"] = name;
    settings[at + "effect"] = effect;
    settings[at + "repeat_group"] = group;
    settings[at + "repeat_window"] = 5000.0;
    settings[at + "latency_goal"] = 8000.0;
  }

  static EndpointEntry endpoint_entry(const std::string& host, const std::string& zone = "near",
                                      TimePoint started = 0) {
    return {host, zone, zone == "near" ? 1 : 2, EndpointState::healthy, 1.0, started};
  }

  void start(int hosts, std::uint64_t seed = 7) {
    load_balancer = std::make_unique<LoadBalancer>(settings_from_map(settings), seed, now);
    FlatEvent list;
    list.kind = EventKind::endpoints_cached;
    for (int i = 0; i < hosts; ++i) {
      list.entries.push_back(endpoint_entry("h" + std::to_string(i)));
    }
    send_event(list);
  }

  virtual ~LoadBalancerHarness() = default;
  virtual const std::vector<FlatAction>& send_event(const FlatEvent& event) {
    last_actions.clear();
    for (const PolicyAction& action : load_balancer->handle_events(now, {from_flat(event)})) {
      last_actions.push_back(to_flat(action));
    }
    for (const FlatAction& action : last_actions) {
      if (action.kind == ActionKind::start_attempt) {
        attempts[action.id].push_back(action.host);
      }
      if (action.kind == ActionKind::check_health) {
        ++health_checks[action.host];
      }
      if (action.kind == ActionKind::migrate_connection) {
        migrated.push_back(action.id);
      }
    }
    return last_actions;
  }

  void update_endpoint(EndpointEntry entry, EndpointState state) {
    FlatEvent event;
    event.kind = EventKind::endpoints_update;
    entry.state = state;
    event.entries.push_back(entry);
    send_event(event);
  }

  void report_peer_connections(const std::string& host, double elsewhere) {  // what other nodes hold there
    FlatEvent word;
    word.kind = EventKind::gossip_received;
    word.host = host;
    word.figure = elsewhere;
    send_event(word);
  }

  FlatEvent request_from_tenant(const std::string& tenant) const {
    FlatEvent event;
    event.kind = EventKind::request_received;
    event.tenant = tenant;
    event.traffic_type = "plain";
    event.deadline = now + 30000;
    return event;
  }

  std::string send_request(const std::string& id, std::int64_t key = 1, const std::string& type = "plain",
                           bool mid_flow = false, std::optional<std::int64_t> group = {}) {
    FlatEvent event = request_from_tenant("");
    event.id = id;
    event.client_key = key;
    event.traffic_type = type;
    event.is_mid_connection = mid_flow;
    event.affinity_group = group;
    send_event(event);
    return attempts[id].empty() ? "" : attempts[id].back();
  }

  void establish(const std::string& id, Duration took = 100) {
    FlatEvent event;
    event.kind = EventKind::attempt_established;
    event.id = id;
    event.host = attempts[id].back();
    event.number = static_cast<int>(attempts[id].size()) - 1;
    event.duration = took;
    send_event(event);
  }

  const std::vector<FlatAction>& end_attempt(const std::string& id, Outcome outcome, bool final = false) {
    FlatEvent event;
    event.kind = EventKind::attempt_ended;
    event.id = id;
    event.host = attempts[id].back();
    event.number = static_cast<int>(attempts[id].size()) - 1;
    event.outcome = outcome;
    event.final = final;
    return send_event(event);
  }

  const std::vector<FlatAction>& report_latency(const std::string& id, Duration delay) {
    FlatEvent event;
    event.kind = EventKind::latency_reported;
    event.id = id;
    event.host = attempts[id].back();
    event.figure = static_cast<double>(delay);
    return send_event(event);
  }

  // Answers the probes of the last step, and those that follow from the answers.
  void answer_health_checks() {
    std::vector<FlatAction> asked = last_actions;
    for (std::size_t i = 0; i < asked.size(); ++i) {
      if (asked[i].kind != ActionKind::check_health) {
        continue;
      }
      FlatEvent answer;
      answer.kind = EventKind::health_check_ended;
      answer.host = asked[i].host;
      answer.outcome = silent_endpoints.count(answer.host)    ? Outcome::timed_out
                       : failing_endpoints.count(answer.host) ? Outcome::error
                                                              : Outcome::succeeded;
      if (reported_load >= 0) {
        answer.report = {reported_load};
      }
      for (const FlatAction& action : send_event(answer)) {
        asked.push_back(action);
      }
    }
  }

  // Lets time pass: alarms come due, and every probe is answered at once unless its host is silent.
  void advance_time(Duration span) {
    for (const TimePoint until = now + span; now < until;) {
      now += 1000;
      FlatEvent alarm;
      alarm.number = 1;
      send_event(alarm);
      answer_health_checks();
    }
  }

  Duration retry_after(const std::string& id) const {  // when a rejected client was told to come back
    for (const FlatAction& action : last_actions) {
      if (action.kind == ActionKind::reject_request && action.id == id) {
        return action.time;
      }
    }
    return -1;
  }

  bool has_action(ActionKind kind, const std::string& id = "") const {
    return std::any_of(last_actions.begin(), last_actions.end(), [&](const FlatAction& action) {
      return action.kind == kind && (id.empty() || action.id == id);
    });
  }
};

// A node on loopback sockets, with four hosts behind one listener and a discovery that says what it is told
// to. All in one thread: whoever waits lets the node's loop turn meanwhile.
struct NodeHarness {
  EventLoop loop;
  std::unique_ptr<Node> node;
  Configuration configuration;
  Socket endpoint_listener, discovery_listener, discovery_connection;
  std::vector<Socket> sockets;
  std::deque<std::string> discovery_responses;
  std::string discovery_request;
  int discovery_connections = 0;  // connections that discovery took
  sockaddr_in node_address{}, endpoint_address{}, discovery_address{};

  static std::string address_text(const sockaddr_in& at) {
    return "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
  }
  static sockaddr_in listen_on_loopback(Socket& socket) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_FALSE(listen_on(at, socket));
    socklen_t size = sizeof at;
    getsockname(socket.descriptor(), reinterpret_cast<sockaddr*>(&at), &size);
    return at;
  }
  static std::string http(const std::string& body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  explicit NodeHarness(int descriptors = 1024, bool knows_a_list = true,
                       const std::function<void(Configuration&)>& also = {}) {
    endpoint_address = listen_on_loopback(endpoint_listener);
    const std::string at = address_text(endpoint_address);
    nlohmann::json list = nlohmann::json::array();
    for (const char* id : {"h0", "h1", "h2", "h3"}) {
      list.push_back({{"instanceId", id}, {"hostPort", at}, {"zone", "near"}, {"lifecycle", "up"}});
    }
    Configuration& to = configuration;
    to.descriptors = descriptors;
    discovery_address = listen_on_loopback(discovery_listener);
    to.discovery = address_text(discovery_address);
    {
      Socket free;
      node_address = listen_on_loopback(free);
    }
    to.listen = address_text(node_address);
    if (knows_a_list) {
      to.cached_endpoint_list = {{"generation", 1}, {"reset", true}, {"instances", list}};
    }
    to.settings = nlohmann::json::parse(R"({"peersTotal": 1, "zone": "near", "discovery": "on_request",
      "guarantees": {"coldFrom": 0.3, "coldMs": 8000, "fallMs": 2000, "fallMultiple": 2.5, "stopSendingWithinMs": 1000},
      "bounds": {"maxAttempts": 4, "maxRetryAfterMs": 1500, "retryAfter": true, "probes": false, "dialTimeoutMs": 250},
      "extra": {"messageAimMs": [50]}, "lanes": [{"name": "plain", "semantics": "idempotent", "group": "all",
      "windowMs": 5000, "objectiveMs": 800, "hardLimitMs": 2000}]})");
    if (also) {
      also(to);
    }
    node = std::make_unique<Node>(loop, to);
    EXPECT_FALSE(node->start());
  }

  // SIGHUP with a file that names a discovery of its own.
  void reload_with_new_discovery() {
    discovery_address = listen_on_loopback(discovery_listener);
    configuration.discovery = address_text(discovery_address);
    discovery_connection.close();
    discovery_request.clear();
    node->reload({configuration, ""});
  }

  void run_once() {
    loop.run_once(50);
    node->process_events();
    if (!discovery_connection) {
      discovery_connection =
          Socket(accept4(discovery_listener.descriptor(), nullptr, nullptr, SOCK_NONBLOCK));
      discovery_connections += discovery_connection ? 1 : 0;
    }
    bool ended = false;
    if (!discovery_connection || !discovery_connection.receive(discovery_request, 4096, ended) || ended) {
      discovery_connection.close(), discovery_request.clear();
    }
    if (!discovery_connection || discovery_responses.empty() ||
        discovery_request.find("\r\n\r\n") == std::string::npos) {
      return;
    }
    discovery_connection.send(discovery_responses.front().data(), discovery_responses.front().size());
    discovery_responses.pop_front();
    discovery_request.clear();
  }
  bool run_until(const std::function<bool()>& seen, int ms = 5000) {
    for (const TimePoint end = loop.now() + ms * 10; loop.now() < end;) {
      if (seen()) {
        return true;
      }
      run_once();
    }
    return seen();
  }
  void run_for(int ms) {
    run_until([] { return false; }, ms);
  }

  int keep_socket(Socket socket) {
    sockets.push_back(std::move(socket));
    return sockets.back().descriptor();
  }
  Socket& socket(int number) {
    return *std::find_if(sockets.begin(), sockets.end(),
                         [&](const Socket& one) { return one.descriptor() == number; });
  }
  int connect_client(const std::string& bytes) {
    Socket socket;
    EXPECT_EQ(start_connecting(node_address, 1024, 0, socket), ConnectStart::in_progress);
    const int number = keep_socket(std::move(socket));
    run_for(10);
    write(number, bytes);
    return number;
  }
  int accept_endpoint_connection() {
    Socket taken;
    run_until([&] {
      if (!taken) {
        taken = Socket(accept4(endpoint_listener.descriptor(), nullptr, nullptr, SOCK_NONBLOCK));
      }
      return static_cast<bool>(taken);
    });
    EXPECT_TRUE(taken);
    return keep_socket(std::move(taken));
  }
  void write(int number, const std::string& bytes) {
    std::size_t sent = 0;
    run_until([&] {
      sent += socket(number).send(bytes.data() + sent, bytes.size() - sent).value_or(0);
      return sent == bytes.size();
    });
    EXPECT_EQ(sent, bytes.size());
  }
  // What comes within a moment of the first `least` bytes.
  std::string read(int number, std::size_t least = 1, int ms = 5000) {
    std::string bytes;
    bool ended = false;
    const auto take = [&] { return socket(number).receive(bytes, 65536, ended), bytes.size() >= least; };
    run_until(take, ms);
    run_for(20);
    take();
    return bytes;
  }
  bool is_closed_by_peer(int number) {
    std::string ignored;
    bool end = false;
    return run_until([&] { return !socket(number).receive(ignored, 65536, end) || end; });
  }
  bool was_reset(int number) {
    std::string ignored;
    bool end = false;
    return run_until([&] { return !socket(number).receive(ignored, 65536, end); }) && !end;
  }
  void shut_down_writing(int number) { socket(number).shut_down_sending(); }
  void reset(int number) { socket(number).close_with_reset(); }
};

}  // namespace dapplewharf
