// The steps of a request: opened, attempted, established or answered, released. Design: docs/design.md.
#include "node/request_handler.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "base/log_events.h"

namespace dapplewharf {
namespace {

const std::string kErrorLine = "ERR\r\n";

}  // namespace

RequestHandler::RequestHandler(const RequestContext& context)
    : loop_(context.loop),
      counters_(context.counters),
      settings_(context.settings),
      endpoints_(context.endpoints),
      shutdown_(context.shutdown),
      events_(context.events),
      random_(context.random),
      connections_(context.loop, context.counters, context.limits, context.settings.request_schema, *this) {}

std::string RequestHandler::id_of(Handle handle) {
  return std::to_string(handle.slot) + "." + std::to_string(handle.generation);
}

RequestHandler::Request* RequestHandler::find(Handle handle) {
  return find(id_of(handle));
}

RequestHandler::Request* RequestHandler::find(const std::string& id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

// ---- notifications from the connection table ----

void RequestHandler::on_request(Handle handle, const RequestLine& line) {
  const std::string id = id_of(handle);
  const bool is_adopted = !line.current_endpoint.empty();
  const RequestAttributes attributes = attributes_of(id, line);
  Request request;
  request.handle = handle;
  request.client_id = line.id;
  if (is_adopted) {
    events_.add(
        ConnectionAdopted{.request = attributes, .endpoint = line.current_endpoint, .is_pending = true});
    ++counters_.connections_adopted;
    request.endpoint = line.current_endpoint;
    request.is_adopted = true;
    request.attempts = 1;
    request.sent_at = loop_.now();
    request.has_attempt_in_progress = true;
    request.reconnect.emplace(loop_.now(), line.wait);
  } else {
    events_.add(RequestReceived{.request = attributes});
  }
  ledger_.open(id, settings_.repeat_rule(line.traffic_type), attributes.deadline);
  requests_[id] = std::move(request);
  if (is_adopted) {
    reconnect(handle);
  }
}

RequestAttributes RequestHandler::attributes_of(const std::string& id, const RequestLine& line) const {
  RequestAttributes attributes;
  attributes.id = id;
  attributes.traffic_type = line.traffic_type;
  attributes.tenant = line.tenant;
  attributes.client_key = line.key;
  if (settings_.affinity_groups) {
    attributes.affinity_group = line.group;
  }
  attributes.deadline = loop_.now() + line.wait;
  if (shutdown_.in_progress()) {
    attributes.deadline = std::min(attributes.deadline, shutdown_.answers_due());
  }
  attributes.is_migrated = line.is_migrated;
  attributes.is_retry = line.is_retry;
  return attributes;
}

void RequestHandler::on_client_left(Handle handle) {
  Request* request = find(handle);
  if (!request) {
    return;
  }
  const std::string id = id_of(handle);
  events_.add(ClientDisconnected{.request_id = id});
  ledger_.record_client_disconnect(id);
  if (!request->has_attempt_in_progress) {
    return release(id);
  }
  request->is_client_done = true;
  if (request->is_between_attempts) {
    on_attempt_ended(handle, {AttemptProgress::not_connected, TerminationReason::client_gone});
  }
}

void RequestHandler::on_established(Handle handle) {
  Request* request = find(handle);
  if (!request) {
    return;
  }
  const std::string id = id_of(handle);
  if (const auto violation = ledger_.check_answer(id, FinalAnswer::up)) {
    report_violation("pass on UP to", id, violation);
  }
  ledger_.record_answer(id);
  request->is_established = true;
  const Duration setup_time = loop_.now() - request->sent_at;
  events_.add(AttemptEstablished{.request_id = id,
                                 .endpoint = request->endpoint,
                                 .attempt = request->attempts - 1,
                                 .setup_time = setup_time});
  spdlog::debug("connection_established host={} setup_ms={} adopted={}", request->endpoint, setup_time / kMs,
                request->is_adopted);
}

void RequestHandler::on_attempt_ended(Handle handle, AttemptResult result) {
  Request* request = find(handle);
  if (!request || !request->has_attempt_in_progress) {
    return;
  }
  const Outcome outcome = outcome_of(result);
  if (!request->is_between_attempts) {
    ledger_.record_attempt_end(id_of(handle), may_have_run(outcome));
  }
  if (request->awaits_reconnect() && schedule_reconnect(handle, *request, result)) {
    return;
  }
  report_attempt_end(handle, *request, outcome);
}

void RequestHandler::report_attempt_end(Handle handle, Request& request, Outcome outcome) {
  const std::string id = id_of(handle);
  const bool is_final = request.is_established || request.is_client_done || request.is_adopted;
  const Duration duration = loop_.now() - request.sent_at;
  events_.add(AttemptEnded{.request_id = id,
                           .endpoint = request.endpoint,
                           .attempt = request.attempts - 1,
                           .outcome = outcome,
                           .duration = duration,
                           .is_final = is_final});
  count(outcome);
  if (outcome == Outcome::withdrawn) {
    --request.attempts;  // nothing was sent, so it does not count
  }
  // tools/count.awk reads these lines.
  spdlog::debug("{} host={} outcome={} duration_ms={}",
                request.is_established ? "connection_ended" : "attempt_ended", request.endpoint,
                name_of(outcome), duration / kMs);
  request.has_attempt_in_progress = false;
  if (request.awaits_reconnect()) {  // no further attempt is allowed: the connection has ended
    ++counters_.requests_failed;
    return answer(id, FinalAnswer::error, kErrorLine);
  }
  if (is_final) {
    release(id);
  }
}

void RequestHandler::count(Outcome outcome) {
  switch (outcome) {
    case Outcome::succeeded:
      ++counters_.connections_completed;
      break;
    case Outcome::error:
      ++counters_.attempt_errors;
      break;
    case Outcome::rejected:
      ++counters_.attempts_rejected;
      break;
    case Outcome::timed_out:
      ++counters_.attempts_timed_out;
      break;
    case Outcome::connect_failed:
      ++counters_.attempts_not_connected;
      break;
    case Outcome::connection_lost:
      ++counters_.connections_lost;
      break;
    case Outcome::cancelled:
      ++counters_.attempts_cancelled;
      break;
    case Outcome::not_sent:
      ++counters_.attempts_not_sent;
      break;
    case Outcome::withdrawn:
      ++counters_.attempts_withdrawn;
      break;
  }
}

bool RequestHandler::may_send(Handle handle) {
  const Request* request = find(handle);
  if (!request) {
    return true;
  }
  // An adopted connection is not new work for its endpoint: it was open there before.
  const bool is_permitted =
      request->is_adopted || endpoints_.permits(request->endpoint, EndpointUse::new_request);
  return !ledger_.check_send(id_of(handle), is_permitted, loop_.now());
}

void RequestHandler::on_line_answered(Handle handle, Duration latency) {
  const Request* request = find(handle);
  if (request && loop_.lateness() < kMaxSampleLateness) {
    endpoints_.latency(request->endpoint).record_line(loop_.now(), latency);
  }
}

void RequestHandler::on_load_reported(Handle handle, double load) {
  if (const Request* request = find(handle)) {
    events_.add(
        LoadReported{.request_id = id_of(handle), .endpoint = request->endpoint, .work_us_per_s = load});
  }
}

// ---- actions of the load balancer ----

void RequestHandler::start_attempt(const std::string& id, const std::string& endpoint, Duration timeout) {
  Request* request = find(id);
  if (!request) {
    return;
  }
  request->endpoint = endpoint;
  request->sent_at = loop_.now();
  ++request->attempts;
  request->has_attempt_in_progress = true;
  const auto violation = begin_attempt(*request, id, {.total = timeout, .connect = std::nullopt});
  if (!violation) {
    return;
  }
  report_violation("begin an attempt for", id, violation);
  events_.add(AttemptEnded{.request_id = id,
                           .endpoint = endpoint,
                           .attempt = request->attempts - 1,
                           .outcome = Outcome::not_sent,
                           .duration = 0,
                           .is_final = true});
  answer(id, FinalAnswer::error, kErrorLine);
}

// Every attempt is started here, so that the ledger checks each of them.
std::optional<Violation> RequestHandler::begin_attempt(Request& request, const std::string& id,
                                                       const AttemptTimeouts& timeouts) {
  const EndpointLocation location = endpoints_.location(request.endpoint);
  // Whether the endpoint is draining is checked in `may_send`, just before the first byte is sent.
  if (const auto violation = ledger_.check_attempt(id, location, true, loop_.now())) {
    return violation;
  }
  ledger_.record_attempt_start(id, location, loop_.now());
  connections_.begin_attempt(request.handle, {.address = parse_address(endpoints_.address(request.endpoint)),
                                              .timeout = timeouts.total,
                                              .connect_timeout = timeouts.connect});
  return std::nullopt;
}

void RequestHandler::cancel_attempt(const std::string& id) {
  if (const Request* request = find(id)) {
    connections_.cancel_attempt(request->handle);
  }
}

void RequestHandler::reject(const std::string& id, Duration retry_after) {
  ++counters_.requests_rejected;
  const Request* request = find(id);
  spdlog::debug("request_rejected retry_after_ms={} attempts={}", retry_after / kMs,
                request ? request->attempts : 0);
  const std::string line =
      retry_after > 0 ? "BUSY " + std::to_string(retry_after / kMs) + "\r\n" : std::string("BUSY\r\n");
  answer(id, FinalAnswer::busy, line);
}

void RequestHandler::fail(const std::string& id) {
  ++counters_.requests_failed;
  answer(id, FinalAnswer::error, kErrorLine);
}

void RequestHandler::migrate(const std::string& id) {
  Request* request = find(id);
  if (!request) {
    return;
  }
  ++counters_.connections_migrated;
  spdlog::debug("connection_migrated host={}", request->endpoint);
  const Handle handle = request->handle;
  ledger_.record_answer(id);
  request->is_client_done = true;
  on_attempt_ended(handle, {AttemptProgress::established, TerminationReason::cancelled});
  connections_.migrate(handle);
}

// Every final answer BUSY or ERR is sent here. BUSY tells the client that a retry is harmless; if the request
// may have run and a repeat would not be dropped, ERR is sent instead.
void RequestHandler::answer(const std::string& id, FinalAnswer kind, const std::string& line) {
  const Request* request = find(id);
  if (!request) {
    return;
  }
  const Handle handle = request->handle;
  const auto violation = ledger_.check_answer(id, kind);
  const bool failed_instead = violation == Violation::may_have_run;
  if (violation) {
    report_violation("answer", id, violation);
  }
  ledger_.record_answer(id);
  release(id);
  if (!violation || failed_instead) {
    connections_.answer(handle, failed_instead ? kErrorLine : line);
  }
}

void RequestHandler::release(const std::string& id) {
  if (ledger_.close(id)) {
    report_violation("close unanswered", id, std::nullopt);
  }
  requests_.erase(id);
}

void RequestHandler::report_violation(const std::string& operation, const std::string& id,
                                      std::optional<Violation> violation) {
  ++counters_.rule_violations;
  const Request* request = find(id);
  spdlog::error("{}", format_rule_violation(operation, request ? request->client_id : id,
                                            violation ? name_of(*violation) : "none"));
}

// ---- adopted connections ----

void RequestHandler::reconnect(Handle handle) {
  Request* request = find(handle);
  if (!request || request->is_established || request->is_client_done) {
    return;
  }
  request->is_between_attempts = false;
  if (!begin_attempt(*request, id_of(handle), reconnect_timeouts(*request))) {
    return;
  }
  request->is_between_attempts = true;
  on_attempt_ended(handle, {AttemptProgress::not_connected, TerminationReason::withdrawn});
}

// An attempt that no other may follow once the endpoint has the request gets all the time that is left.
// Connecting does not: until then the request cannot have run, so that another attempt may follow.
RequestHandler::AttemptTimeouts RequestHandler::reconnect_timeouts(const Request& request) const {
  const TimePoint now = loop_.now();
  Duration connect = request.reconnect->attempt_timeout(now);
  Duration total = connect;
  if (!ledger_.may_repeat_after_timeout(id_of(request.handle), now, total)) {
    total = request.reconnect->time_left(now);
  }
  if (shutdown_.in_progress()) {
    const Duration until_answers_due = std::max<Duration>(1, shutdown_.answers_due() - now);
    total = std::min(total, until_answers_due);
    connect = std::min(connect, until_answers_due);
  }
  return {.total = total, .connect = connect};
}

// Schedules the next attempt for an adopted connection. Returns false if no attempt may follow. A single
// failure does not end an adopted connection; a violated rule, the client, the removal of its endpoint, this
// node's shutdown or the expiry of its time limit does.
bool RequestHandler::schedule_reconnect(Handle handle, Request& request, AttemptResult result) {
  if (request.is_between_attempts) {
    return false;  // the ledger did not allow the attempt
  }
  // A cached list may be too old to name the endpoint or its present state.
  const bool is_confirmed = endpoints_.is_confirmed();
  const bool is_listed = !is_confirmed || !endpoints_.address(request.endpoint).empty();
  const bool is_permitted = !is_confirmed || endpoints_.permits(request.endpoint, EndpointUse::reconnect);
  const auto violation =
      ledger_.check_attempt(id_of(handle), endpoints_.location(request.endpoint), is_permitted, loop_.now());
  std::optional<Duration> delay =
      request.reconnect->next_pause(loop_.now(), is_listed, random_.next_fraction());
  if (violation || shutdown_.in_progress()) {
    delay.reset();
  }
  log_reconnect(request, result, delay, violation);
  if (!delay) {
    return false;
  }
  ++counters_.reconnects;
  request.is_between_attempts = true;
  EventLoop::Deadline retry;  // never cancelled: `reconnect` checks whether the attempt is still wanted
  loop_.schedule(retry, loop_.now() + *delay, [this, handle] { reconnect(handle); });
  return true;
}

void RequestHandler::log_reconnect(const Request& request, AttemptResult result,
                                   std::optional<Duration> delay, std::optional<Violation> violation) const {
  const Duration duration = loop_.now() - request.sent_at;
  if (delay) {
    spdlog::info("reconnect_scheduled request={} host={} duration_ms={} progress={} reason={} delay_ms={}",
                 request.client_id, request.endpoint, duration / kMs, name_of(result.progress),
                 name_of(result.reason), *delay / kMs);
    return;
  }
  const char* cause = violation                 ? name_of(*violation)
                      : shutdown_.in_progress() ? "node is shutting down"
                                                : "time limit reached";
  spdlog::warn("reconnect_abandoned request={} host={} duration_ms={} progress={} reason={} cause=\"{}\"",
               request.client_id, request.endpoint, duration / kMs, name_of(result.progress),
               name_of(result.reason), cause);
}

// ---- shutdown and queries ----

void RequestHandler::limit_to_shutdown() {
  connections_.shorten_attempts(shutdown_.answers_due());
  ledger_.expire_by(shutdown_.ends_by());
}

void RequestHandler::close_remaining_requests() {
  std::vector<std::string> remaining;
  for (const auto& [id, request] : requests_) {
    if (!request.is_client_done) {
      remaining.push_back(id);
    }
  }
  for (const std::string& id : remaining) {
    const Request& request = requests_.at(id);
    const bool is_established = request.is_established || request.is_adopted;
    spdlog::warn("closed_at_shutdown request={} answer={}", request.client_id,
                 is_established ? "migrate" : "fail");
    if (is_established) {
      migrate(id);
    } else {
      fail(id);
    }
  }
}

bool RequestHandler::is_idle() {
  return requests_.empty() && connections_.active_count() == 0;
}

PeerLoadTable::Counts RequestHandler::load_by_endpoint() const {
  PeerLoadTable::Counts counts;
  for (const auto& [id, request] : requests_) {
    if (request.has_attempt_in_progress && !request.is_client_done) {
      ++counts[request.endpoint];
    }
  }
  return counts;
}

}  // namespace dapplewharf
