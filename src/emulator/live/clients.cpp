// The clients and the front that deals them out, on sockets: each wish of the plan as one client that comes,
// speaks, is moved or cut off and comes again. Owns clients' connections and what they have seen; knows no
// host.
#include <poll.h>
#include <spdlog/fmt/fmt.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <stdexcept>

#include "emulator/live/rig_process.h"
#include "emulator/model/chance.h"

namespace dapplewharf::emulator {
namespace {

constexpr Duration kPingEvery = 300 * kMs;   // to a node that is not dealt to
constexpr Duration kFrontStops = 300 * kMs;  // the front still deals to a node that stops
constexpr Duration kNodeEnds = 3600 * kMs;
constexpr Duration kNoNode = 500 * kMs;
constexpr Duration kLingers = 20 * kMs;  // over its time, a client waits for an answer that is late
constexpr std::size_t kMost = 16 * 1024;
constexpr long kWaitsForAll = 4294967;  // ms: what one that stood before the run says it will wait
constexpr double kResumedMs = 40000;    // protocol page: when it is lost
constexpr Duration kNodesReady = 30 * kSecond;

class Clients : public RigProcess {
 public:
  using RigProcess::RigProcess;

 private:
  struct Client {
    Socket socket;
    Handle watched;
    bool begun = false, done = false, waiting = false, standing = false, written = false, closing = false;
    int attempt = 0, failures = 0, node = -1;
    std::string id, in, out;
    TimePoint begun_at = 0, wish_until = 0, sent = 0;
    EventLoop::Deadline comes, expires, leaves, speaks;
    std::deque<std::pair<std::string, TimePoint>> lines;  // sent and not yet back
    TimePoint line_at = 0;                                // when the last one went
    bool line_good = false, quiet = false;
    TimePoint credited = 0;  // until when its time has been counted
    long number = 0;
  };
  struct Node {
    Socket ping;
    Handle watched;
    bool dealt = false, stops = false, noticed = false;
    std::string in;
    EventLoop::Deadline next;
  };

  void prepare() override {
    clients_.resize(plan_.sessions.size());
    nodes_.resize(static_cast<std::size_t>(scenario_.node_count));
    zone_turns_.assign(scenario_.zones.size(), 0);
    patience_ = loop_.now() + kNodesReady;
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      ping(n);
    }
  }
  bool prepared() override {
    if (loop_.now() > patience_) {
      throw std::runtime_error("a node did not answer PING within 30 s of its start");
    }
    return std::all_of(nodes_.begin(), nodes_.end(), [](const Node& node) { return node.dealt; });
  }

  void begin() override {
    for (std::size_t i = 0; i < clients_.size(); ++i) {
      comes_at(i, resumed(i) ? 0 : from_seconds(plan_.sessions[i].arrival_s));
    }
    for (std::size_t i = 0; i < plan_.faults.size(); ++i) {
      const PlannedFault& planned = plan_.faults[i];
      const TimePoint when = from_seconds(planned.fault.start_s);
      if (planned.fault.kind == FaultKind::surge) {
        once(when, [this, i] { crowd_comes(i); });
        once(when + from_seconds(planned.fault.duration_s), [this] { crowd_.clear(); });
      }
      if (planned.fault.kind == FaultKind::disconnect) {
        once(when, [this, i] { drop(i); });
      }
      if (planned.fault.kind != FaultKind::node_restarted) {
        continue;
      }
      for (const int node : planned.nodes) {
        Node& stops = nodes_[static_cast<std::size_t>(node)];
        once(when + kFrontStops, [&stops] { stops.dealt = false, stops.stops = true; });
        once(when + kNodeEnds + kFrontStops, [this, &stops, node] {
          stops.stops = false;
          ping(static_cast<std::size_t>(node));
        });
      }
    }
    every_second(0);
  }
  void end() override {
    for (std::size_t i = 0; i < clients_.size(); ++i) {
      Client& client = clients_[i];
      if (!client.begun || client.done) {
        continue;
      }
      wish_ends(i, std::min(now(), from_seconds(scenario_.duration_s)));
      if (client.standing) {
        credit(i, now());
      }
    }
  }
  void every_second(TimePoint when) {
    records_.add(
        now(), Seen::standing, "",
        std::count_if(clients_.begin(), clients_.end(), [](const Client& one) { return one.standing; }));
    once(when + kSecond, [this, when] { every_second(when + kSecond); });
  }

