#include "emulator/live/endpoint_connections.h"

#include <poll.h>
#include <spdlog/fmt/fmt.h>
#include <sys/socket.h>

#include <cerrno>
#include <cmath>
#include <utility>

#include "emulator/live/endpoint_faults.h"
#include "emulator/model/chance.h"

namespace dapplewharf::emulator {
namespace {

using Phase = EndpointConnection::Phase;

constexpr std::size_t kMaxBufferedBytes = 64 * 1024;  // for a peer that does not read
constexpr std::size_t kReadBytes = 16 * 1024;
constexpr double kMicrosecondsPerSecond = 1e6;

// A request line: OPEN, a request id and a client key, separated by blanks.
constexpr std::size_t kRequestIdAt = 5;
constexpr std::size_t kIdLength = 16;
constexpr std::size_t kClientKeyAt = kRequestIdAt + kIdLength + 1;
constexpr std::size_t kShortestRequest = kClientKeyAt + kIdLength;

// Salts that separate the random draws for different purposes.
constexpr std::uint64_t kMessageDraw = 3;
constexpr std::uint64_t kSetupWorkDraw = 5;
constexpr std::uint64_t kHealthCheckDraw = 7;
constexpr std::uint64_t kSessionDraw = 11;
constexpr std::uint64_t kResetDraw = 13;

}  // namespace

EndpointConnections::EndpointConnections(EndpointRigParts& parts) : parts_(parts), rig_(parts.rig) {
  for (std::size_t session = 0; session < rig_.plan.sessions.size(); ++session) {
    sessions_[to_hex(rig_.plan.sessions[session].seed)] = session;
  }
}

void EndpointConnections::add(Socket socket, int endpoint, int node) {
  const int descriptor = socket.descriptor();
  EndpointConnection made;
  made.socket = std::move(socket);
  made.endpoint = endpoint;
  made.node = node;
  made.incarnation = rig_.endpoint(endpoint).incarnation;
  const Handle handle = rig_.connections.insert(std::move(made));
  EndpointConnection& connection = *rig_.connections.find(handle);
  ++rig_.endpoint(endpoint).open_connections;
  connection.watched = rig_.process.loop().watch(descriptor, POLLIN, [this, handle](short found) {
    if (found & POLLOUT) {
      flush(handle);
    }
    if (found & ~POLLOUT) {
      receive(handle);
    }
  });
  update_interest(handle, connection);
}

// Reads all available bytes before handling a line, so that no request is begun whose connection has ended.
void EndpointConnections::receive(Handle handle) {
  EndpointConnection* connection = rig_.connections.find(handle);
  if (!connection || !reads(*connection)) {
    return;
  }
  for (;;) {
    bool ended = false;
    const auto received = connection->socket.receive(connection->received, kReadBytes, ended);
    if (!received || ended) {
      return remove(handle);
    }
    if (*received == 0) {
      break;
    }
    if (connection->received.size() > kMaxBufferedBytes) {
      return remove(handle);
    }
  }
  while (connection) {
    const std::size_t end = connection->received.find('\n');
    if (end == std::string::npos) {
      return;
    }
    const std::string line = connection->received.substr(0, end + 1);
    connection->received.erase(0, end + 1);
    handle_line(handle, *connection, line);
    connection = rig_.connections.find(handle);
  }
}

void EndpointConnections::handle_line(Handle handle, EndpointConnection& connection,
                                      const std::string& line) {
  EmulatedEndpoint& endpoint = rig_.endpoint(connection.endpoint);
  endpoint.model.advance(rig_.process.now());
  if (connection.phase == Phase::established) {
    const bool crosses = rig_.crosses_zones(connection.endpoint, connection.node);
    const double round_trip_ms = crosses ? 2 * rig_.scenario.cross_zone_delay_ms : 0;
    const double delay_ms = round_trip_ms + endpoint.model.delay_quantile_ms(
                                                request_fraction(connection.request_id + line, kMessageDraw));
    return run_later(handle, from_milliseconds(delay_ms), [this, handle, line] { send(handle, line); });
  }
  if (connection.phase != Phase::fresh) {
    return;
  }
  if (line == "PING\r\n" || line == "STATS\r\n") {
    return answer_health_check(handle, connection);
  }
  if (!parse_request(connection, line)) {
    return send(handle, "SYNTAX\r\n");
  }
  begin_request(handle, connection);
}

bool EndpointConnections::parse_request(EndpointConnection& connection, const std::string& line) const {
  if (!line.starts_with("OPEN ") || line.size() < kShortestRequest) {
    return false;
  }
  connection.request_id = line.substr(kRequestIdAt, kIdLength);
  const auto known = sessions_.find(line.substr(kClientKeyAt, kIdLength));
  if (known != sessions_.end()) {
    connection.session = known->second;
    return true;
  }
  const bool accepts_unknown_clients =
      rig_.process.addresses().accept_unknown_clients && !rig_.plan.sessions.empty();
  if (!accepts_unknown_clients) {
    return false;
  }
  const double draw = request_fraction(connection.request_id, kSessionDraw);
  connection.session = static_cast<std::size_t>(draw * static_cast<double>(rig_.plan.sessions.size()));
  return true;
}

void EndpointConnections::begin_request(Handle handle, EndpointConnection& connection) {
  connection.phase = Phase::opening;
  record_earlier_end(connection.request_id);
  latest_attempts_[connection.request_id] = handle;
  rig_.process.record(RecordKind::attempt_received, connection.request_id, connection.node,
                      connection.endpoint);
  const bool crosses = rig_.crosses_zones(connection.endpoint, connection.node);
  const Duration transit_time = crosses ? from_milliseconds(3 * rig_.scenario.cross_zone_delay_ms) : 0;
  if (transit_time > 0) {
    run_later(handle, transit_time, [this, handle] { admit_setup(handle); });
  } else {
    admit_setup(handle);
  }
}

// Records the end of an earlier attempt of the request that its node has closed. Without it the attempt would
// count as in progress while its endpoint does not read, or has not read the end yet.
void EndpointConnections::record_earlier_end(const std::string& request_id) {
  const auto found = latest_attempts_.find(request_id);
  EndpointConnection* earlier =
      found == latest_attempts_.end() ? nullptr : rig_.connections.find(found->second);
  if (!earlier || earlier->phase != Phase::opening || earlier->end_recorded) {
    return;
  }
  char byte;
  const ssize_t received = ::recv(earlier->socket.descriptor(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (received > 0 || (received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))) {
    return;
  }
  record_attempt_end(*earlier, earlier->may_have_run);
  earlier->end_recorded = true;
}

void EndpointConnections::admit_setup(Handle handle) {
  EndpointConnection& connection = *rig_.connections.find(handle);
  EmulatedEndpoint& endpoint = rig_.endpoint(connection.endpoint);
  endpoint.model.advance(rig_.process.now());
  if (refuse_setup(handle, connection)) {
    return;
  }
  const double push_ratio = endpoint.model.record_setup_arrival();
  if (push_ratio > 0) {
    rig_.process.record(RecordKind::cold_load, "", connection.endpoint, std::lround(push_ratio * 1000));
  }
  if (push_ratio > 1) {
    return parts_.faults.fall_over(connection.endpoint);
  }
  if (endpoint.hang_faults > 0) {
    return;
  }
  const TrafficType& type =
      rig_.scenario.traffic_types[static_cast<std::size_t>(rig_.session(connection).traffic)];
  const double work_factor = -std::log(1 - request_fraction(connection.request_id, kSetupWorkDraw));
  const HostModel::SetupId setup = endpoint.model.add_setup(type.setup_ms / 1000 * work_factor);
  connection.setup = setup;
  endpoint.setups[setup] = handle;
  schedule_setup_work(connection.endpoint);
}

bool EndpointConnections::refuse_setup(Handle handle, EndpointConnection& connection) {
  const EmulatedEndpoint& endpoint = rig_.endpoint(connection.endpoint);
  if (endpoint.draining || endpoint.model.is_setup_queue_full()) {
    record_attempt_end(connection, false);
    send_and_close(handle, "BUSY\r\n");
    return true;
  }
  rig_.process.record(RecordKind::attempt_executed, connection.request_id, connection.endpoint);
  connection.may_have_run = true;
  const auto endpoint_draw = static_cast<std::uint64_t>(connection.endpoint);
  if (request_fraction(connection.request_id, endpoint_draw) < endpoint.failing_share) {
    record_attempt_end(connection, true);
    send_and_close(handle, "ERR\r\n");
    return true;
  }
  if (request_fraction(std::to_string(++setups_), kResetDraw) < endpoint.resetting_share) {
    record_attempt_end(connection, true);
    connection.end_recorded = true;
    reset(handle, connection);
    return true;
  }
  return false;
}

void EndpointConnections::answer_health_check(Handle handle, const EndpointConnection& connection) {
  const EmulatedEndpoint& endpoint = rig_.endpoint(connection.endpoint);
  rig_.process.record(RecordKind::health_check, "", connection.endpoint);
  if (request_fraction(std::to_string(++health_checks_), kHealthCheckDraw) < endpoint.failing_share) {
    return send(handle, "ERR\r\n");
  }
  const bool crosses = rig_.crosses_zones(connection.endpoint, connection.node);
  const double round_trip_ms = crosses ? 2 * rig_.scenario.cross_zone_delay_ms : 0;
  run_later(handle, from_milliseconds(round_trip_ms + endpoint.model.health_check_ms()),
            [this, handle] { send(handle, "PONG\r\n"); });
}

void EndpointConnections::schedule_setup_work(int index) {
  EmulatedEndpoint& endpoint = rig_.endpoint(index);
  if (endpoint.setups.empty() || endpoint.condition != EndpointCondition::up) {
    return;
  }
  rig_.process.schedule(endpoint.setup_due, endpoint.model.next_advance(),
                        [this, index] { do_setup_work(index); });
}

void EndpointConnections::do_setup_work(int index) {
  EmulatedEndpoint& endpoint = rig_.endpoint(index);
  if (endpoint.condition != EndpointCondition::up) {
    return;
  }
  endpoint.model.advance(rig_.process.now());
  for (const HostModel::SetupId setup : endpoint.model.take_completed_setups()) {
    const auto found = endpoint.setups.find(setup);
    if (found == endpoint.setups.end()) {
      continue;
    }
    const Handle handle = found->second;
    endpoint.setups.erase(found);
    if (EndpointConnection* connection = rig_.connections.find(handle)) {
      establish(handle, *connection);
    }
  }
  schedule_setup_work(index);
}

void EndpointConnections::establish(Handle handle, EndpointConnection& connection) {
  EmulatedEndpoint& endpoint = rig_.endpoint(connection.endpoint);
  connection.setup.reset();
  connection.phase = Phase::established;
  record_attempt_end(connection, true);
  connection.load = current_load(connection);
  endpoint.model.add_connection(connection.load, rig_.session(connection).group);
  endpoint.established.push_back(handle);
  if (rig_.scenario.load_swing > 0) {
    schedule_load_change(handle, connection);
  }
  const std::string line = "UP " + connection.request_id + "\r\n";
  if (rig_.crosses_zones(connection.endpoint, connection.node)) {
    run_later(handle, from_milliseconds(rig_.scenario.cross_zone_delay_ms),
              [this, handle, line] { send(handle, line); });
  } else {
    send(handle, line);
  }
}

double EndpointConnections::current_load(const EndpointConnection& connection) const {
  const Session& session = rig_.session(connection);
  const double now_s = static_cast<double>(rig_.process.now()) / kSecond;
  return connection_load_at(rig_.scenario, session, now_s - session.arrival_s);
}

void EndpointConnections::schedule_load_change(Handle handle, EndpointConnection& connection) {
  rig_.process.schedule(connection.load_change,
                        rig_.process.now() + from_seconds(rig_.scenario.load_change_interval_s),
                        [this, handle] { change_load(handle); });
}

void EndpointConnections::change_load(Handle handle) {
  EndpointConnection* connection = rig_.connections.find(handle);
  if (!connection || connection->phase != Phase::established) {
    return;
  }
  EmulatedEndpoint& endpoint = rig_.endpoint(connection->endpoint);
  const double load = current_load(*connection);
  endpoint.model.advance(rig_.process.now());
  endpoint.model.change_load(load - connection->load);
  connection->load = load;
  schedule_load_change(handle, *connection);
  send(handle,
       fmt::format("LOAD {:.1f}\r\n", load / rig_.scenario.connections_per_core * kMicrosecondsPerSecond));
}

void EndpointConnections::record_attempt_end(const EndpointConnection& connection, bool may_have_run) {
  rig_.process.record(RecordKind::attempt_ended, connection.request_id, connection.endpoint, may_have_run);
}

bool EndpointConnections::reads(const EndpointConnection& connection) const {
  const bool up = rig_.endpoint(connection.endpoint).condition == EndpointCondition::up;
  return up && !rig_.is_cut(connection.endpoint, connection.node);
}

bool EndpointConnections::writes(const EndpointConnection& connection) const {
  return reads(connection) && !rig_.responses_lost(connection.endpoint, connection.node);
}

void EndpointConnections::update_interest(int endpoint) {
  for (const Handle handle : rig_.connections_to(endpoint)) {
    if (EndpointConnection* connection = rig_.connections.find(handle)) {
      update_interest(handle, *connection);
    }
  }
}

void EndpointConnections::update_interest(Handle handle, EndpointConnection& connection) {
  const bool has_output = writes(connection) && !connection.unsent.empty();
  const int events = (reads(connection) ? POLLIN : 0) | (has_output ? POLLOUT : 0);
  rig_.process.loop().update_interest(connection.watched, static_cast<short>(events));
  if (has_output) {
    flush(handle);
  }
}

void EndpointConnections::send(Handle handle, const std::string& line) {
  EndpointConnection* connection = rig_.connections.find(handle);
  if (!connection || connection->unsent.size() > kMaxBufferedBytes) {
    return;
  }
  connection->unsent += line;
  flush(handle);
}

void EndpointConnections::send_and_close(Handle handle, const std::string& line) {
  EndpointConnection* connection = rig_.connections.find(handle);
  if (!connection) {
    return;
  }
  connection->phase = Phase::closing;
  connection->close_when_sent = true;
  send(handle, line);
}

void EndpointConnections::flush(Handle handle) {
  EndpointConnection* connection = rig_.connections.find(handle);
  if (!connection || !writes(*connection)) {
    return;
  }
  if (!connection->unsent.empty()) {
    const auto sent = connection->socket.send(connection->unsent.data(), connection->unsent.size());
    if (!sent) {
      return remove(handle);
    }
    connection->unsent.erase(0, *sent);
  }
  const bool all_sent = connection->unsent.empty();
  if (all_sent && connection->close_when_sent && !connection->half_closed) {
    connection->socket.shut_down_sending();
    connection->half_closed = true;
  }
  rig_.process.loop().update_interest(connection->watched,
                                      static_cast<short>(POLLIN | (all_sent ? 0 : POLLOUT)));
}

void EndpointConnections::reset(Handle handle, EndpointConnection& connection) {
  rig_.process.loop().unwatch(connection.watched);
  connection.watched = {};
  connection.socket.close_with_reset();
  remove(handle);
}

void EndpointConnections::remove(Handle handle) {
  EndpointConnection* connection = rig_.connections.find(handle);
  if (!connection) {
    return;
  }
  EmulatedEndpoint& endpoint = rig_.endpoint(connection->endpoint);
  if (connection->incarnation == endpoint.incarnation) {
    endpoint.model.advance(rig_.process.now());
    --endpoint.open_connections;
    if (connection->phase == Phase::opening && !connection->end_recorded) {
      record_attempt_end(*connection, connection->may_have_run);
    }
    const auto latest = latest_attempts_.find(connection->request_id);
    if (latest != latest_attempts_.end() && latest->second == handle) {
      latest_attempts_.erase(latest);
    }
    if (connection->setup) {
      endpoint.model.cancel_setup(*connection->setup);
      endpoint.setups.erase(*connection->setup);
    }
    if (connection->phase == Phase::established) {
      endpoint.model.remove_connection(connection->load, rig_.session(*connection).group);
      std::erase(endpoint.established, handle);
    }
  }
  rig_.process.loop().cancel(connection->load_change);
  rig_.process.loop().unwatch(connection->watched);
  rig_.connections.erase(handle);
}

void EndpointConnections::reset_all(int endpoint) {
  for (const Handle handle : rig_.connections_to(endpoint)) {
    EndpointConnection& connection = *rig_.connections.find(handle);
    if (!connection.request_id.empty()) {
      rig_.process.record(RecordKind::endpoint_closed_connection, connection.request_id, endpoint);
    }
    reset(handle, connection);
  }
}

void EndpointConnections::send_away(int index, double share) {
  EmulatedEndpoint& endpoint = rig_.endpoint(index);
  const auto count =
      static_cast<std::ptrdiff_t>(std::ceil(static_cast<double>(endpoint.established.size()) * share));
  const std::vector<Handle> leaving(endpoint.established.begin(), endpoint.established.begin() + count);
  for (const Handle handle : leaving) {
    EndpointConnection& connection = *rig_.connections.find(handle);
    endpoint.model.advance(rig_.process.now());
    endpoint.model.remove_connection(connection.load, rig_.session(connection).group);
    std::erase(endpoint.established, handle);
    rig_.process.record(RecordKind::endpoint_closed_connection, connection.request_id, index);
    send_and_close(handle, "MOVE\r\n");
  }
}

// Does nothing if the connection has been closed or its endpoint has restarted by then.
void EndpointConnections::run_later(Handle handle, Duration delay, std::function<void()> action) {
  const EndpointConnection* connection = rig_.connections.find(handle);
  const int incarnation = connection->incarnation;
  const int endpoint = connection->endpoint;
  rig_.process.schedule_once(rig_.process.now() + delay,
                             [this, handle, incarnation, endpoint, action = std::move(action)] {
                               const bool restarted = rig_.endpoint(endpoint).incarnation != incarnation;
                               if (rig_.connections.find(handle) && !restarted) {
                                 action();
                               }
                             });
}

}  // namespace dapplewharf::emulator
