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

struct Fake {
  SettingsMap settings{{"nodes", 1.0},           {"zone", "near"},           {"cold_from", 0.3},
                       {"cold_time", 80000.0},   {"fall_time", 20000.0},     {"fall_multiple", 2.5},
                       {"drain_grace", 10000.0}, {"max_tries", 4.0},         {"probes_allowed", 1.0},
                       {"come_back_told", 1.0},  {"max_come_back", 15000.0}, {"message_goal.0", 500.0},
                       {"discovery", "pushed"}};
  std::unique_ptr<LoadBalancer> node;
  TimePoint now = 1000000;
  std::vector<Action> last;  // the answer to the latest event
  std::map<std::string, std::vector<std::string>> tries;
  std::map<std::string, int> probes;
  std::vector<std::string> moved;
  std::set<std::string> silent, failing;  // hosts that answer no probe, or answer with an error
  double load = -1;                       // that probes report, where it is not below 0

  Fake() {
    traffic(0, "plain", "idempotent", "all");
    traffic(1, "marked", "deduplicated", "zone");
    traffic(2, "once", "unrepeatable", "all");
  }

  void traffic(int i, const std::string& name, const std::string& effect, const std::string& group) {
    const std::string at = "traffic." + std::to_string(i) + ".";
    settings[at + "name"] = name;
    settings[at + "effect"] = effect;
    settings[at + "repeat_group"] = group;
    settings[at + "repeat_window"] = 5000.0;
    settings[at + "latency_goal"] = 8000.0;
  }

  static EndpointEntry listing(const std::string& host, const std::string& zone = "near",
                               TimePoint started = 0) {
    return {host, zone, zone == "near" ? 1 : 2, EndpointState::healthy, 1.0, started};
  }

  void start(int hosts, std::uint64_t seed = 7) {
    node = std::make_unique<LoadBalancer>(settings_from_map(settings), seed, now);
    Event list;
    list.kind = EventKind::list_copy;
    for (int i = 0; i < hosts; ++i) {
      list.listings.push_back(listing("h" + std::to_string(i)));
    }
    tell(list);
  }

  virtual ~Fake() = default;
  virtual const std::vector<Action>& tell(const Event& event) {
    last.clear();
    for (const PolicyAction& action : node->handle_events(now, {from_flat(event)})) {
      last.push_back(to_flat(action));
    }
    for (const Action& action : last) {
      if (action.kind == ActionKind::setup_try) {
        tries[action.id].push_back(action.host);
      }
      if (action.kind == ActionKind::probe) {
        ++probes[action.host];
      }
      if (action.kind == ActionKind::move) {
        moved.push_back(action.id);
      }
    }
    return last;
  }

  void list(EndpointEntry entry, EndpointState state) {
    Event event;
    event.kind = EventKind::list_changes;
    entry.state = state;
    event.listings.push_back(entry);
    tell(event);
  }

  void held(const std::string& host, double elsewhere) {  // what other nodes hold there
    Event word;
    word.kind = EventKind::peer_word;
    word.host = host;
    word.figure = elsewhere;
    tell(word);
  }

  Event wish_of(const std::string& tenant) const {
    Event event;
    event.kind = EventKind::attachment;
    event.tenant = tenant;
    event.traffic_type = "plain";
    event.expiry = now + 30000;
    return event;
  }

  std::string arrive(const std::string& id, std::int64_t key = 1, const std::string& type = "plain",
                     bool mid_flow = false, std::optional<std::int64_t> group = {}) {
    Event event = wish_of("");
    event.id = id;
    event.key = key;
    event.traffic_type = type;
    event.mid_flow = mid_flow;
    event.group = group;
    tell(event);
    return tries[id].empty() ? "" : tries[id].back();
  }

  void stand(const std::string& id, Duration took = 100) {
    Event event;
    event.kind = EventKind::established;
    event.id = id;
    event.host = tries[id].back();
    event.number = static_cast<int>(tries[id].size()) - 1;
    event.took = took;
    tell(event);
  }

  const std::vector<Action>& end(const std::string& id, Outcome outcome, bool final = false) {
    Event event;
    event.kind = EventKind::try_ended;
    event.id = id;
    event.host = tries[id].back();
    event.number = static_cast<int>(tries[id].size()) - 1;
    event.outcome = outcome;
    event.final = final;
    return tell(event);
  }

  const std::vector<Action>& delay(const std::string& id, Duration delay) {
    Event event;
    event.kind = EventKind::delay_told;
    event.id = id;
    event.host = tries[id].back();
    event.figure = static_cast<double>(delay);
    return tell(event);
  }

  // Answers the probes of the last step, and those that follow from the answers.
  void answer_probes() {
    std::vector<Action> asked = last;
    for (std::size_t i = 0; i < asked.size(); ++i) {
      if (asked[i].kind != ActionKind::probe) {
        continue;
      }
      Event answer;
      answer.kind = EventKind::probe_ended;
      answer.host = asked[i].host;
      answer.outcome = silent.count(answer.host)    ? Outcome::timed_out
                       : failing.count(answer.host) ? Outcome::error
                                                    : Outcome::succeeded;
      if (load >= 0) {
        answer.report = {load};
      }
      for (const Action& action : tell(answer)) {
        asked.push_back(action);
      }
    }
  }