  // --- the front ---

  void ping(std::size_t n) {
    Node& node = nodes_[n];
    if (node.dealt || node.stops) {
      return;
    }
    loop_.unwatch(node.watched);
    node.watched = {}, node.in.clear();
    node.ping = Socket();
    loop_.schedule(node.next, loop_.now() + kPingEvery, [this, n] { ping(n); });
    if (start_connecting(*parse_address(addresses_.node(static_cast<int>(n))), 1 << 20, 0, node.ping) !=
        ConnectStart::in_progress) {
      return;
    }
    node.watched = loop_.watch(node.ping.descriptor(), POLLOUT, [this, n](short what) { pinged(n, what); });
  }
  void pinged(std::size_t n, short what) {
    Node& node = nodes_[n];
    if (what & POLLOUT) {
      if (!node.ping.is_connected() || !node.ping.send("PING\r\n", 6)) {
        return loop_.unwatch(node.watched);
      }
      return loop_.update_interest(node.watched, POLLIN);
    }
    bool ended = false;
    const auto got = node.ping.receive(node.in, 64, ended);
    if (node.in == "PONG\r\n") {
      node.dealt = true, node.noticed = false, loop_.cancel(node.next);
    }
    if (!got || ended || node.dealt) {
      loop_.unwatch(node.watched);
      node.ping = Socket();
    }
  }
  void notices(std::size_t n) {
    if (std::exchange(nodes_[n].noticed, true)) {
      return;
    }
    once(now() + from_seconds(scenario_.front_detection_s), [this, n] {
      nodes_[n].dealt = false;
      ping(n);
    });
  }
  int dealt_to(int zone) {
    for (const bool anywhere : {false, true}) {
      for (std::size_t k = 0; k < nodes_.size(); ++k) {
        const std::size_t n = zone_turns_[static_cast<std::size_t>(zone)]++ % nodes_.size();
        if (nodes_[n].dealt && (anywhere || plan_.zone_of_node(static_cast<int>(n), scenario_) == zone)) {
          return static_cast<int>(n);
        }
      }
    }
    return -1;
  }

  // --- a client ---

  const Session& session(std::size_t i) const { return plan_.sessions[i]; }
  const TrafficType& type_of(std::size_t i) const {
    return scenario_.traffic_types[static_cast<std::size_t>(session(i).traffic)];
  }

  void comes_at(std::size_t i, TimePoint when) {
    at(clients_[i].comes, when, [this, i] { comes(i); });
  }

  void comes(std::size_t i) {
    Client& client = clients_[i];
    if (client.done || client.standing || client.waiting) {
      return;
    }
    if (!client.begun) {
      client.begun = true;
      client.wish_until = now() + from_seconds(session(i).lifetime_s);
      once(client.wish_until, [this, i] { wish_over(i); });
      client.begun_at = now();
    }
    if (now() >= from_seconds(scenario_.duration_s)) {
      return;
    }
    client.node = dealt_to(session(i).zone);
    if (client.node < 0) {
      return comes_at(i, now() + kNoNode);
    }
    client.id = request_id_of(session(i), ++client.attempt);
    client.in.clear(), client.lines.clear();
    client.waiting = true, client.written = client.closing = false;
    client.sent = now();
    const ConnectStart dialled =
        start_connecting(*parse_address(addresses_.node(client.node)), 1 << 20, 0, client.socket);
    if (dialled == ConnectStart::no_descriptor) {
      report_descriptors_exhausted();
    }
    if (dialled != ConnectStart::in_progress) {
      return refused(i);
    }
    const int attempt = client.attempt;
    client.watched = loop_.watch(client.socket.descriptor(), POLLOUT, [this, i, attempt](short what) {
      if (clients_[i].attempt == attempt) {
        ready(i, what);
      }
    });
  }

