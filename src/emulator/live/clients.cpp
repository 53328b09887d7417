// The process of the clients and of the front end that assigns them to nodes, on sockets. Each session of the
// plan is one client that connects, sends lines and reconnects after its connection was migrated or lost.
// Clients record what they observe; they know no endpoint.
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

constexpr Duration kPingInterval = 300 * kMs;  // to a node that receives no clients
/// The front end assigns clients to a node for this long after the node was told to shut down.
constexpr Duration kFrontRemovalDelay = 300 * kMs;
constexpr Duration kNodeShutdownTime = 3600 * kMs;
constexpr Duration kNoNodeRetryInterval = 500 * kMs;
/// A client waits this much longer than its deadline, so that an answer which is just late is seen.
constexpr Duration kLateAnswerWait = 20 * kMs;
constexpr std::size_t kMaxBufferedBytes = 16 * 1024;
/// The deadline that a client states for a connection from before the run.
constexpr long kResumedDeadlineMs = 4294967;
/// A connection from before the run that is not established again within this is lost.
constexpr double kResumeTimeoutMs = 40000;
constexpr Duration kNodesReadyTimeout = 30 * kSecond;
constexpr std::size_t kMaxUnreturnedLines = 64;
constexpr int kNoDescriptorLimit = 1 << 20;  // more than the process may have

class Clients : public RigProcess {
 public:
  using RigProcess::RigProcess;

 private:
  struct Client {
    Socket socket;
    Handle watched;
    bool session_begun = false;
    bool session_ended = false;
    bool awaits_answer = false;
    bool established = false;
    bool request_sent = false;
    bool closing = false;
    int attempt = 0;
    int failures = 0;
    int node = -1;
    std::string request_id, received, unsent;
    TimePoint session_begun_at = 0, session_ends_at = 0, request_sent_at = 0;
    EventLoop::Deadline connect_due, answer_deadline, leave_due, line_due;
    std::deque<std::pair<std::string, TimePoint>> unreturned_lines;  // with the times at which they were sent
    TimePoint last_line_at = 0;                                      // when the latest line was sent
    bool last_line_in_time = false;  // whether it came back within the message goal
    bool is_quiet = false;           // sends no lines now, as the scenario has it
    TimePoint counted_until = 0;     // the time until which service has been recorded
    long line_number = 0;
  };
  struct Node {
    Socket ping;
    Handle watched;
    bool receives_clients = false;
    bool is_shutting_down = false;
    bool removal_due = false;  // a client could not connect, and the front end will remove the node
    std::string received;
    EventLoop::Deadline ping_due;
  };