  // Lets time pass: alarms come due, and every probe is answered at once unless its host is silent.
  void pass(Duration span) {
    for (const TimePoint until = now + span; now < until;) {
      now += 1000;
      Event alarm;
      alarm.number = 1;
      tell(alarm);
      answer_probes();
    }
  }

  Duration told(const std::string& id) const {  // when a rejected client was told to come back
    for (const Action& action : last) {
      if (action.kind == ActionKind::reject && action.id == id) {
        return action.time;
      }
    }
    return -1;
  }

  bool said(ActionKind kind, const std::string& id = "") const {
    return std::any_of(last.begin(), last.end(), [&](const Action& action) {
      return action.kind == kind && (id.empty() || action.id == id);
    });
  }
};

// A node on loopback sockets, with four hosts behind one listener and a discovery that says what it is told
// to. All in one thread: whoever waits lets the node's loop turn meanwhile.
struct Net {
  EventLoop loop;
  std::unique_ptr<Node> node;
  Configuration told;
  Socket hosts, discovery, call;
  std::vector<Socket> made;
  std::deque<std::string> answers;
  std::string asked;
  int calls = 0;  // connections that discovery took
  sockaddr_in front{}, hosts_at{}, discovery_at{};

  static std::string text_of(const sockaddr_in& at) {
    return "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
  }
  static sockaddr_in listening(Socket& socket) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_FALSE(listen_at(at, socket));
    socklen_t size = sizeof at;
    getsockname(socket.number(), reinterpret_cast<sockaddr*>(&at), &size);
    return at;
  }
  static std::string http(const std::string& body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  explicit Net(int descriptors = 1024, bool knows_a_list = true,
               const std::function<void(Configuration&)>& also = {}) {
    hosts_at = listening(hosts);
    const std::string at = text_of(hosts_at);
    nlohmann::json list = nlohmann::json::array();
    for (const char* id : {"h0", "h1", "h2", "h3"}) {
      list.push_back({{"instanceId", id}, {"hostPort", at}, {"zone", "near"}, {"lifecycle", "up"}});
    }
    Configuration& to = told;
    to.descriptors = descriptors;
    discovery_at = listening(discovery);
    to.discovery = text_of(discovery_at);
    {
      Socket free;
      front = listening(free);
    }
    to.listen = text_of(front);
    if (knows_a_list) {
      to.known = {{"generation", 1}, {"reset", true}, {"instances", list}};
    }
    to.env = nlohmann::json::parse(R"({"peersTotal": 1, "zone": "near", "discovery": "on_request",
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
  void moves_discovery() {
    discovery_at = listening(discovery);
    told.discovery = text_of(discovery_at);
    call.close();
    asked.clear();
    node->reload({told, ""});
  }

  void turn() {
    loop.turn(50);
    node->settle();
    if (!call) {
      call = Socket(accept4(discovery.number(), nullptr, nullptr, SOCK_NONBLOCK));
      calls += call ? 1 : 0;
    }
    bool ended = false;
    if (!call || !call.receive(asked, 4096, ended) || ended) {
      call.close(), asked.clear();
    }
    if (!call || answers.empty() || asked.find("\r\n\r\n") == std::string::npos) {
      return;
    }
    call.send(answers.front().data(), answers.front().size());
    answers.pop_front();
    asked.clear();
  }
  bool until(const std::function<bool()>& seen, int ms = 5000) {
    for (const TimePoint end = loop.now() + ms * 10; loop.now() < end;) {
      if (seen()) {
        return true;
      }
      turn();
    }
    return seen();
  }
  void run(int ms) {
    until([] { return false; }, ms);
  }

  int keep(Socket socket) {
    made.push_back(std::move(socket));
    return made.back().number();
  }
  Socket& socket(int number) {
    return *std::find_if(made.begin(), made.end(), [&](const Socket& one) { return one.number() == number; });
  }
  int client(const std::string& bytes) {
    Socket socket;
    EXPECT_EQ(dial(front, 1024, 0, socket), Dial::begun);
    const int number = keep(std::move(socket));
    run(10);
    write(number, bytes);
    return number;
  }
  int host_accepts() {
    Socket taken;
    until([&] {
      if (!taken) {
        taken = Socket(accept4(hosts.number(), nullptr, nullptr, SOCK_NONBLOCK));
      }
      return static_cast<bool>(taken);
    });
    EXPECT_TRUE(taken);
    return keep(std::move(taken));
  }
  void write(int number, const std::string& bytes) {
    std::size_t sent = 0;
    until([&] {
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
    until(take, ms);
    run(20);
    take();
    return bytes;
  }
  bool ended(int number) {
    std::string ignored;
    bool end = false;
    return until([&] { return !socket(number).receive(ignored, 65536, end) || end; });
  }
  bool was_reset(int number) {
    std::string ignored;
    bool end = false;
    return until([&] { return !socket(number).receive(ignored, 65536, end); }) && !end;
  }
  void finish(int number) { socket(number).finish(); }
  void reset(int number) { socket(number).abort(); }
};

}  // namespace dapplewharf