  // Connections that say nothing and stay, to all nodes that are dealt to.
  void crowd_comes(std::size_t t) {
    const auto each = static_cast<std::size_t>(plan_.faults[t].fault.magnitude);
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      for (std::size_t k = 0; nodes_[n].dealt && k < each; ++k) {
        Socket silent;
        if (start_connecting(*parse_address(addresses_.node(static_cast<int>(n))), 1 << 20, 0, silent) ==
            ConnectStart::in_progress) {
          crowd_.push_back(std::move(silent));
        }
      }
    }
  }

  // Whether its first connection stood at a host before the run, and at which.
  bool resumed(std::size_t i) const { return static_cast<double>(i) < scenario_.resumed_clients; }
  const std::string& host_before(std::size_t i) const {
    const auto count = static_cast<std::size_t>(scenario_.host_count);
    return plan_
        .hosts[static_cast<std::size_t>(stable_fraction(session(i).seed, 0xb4) * static_cast<double>(count))]
        .id;
  }

  std::string opening(std::size_t i) const {
    const Session& whose = session(i);
    std::string line = fmt::format("OPEN {} {} c={}", clients_[i].id, to_hex(whose.seed), type_of(i).name);
    if (whose.tenant >= 0) {
      line += ",t=" + scenario_.tenants[static_cast<std::size_t>(whose.tenant)].name;
    }
    const bool before = resumed(i) && clients_[i].attempt == 1;
    line += fmt::format(",d={}", before ? kWaitsForAll : static_cast<long>(type_of(i).expiry_ms));
    if (before) {
      line += ",at=" + host_before(i);
    }
    if (whose.group >= 0) {
      line += ",g=" + to_hex(XXH64(&whose.group, sizeof whose.group, 7) >> 1);
    }
    if (clients_[i].attempt > 1) {
      line += ",again=1";
    }
    return line + "\r\n";
  }

  void refused(std::size_t i) {
    Client& client = clients_[i];
    notices(static_cast<std::size_t>(client.node));
    hang_up(i);
    client.waiting = false;
    again(i, Reply::disconnected, 0);
  }

  void ready(std::size_t i, short what) {
    Client& client = clients_[i];
    if (!client.written) {
      if (!client.socket.is_connected()) {
        return refused(i);
      }
      const std::string line = opening(i);
      const TimePoint asked = stamp();  // before it can be seen anywhere
      const auto sent = client.socket.send(line.data(), line.size());
      if (!sent || *sent < line.size()) {
        return refused(i);
      }
      client.written = true;
      client.sent = now();
      const bool before = resumed(i) && client.attempt == 1;
      records_.add(asked, Seen::asked, client.id, client.node, session(i).traffic, before);
      const double longest = (before ? kResumedMs : type_of(i).expiry_ms) + scenario_.grace_to_answer_ms +
                             scenario_.timing_slack_ms;
      at(client.expires, now() + from_milliseconds(longest) + kLingers, [this, i] { gives_up(i, false); });
      if (session(i).patience_ms > 0 && client.attempt == 1 && !before) {
        at(client.leaves, now() + from_milliseconds(session(i).patience_ms),
           [this, i] { gives_up(i, true); });
      }
      return loop_.update_interest(client.watched, POLLIN);
    }
    if (what & POLLOUT) {
      flush(i);
    }
    bool ended = false;
    const auto got = client.socket.receive(client.in, 4 * kMost, ended);
    const int attempt = client.attempt;
    for (std::size_t end;
         clients_[i].attempt == attempt && (end = client.in.find('\n')) != std::string::npos;) {
      const std::string line = client.in.substr(0, end + 1);
      client.in.erase(0, end + 1);
      heard(i, line);
    }
    if (client.attempt == attempt && client.socket && (!got || ended)) {
      closed(i);
    }
  }