  void prepare() override {
    clients_.resize(plan_.sessions.size());
    nodes_.resize(static_cast<std::size_t>(scenario_.node_count));
    zone_turns_.assign(scenario_.zones.size(), 0);
    nodes_ready_by_ = loop_.now() + kNodesReadyTimeout;
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      send_ping(n);
    }
  }
  bool prepared() override {
    if (loop_.now() > nodes_ready_by_) {
      throw std::runtime_error("a node did not answer PING within 30 s of its start");
    }
    return std::all_of(nodes_.begin(), nodes_.end(), [](const Node& node) { return node.receives_clients; });
  }

  void begin() override {
    for (std::size_t i = 0; i < clients_.size(); ++i) {
      connect_at(i, was_open_before_run(i) ? 0 : from_seconds(plan_.sessions[i].arrival_s));
    }
    for (std::size_t i = 0; i < plan_.faults.size(); ++i) {
      const PlannedFault& planned = plan_.faults[i];
      const TimePoint when = from_seconds(planned.fault.start_s);
      if (planned.fault.kind == FaultKind::surge) {
        schedule_once(when, [this, i] { begin_surge(i); });
        schedule_once(when + from_seconds(planned.fault.duration_s), [this] { surge_connections_.clear(); });
      }
      if (planned.fault.kind == FaultKind::disconnect) {
        schedule_once(when, [this, i] { drop_connections(i); });
      }
      if (planned.fault.kind != FaultKind::node_restarted) {
        continue;
      }
      for (const int node : planned.nodes) {
        Node& restarted = nodes_[static_cast<std::size_t>(node)];
        schedule_once(when + kFrontRemovalDelay, [&restarted] {
          restarted.receives_clients = false, restarted.is_shutting_down = true;
        });
        schedule_once(when + kNodeShutdownTime + kFrontRemovalDelay, [this, &restarted, node] {
          restarted.is_shutting_down = false;
          send_ping(static_cast<std::size_t>(node));
        });
      }
    }
    record_established_clients(0);
  }
  void end() override {
    for (std::size_t i = 0; i < clients_.size(); ++i) {
      Client& client = clients_[i];
      if (!client.session_begun || client.session_ended) {
        continue;
      }
      end_session(i, std::min(now(), from_seconds(scenario_.duration_s)));
      if (client.established) {
        record_service(i, now());
      }
    }
  }
  void record_established_clients(TimePoint when) {
    records_.add(now(), RecordKind::established_clients, "",
                 std::count_if(clients_.begin(), clients_.end(),
                               [](const Client& client) { return client.established; }));
    schedule_once(when + kSecond, [this, when] { record_established_clients(when + kSecond); });
  }

  // --- the front end ---

  void send_ping(std::size_t n) {
    Node& node = nodes_[n];
    if (node.receives_clients || node.is_shutting_down) {
      return;
    }
    loop_.unwatch(node.watched);
    node.watched = {}, node.received.clear();
    node.ping = Socket();
    loop_.schedule(node.ping_due, loop_.now() + kPingInterval, [this, n] { send_ping(n); });
    if (start_connecting(*parse_address(addresses_.node(static_cast<int>(n))), kNoDescriptorLimit, 0,
                         node.ping) != ConnectStart::in_progress) {
      return;
    }
    node.watched =
        loop_.watch(node.ping.descriptor(), POLLOUT, [this, n](short events) { on_ping_ready(n, events); });
  }
  void on_ping_ready(std::size_t n, short events) {
    Node& node = nodes_[n];
    if (events & POLLOUT) {
      if (!node.ping.is_connected() || !node.ping.send("PING\r\n", 6)) {
        return loop_.unwatch(node.watched);
      }
      return loop_.update_interest(node.watched, POLLIN);
    }
    bool ended = false;
    const auto received = node.ping.receive(node.received, 64, ended);
    if (node.received == "PONG\r\n") {
      node.receives_clients = true, node.removal_due = false, loop_.cancel(node.ping_due);
    }
    if (!received || ended || node.receives_clients) {
      loop_.unwatch(node.watched);
      node.ping = Socket();
    }
  }
  /// Removes a node from the front end after the time that the front end takes to notice a failure.
  void remove_node_later(std::size_t n) {
    if (std::exchange(nodes_[n].removal_due, true)) {
      return;
    }
    schedule_once(now() + from_seconds(scenario_.front_detection_s), [this, n] {
      nodes_[n].receives_clients = false;
      send_ping(n);
    });
  }
  /// The next node in turn, of the zone if one there receives clients; -1 if none does.
  int assign_node(int zone) {
    for (const bool anywhere : {false, true}) {
      for (std::size_t k = 0; k < nodes_.size(); ++k) {
        const std::size_t n = zone_turns_[static_cast<std::size_t>(zone)]++ % nodes_.size();
        if (nodes_[n].receives_clients &&
            (anywhere || plan_.zone_of_node(static_cast<int>(n), scenario_) == zone)) {
          return static_cast<int>(n);
        }
      }
    }
    return -1;
  }

  // --- a client ---

  const Session& session(std::size_t i) const { return plan_.sessions[i]; }
  const TrafficType& traffic_type(std::size_t i) const {
    return scenario_.traffic_types[static_cast<std::size_t>(session(i).traffic)];
  }

  void connect_at(std::size_t i, TimePoint when) {
    schedule(clients_[i].connect_due, when, [this, i] { connect(i); });
  }

  void connect(std::size_t i) {
    Client& client = clients_[i];
    if (client.session_ended || client.established || client.awaits_answer) {
      return;
    }
    if (!client.session_begun) {
      client.session_begun = true;
      client.session_ends_at = now() + from_seconds(session(i).lifetime_s);
      schedule_once(client.session_ends_at, [this, i] { end_planned_session(i); });
      client.session_begun_at = now();
    }
    if (now() >= from_seconds(scenario_.duration_s)) {
      return;
    }
    client.node = assign_node(session(i).zone);
    if (client.node < 0) {
      return connect_at(i, now() + kNoNodeRetryInterval);
    }
    client.request_id = request_id_of(session(i), ++client.attempt);
    client.received.clear(), client.unreturned_lines.clear();
    client.awaits_answer = true, client.request_sent = client.closing = false;
    client.request_sent_at = now();
    const ConnectStart connect_start =
        start_connecting(*parse_address(addresses_.node(client.node)), kNoDescriptorLimit, 0, client.socket);
    if (connect_start == ConnectStart::no_descriptor) {
      report_descriptors_exhausted();
    }
    if (connect_start != ConnectStart::in_progress) {
      return on_connect_failed(i);
    }
    const int attempt = client.attempt;
    client.watched = loop_.watch(client.socket.descriptor(), POLLOUT, [this, i, attempt](short events) {
      if (clients_[i].attempt == attempt) {
        on_ready(i, events);
      }
    });
  }

  /// Opens connections that stay open and send nothing to each node that receives clients.
  void begin_surge(std::size_t fault_index) {
    const auto connections_per_node = static_cast<std::size_t>(plan_.faults[fault_index].fault.magnitude);
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      for (std::size_t k = 0; nodes_[n].receives_clients && k < connections_per_node; ++k) {
        Socket silent;
        if (start_connecting(*parse_address(addresses_.node(static_cast<int>(n))), kNoDescriptorLimit, 0,
                             silent) == ConnectStart::in_progress) {
          surge_connections_.push_back(std::move(silent));
        }
      }
    }
  }

  /// Whether the client's first connection was open at an endpoint before the run.
  bool was_open_before_run(std::size_t i) const { return static_cast<double>(i) < scenario_.resumed_clients; }
  const std::string& endpoint_before_run(std::size_t i) const {
    const auto count = static_cast<std::size_t>(scenario_.host_count);
    return plan_
        .hosts[static_cast<std::size_t>(stable_fraction(session(i).seed, 0xb4) * static_cast<double>(count))]
        .id;
  }

  std::string request_line(std::size_t i) const {
    const Session& planned_session = session(i);
    std::string line = fmt::format("OPEN {} {} c={}", clients_[i].request_id, to_hex(planned_session.seed),
                                   traffic_type(i).name);
    if (planned_session.tenant >= 0) {
      line += ",t=" + scenario_.tenants[static_cast<std::size_t>(planned_session.tenant)].name;
    }
    const bool resumes = was_open_before_run(i) && clients_[i].attempt == 1;
    line += fmt::format(",d={}", resumes ? kResumedDeadlineMs : static_cast<long>(traffic_type(i).expiry_ms));
    if (resumes) {
      line += ",at=" + endpoint_before_run(i);
    }
    if (planned_session.group >= 0) {
      line += ",g=" + to_hex(XXH64(&planned_session.group, sizeof planned_session.group, 7) >> 1);
    }
    if (clients_[i].attempt > 1) {
      line += ",again=1";
    }
    return line + "\r\n";
  }

  void on_connect_failed(std::size_t i) {
    Client& client = clients_[i];
    remove_node_later(static_cast<std::size_t>(client.node));
    hang_up(i);
    client.awaits_answer = false;
    reconnect_later(i, Reply::disconnected, 0);
  }

  void on_ready(std::size_t i, short events) {
    Client& client = clients_[i];
    if (!client.request_sent) {
      if (!client.socket.is_connected()) {
        return on_connect_failed(i);
      }
      const std::string line = request_line(i);
      const TimePoint sending_at = current_time();  // taken before another process can see the request
      const auto sent = client.socket.send(line.data(), line.size());
      if (!sent || *sent < line.size()) {
        return on_connect_failed(i);
      }
      client.request_sent = true;
      client.request_sent_at = now();
      const bool resumes = was_open_before_run(i) && client.attempt == 1;
      records_.add(sending_at, RecordKind::request_sent, client.request_id, client.node, session(i).traffic,
                   resumes);
      const double longest_wait_ms = (resumes ? kResumeTimeoutMs : traffic_type(i).expiry_ms) +
                                     scenario_.grace_to_answer_ms + scenario_.timing_slack_ms;
      schedule(client.answer_deadline, now() + from_milliseconds(longest_wait_ms) + kLateAnswerWait,
               [this, i] { give_up(i, false); });
      if (session(i).patience_ms > 0 && client.attempt == 1 && !resumes) {
        schedule(client.leave_due, now() + from_milliseconds(session(i).patience_ms),
                 [this, i] { give_up(i, true); });
      }
      return loop_.update_interest(client.watched, POLLIN);
    }
    if (events & POLLOUT) {
      flush(i);
    }
    bool ended = false;
    const auto received = client.socket.receive(client.received, 4 * kMaxBufferedBytes, ended);
    const int attempt = client.attempt;
    for (std::size_t end;
         clients_[i].attempt == attempt && (end = client.received.find('\n')) != std::string::npos;) {
      const std::string line = client.received.substr(0, end + 1);
      client.received.erase(0, end + 1);
      on_line(i, line);
    }
    if (client.attempt == attempt && client.socket && (!received || ended)) {
      on_closed(i);
    }
  }

  void on_line(std::size_t i, const std::string& line) {
    Client& client = clients_[i];
    if (client.awaits_answer) {
      return on_answer(i, line);
    }
    if (!client.established) {
      // A further line after the final answer, for which the auditor reports a violation.
      if (line != "MOVE\r\n") {
        records_.add(current_time(), RecordKind::answer_received, client.request_id,
                     static_cast<long>(Reply::failed), 0);
      }
      return;
    }
    if (line == "MOVE\r\n") {
      return end_connection(i, 1);
    }
    if (line.starts_with("LOAD ")) {
      return;
    }
    const auto returned = std::find_if(client.unreturned_lines.begin(), client.unreturned_lines.end(),
                                       [&](const auto& sent) { return sent.first == line; });
    const bool is_answer = line.starts_with("BUSY") || line.starts_with("ERR") || line.starts_with("UP ");
    if (returned == client.unreturned_lines.end() && is_answer) {  // a second answer
      return records_.add(current_time(), RecordKind::answer_received, client.request_id,
                          static_cast<long>(Reply::failed), 0);
    }
    if (returned == client.unreturned_lines.end()) {
      return records_.add(current_time(), RecordKind::line_compared, client.request_id, 0);
    }
    const Duration delay = now() - returned->second;
    records_.add(current_time(), RecordKind::line_returned, "", client.node, static_cast<long>(delay));
    if (returned->second == client.last_line_at) {
      client.last_line_in_time = delay <= from_milliseconds(traffic_type(i).message_goal_ms);
    }
    client.unreturned_lines.erase(returned);
  }

  void on_answer(std::size_t i, const std::string& line) {
    Client& client = clients_[i];
    client.awaits_answer = false;
    loop_.cancel(client.answer_deadline), loop_.cancel(client.leave_due);
    Reply reply = Reply::failed;
    double retry_after_ms = 0;
    if (line == "UP " + client.request_id + "\r\n") {
      reply = Reply::established;
    } else if (line.starts_with("BUSY")) {
      reply = Reply::rejected, retry_after_ms = line.size() > 7 ? std::strtod(line.c_str() + 5, nullptr) : 0;
    } else if (line.starts_with("UP ")) {
      records_.add(current_time(), RecordKind::line_compared, client.request_id,
                   0);  // the answer to another request
    }
    records_.add(current_time(), RecordKind::answer_received, client.request_id, static_cast<long>(reply),
                 static_cast<long>(retry_after_ms));
    if (reply == Reply::established) {
      records_.add(current_time(), RecordKind::setup_finished, "", client.node,
                   static_cast<long>(now() - client.request_sent_at));
      client.failures = 0;
      client.established = true;
      client.last_line_at = 0, client.counted_until = now(), client.is_quiet = false;
      if (client.session_ended) {
        return close_by_client(i);
      }
      return send_line(i);
    }
    reconnect_later(i, reply, retry_after_ms);
  }

  // Sends a line at each interval. Each line is unique, so that a changed byte is noticed.
  void send_line(std::size_t i) {
    Client& client = clients_[i];
    if (!client.established) {
      return;
    }
    record_service(i, now());
    const Duration interval = from_seconds(scenario_.message_interval_s);
    schedule(client.line_due, now() + interval, [this, i] { send_line(i); });
    client.is_quiet = in_quiet_period();
    if (client.is_quiet) {
      return;
    }
    const std::uint64_t line_number = static_cast<std::uint64_t>(++client.line_number);
    const std::string line = fmt::format("{} {} {}\r\n", client.request_id.substr(0, 8), line_number,
                                         to_hex(XXH64(&line_number, sizeof line_number, session(i).seed)));
    client.unreturned_lines.emplace_back(line, now());
    if (client.unreturned_lines.size() > kMaxUnreturnedLines) {
      client.unreturned_lines.pop_front();
    }
    client.last_line_at = now(), client.last_line_in_time = false;
    client.unsent += line;
    flush(i);
  }
  bool in_quiet_period() const {
    for (const PlannedFault& planned : plan_.faults) {
      const Fault& fault = planned.fault;
      if (fault.kind == FaultKind::quiet_period && now() >= from_seconds(fault.start_s) &&
          now() < from_seconds(fault.start_s + fault.duration_s)) {
        return true;
      }
    }
    return false;
  }
  // Records the time since the last call as served if the latest line came back within the message goal or
  // may still do so.
  void record_service(std::size_t i, TimePoint until) {
    Client& client = clients_[i];
    const TimePoint from = std::exchange(client.counted_until, until);
    const bool may_be_in_time =
        !client.unreturned_lines.empty() && client.unreturned_lines.back().second == client.last_line_at &&
        until - client.last_line_at < from_milliseconds(traffic_type(i).message_goal_ms);
    const bool is_served =
        client.is_quiet || (client.last_line_at != 0 && (client.last_line_in_time || may_be_in_time));
    if (is_served && until > from) {
      records_.add(until, RecordKind::value_served, "", session(i).traffic, static_cast<long>(from),
                   static_cast<long>(until));
    }
    client.last_line_at = 0;
  }

  void flush(std::size_t i) {
    Client& client = clients_[i];
    if (!client.socket || client.unsent.empty()) {
      return;
    }
    const auto sent = client.socket.send(client.unsent.data(), client.unsent.size());
    if (!sent) {
      return on_closed(i);
    }
    client.unsent.erase(0, *sent);
    if (client.unsent.size() > kMaxBufferedBytes) {
      client.unsent.clear();
    }
    loop_.update_interest(client.watched, static_cast<short>(POLLIN | (client.unsent.empty() ? 0 : POLLOUT)));
  }

  void on_closed(std::size_t i) {
    Client& client = clients_[i];
    if (client.established) {
      return end_connection(i, 2);
    }
    if (client.awaits_answer) {
      // Closed without an answer, for which the auditor reports a violation.
      hang_up(i);
      client.awaits_answer = false;
      loop_.cancel(client.answer_deadline), loop_.cancel(client.leave_due);
      reconnect_later(i, Reply::disconnected, 0);
      return;
    }
    hang_up(i);
  }

  /// @param end how the connection ended, as RecordKind::connection_ended numbers it.
  void end_connection(std::size_t i, int end) {
    Client& client = clients_[i];
    record_service(i, now());
    records_.add(current_time(), RecordKind::connection_ended, client.request_id, end);
    client.established = false;
    loop_.cancel(client.line_due);
    hang_up(i);
    reconnect_later(i, end == 1 ? Reply::migrated : Reply::disconnected, 0);
  }
  void close_by_client(std::size_t i) {
    Client& client = clients_[i];
    record_service(i, now());
    records_.add(current_time(), RecordKind::connection_ended, client.request_id, 0);
    client.established = false;
    loop_.cancel(client.line_due);
    hang_up(i);
  }

  void give_up(std::size_t i, bool leaves_early) {
    Client& client = clients_[i];
    if (!client.awaits_answer) {
      return;
    }
    records_.add(current_time(), RecordKind::client_gave_up, client.request_id);
    client.awaits_answer = false;
    loop_.cancel(client.answer_deadline), loop_.cancel(client.leave_due);
    hang_up(i);
    if (leaves_early) {
      return end_session(i, now());
    }
    reconnect_later(i, Reply::none, 0);
  }

  void reconnect_later(std::size_t i, Reply reply, double retry_after_ms) {
    Client& client = clients_[i];
    if (reply != Reply::disconnected && reply != Reply::migrated) {
      ++client.failures;
    }
    if (client.session_ended) {
      return;
    }
    const double wait_ms =
        retry_delay_ms(scenario_, session(i), reply, retry_after_ms, std::max(1, client.failures),
                       static_cast<std::uint64_t>(client.attempt));
    // The connection stays open until then, so that a line after the final answer is seen.
    schedule(client.connect_due, now() + from_milliseconds(wait_ms), [this, i] {
      hang_up(i);
      connect(i);
    });
  }
  void hang_up(std::size_t i) {
    Client& client = clients_[i];
    loop_.unwatch(client.watched);
    client.watched = {};
    client.socket = Socket();
    client.unsent.clear(), client.received.clear();
  }

  void end_planned_session(std::size_t i) {
    Client& client = clients_[i];
    if (client.session_ended) {
      return;
    }
    if (client.established) {
      close_by_client(i);
    }
    end_session(i, now());
  }
  void end_session(std::size_t i, TimePoint when) {
    if (std::exchange(clients_[i].session_ended, true)) {
      return;
    }
    records_.add(when, RecordKind::value_requested, "", session(i).traffic,
                 static_cast<long>(clients_[i].session_begun_at), static_cast<long>(when));
  }
  void drop_connections(std::size_t fault_index) {
    const Fault& fault = plan_.faults[fault_index].fault;
    for (std::size_t i = 0; i < clients_.size(); ++i) {
      if (!clients_[i].established ||
          stable_fraction(session(i).seed, 0xd409 + fault_index) >= fault.magnitude) {
        continue;
      }
      close_by_client(i);
      connect_at(
          i, now() + from_seconds(fault.duration_s * stable_fraction(session(i).seed, 0xd509 + fault_index)));
    }
  }

  std::vector<Client> clients_;
  std::vector<Node> nodes_;
  std::vector<std::size_t> zone_turns_;
  std::vector<Socket> surge_connections_;
  Duration nodes_ready_by_ = 0;
};

}  // namespace

int run_clients(const Scenario& scenario, const Plan& plan, const LoopbackAddresses& addresses,
                ParentChannel parent, double for_s) {
  return Clients(scenario, plan, addresses, std::move(parent)).run(for_s);
}

}  // namespace dapplewharf::emulator