  void heard(std::size_t i, const std::string& line) {
    Client& client = clients_[i];
    if (client.waiting) {
      return answered(i, line);
    }
    if (!client.standing) {
      // More after the final answer; the auditor knows what that is.
      if (line != "MOVE\r\n") {
        records_.add(stamp(), Seen::reply, client.id, static_cast<long>(Reply::failed), 0);
      }
      return;
    }
    if (line == "MOVE\r\n") {
      return ends(i, 1);
    }
    if (line.starts_with("LOAD ")) {
      return;
    }
    const auto sent = std::find_if(client.lines.begin(), client.lines.end(),
                                   [&](const auto& one) { return one.first == line; });
    const bool word = line.starts_with("BUSY") || line.starts_with("ERR") || line.starts_with("UP ");
    if (sent == client.lines.end() && word) {  // an answer again, and nothing that it sent
      return records_.add(stamp(), Seen::reply, client.id, static_cast<long>(Reply::failed), 0);
    }
    if (sent == client.lines.end()) {
      return records_.add(stamp(), Seen::bytes, client.id, 0);
    }
    const Duration took = now() - sent->second;
    records_.add(stamp(), Seen::line, "", client.node, static_cast<long>(took));
    if (sent->second == client.line_at) {
      client.line_good = took <= from_milliseconds(type_of(i).message_goal_ms);
    }
    client.lines.erase(sent);
  }

  void answered(std::size_t i, const std::string& line) {
    Client& client = clients_[i];
    client.waiting = false;
    loop_.cancel(client.expires), loop_.cancel(client.leaves);
    Reply reply = Reply::failed;
    double told_ms = 0;
    if (line == "UP " + client.id + "\r\n") {
      reply = Reply::established;
    } else if (line.starts_with("BUSY")) {
      reply = Reply::rejected, told_ms = line.size() > 7 ? std::strtod(line.c_str() + 5, nullptr) : 0;
    } else if (line.starts_with("UP ")) {
      records_.add(stamp(), Seen::bytes, client.id, 0);  // somebody else's receipt
    }
    records_.add(stamp(), Seen::reply, client.id, static_cast<long>(reply), static_cast<long>(told_ms));
    if (reply == Reply::established) {
      records_.add(stamp(), Seen::set_up, "", client.node, static_cast<long>(now() - client.sent));
      client.failures = 0;
      client.standing = true;
      client.line_at = 0, client.credited = now(), client.quiet = false;
      if (client.done) {
        return close_by_client(i);
      }
      return speak(i);
    }
    // It stays to hear whether more is sent, then comes again.
    again(i, reply, told_ms);
  }

  // A line now and then, each unlike all others, so that a changed byte shows.
  void speak(std::size_t i) {
    Client& client = clients_[i];
    if (!client.standing) {
      return;
    }
    credit(i, now());
    const Duration every = from_seconds(scenario_.message_interval_s);
    at(client.speaks, now() + every, [this, i] { speak(i); });
    client.quiet = hush();
    if (client.quiet) {
      return;
    }
    const std::uint64_t number = static_cast<std::uint64_t>(++client.number);
    const std::string line = fmt::format("{} {} {}\r\n", client.id.substr(0, 8), number,
                                         to_hex(XXH64(&number, sizeof number, session(i).seed)));
    client.lines.emplace_back(line, now());
    if (client.lines.size() > 64) {
      client.lines.pop_front();
    }
    client.line_at = now(), client.line_good = false;
    client.out += line;
    flush(i);
  }
  bool hush() const {
    for (const PlannedFault& one : plan_.faults) {
      if (one.fault.kind == FaultKind::quiet_period && now() >= from_seconds(one.fault.start_s) &&
          now() < from_seconds(one.fault.start_s + one.fault.duration_s)) {
        return true;
      }
    }
    return false;
  }
  // The time since the last line went counts as served if that one is back in time, or has still time to be.
  void credit(std::size_t i, TimePoint until) {
    Client& client = clients_[i];
    const TimePoint from = std::exchange(client.credited, until);
    const bool still = !client.lines.empty() && client.lines.back().second == client.line_at &&
                       until - client.line_at < from_milliseconds(type_of(i).message_goal_ms);
    const bool good = client.quiet || (client.line_at != 0 && (client.line_good || still));
    if (good && until > from) {
      records_.add(until, Seen::served, "", session(i).traffic, static_cast<long>(from),
                   static_cast<long>(until));
    }
    client.line_at = 0;
  }

  void flush(std::size_t i) {
    Client& client = clients_[i];
    if (!client.socket || client.out.empty()) {
      return;
    }
    const auto sent = client.socket.send(client.out.data(), client.out.size());
    if (!sent) {
      return closed(i);
    }
    client.out.erase(0, *sent);
    if (client.out.size() > kMost) {
      client.out.clear();
    }
    loop_.update_interest(client.watched, static_cast<short>(POLLIN | (client.out.empty() ? 0 : POLLOUT)));
  }

  void closed(std::size_t i) {
    Client& client = clients_[i];
    if (client.standing) {
      return ends(i, 2);
    }
    if (client.waiting) {
      // Closed with nothing said: the auditor finds that no answer has come.
      hang_up(i);
      client.waiting = false;
      loop_.cancel(client.expires), loop_.cancel(client.leaves);
      again(i, Reply::disconnected, 0);
      return;
    }
    hang_up(i);
  }

  void ends(std::size_t i, int how) {
    Client& client = clients_[i];
    credit(i, now());
    records_.add(stamp(), Seen::ended, client.id, how);
    client.standing = false;
    loop_.cancel(client.speaks);
    hang_up(i);
    again(i, how == 1 ? Reply::migrated : Reply::disconnected, 0);
  }
  void close_by_client(std::size_t i) {
    Client& client = clients_[i];
    credit(i, now());
    records_.add(stamp(), Seen::ended, client.id, 0);
    client.standing = false;
    loop_.cancel(client.speaks);
    hang_up(i);
  }

  void gives_up(std::size_t i, bool by_itself) {
    Client& client = clients_[i];
    if (!client.waiting) {
      return;
    }
    records_.add(stamp(), Seen::gave_up, client.id);
    client.waiting = false;
    loop_.cancel(client.expires), loop_.cancel(client.leaves);
    hang_up(i);
    if (by_itself) {
      return wish_ends(i, now());
    }
    again(i, Reply::none, 0);
  }

  void again(std::size_t i, Reply got, double told_ms) {
    Client& client = clients_[i];
    if (got != Reply::disconnected && got != Reply::migrated) {
      ++client.failures;
    }
    if (client.done) {
      return;
    }
    const double wait = retry_delay_ms(scenario_, session(i), got, told_ms, std::max(1, client.failures),
                                       static_cast<std::uint64_t>(client.attempt));
    // Until then it listens whether anything is sent after the final answer.
    at(client.comes, now() + from_milliseconds(wait), [this, i] {
      hang_up(i);
      comes(i);
    });
  }
  void hang_up(std::size_t i) {
    Client& client = clients_[i];
    loop_.unwatch(client.watched);
    client.watched = {};
    client.socket = Socket();
    client.out.clear(), client.in.clear();
  }

  void wish_over(std::size_t i) {
    Client& client = clients_[i];
    if (client.done) {
      return;
    }
    if (client.standing) {
      close_by_client(i);
    }
    wish_ends(i, now());
  }
  void wish_ends(std::size_t i, TimePoint when) {
    if (std::exchange(clients_[i].done, true)) {
      return;
    }
    records_.add(when, Seen::wanted, "", session(i).traffic, static_cast<long>(clients_[i].begun_at),
                 static_cast<long>(when));
  }
  void drop(std::size_t t) {
    const Fault& fault = plan_.faults[t].fault;
    for (std::size_t i = 0; i < clients_.size(); ++i) {
      if (!clients_[i].standing || stable_fraction(session(i).seed, 0xd409 + t) >= fault.magnitude) {
        continue;
      }
      close_by_client(i);
      comes_at(i, now() + from_seconds(fault.duration_s * stable_fraction(session(i).seed, 0xd509 + t)));
    }
  }

  std::vector<Client> clients_;
  std::vector<Node> nodes_;
  std::vector<std::size_t> zone_turns_;
  std::vector<Socket> crowd_;
  Duration patience_ = 0;
};

}  // namespace

int run_clients(const Scenario& scenario, const Plan& plan, const LoopbackAddresses& addresses,
                ParentChannel parent, double for_s) {
  return Clients(scenario, plan, addresses, std::move(parent)).run(for_s);
}

}  // namespace dapplewharf::emulator
