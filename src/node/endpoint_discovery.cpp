// Parsing of endpoint lists, and the steps of a call to discovery. Design: docs/design.md.
#include "node/endpoint_discovery.h"

#include <spdlog/spdlog.h>

#include <nlohmann/json.hpp>

#include "config/platform_settings.h"
#include "node/discovery_call_failure.h"
#include "policy/backoff.h"

using nlohmann::json;

namespace dapplewharf {
namespace {

// The time after which this node is deemed notified of changes. For changes that an unanswered watch missed,
// it is counted from the start of that watch's call. For changes at a new address of discovery, it is counted
// from the time when the node applies that address, which is later than SIGHUP by up to
// Reloader::kRetryPeriod if a configuration file cannot be read at first.
constexpr Duration kDeemedNotifiedAfterSilence = Backoff::kNotificationLimit;
constexpr Duration kDeemedNotifiedAfterAddressChange = 4 * kSecond;
// The time that a watch asks discovery to wait for a change. Half of `kDeemedNotifiedAfterSilence`, so that
// the other half is left to repeat a watch that was not answered: the watches of all nodes fail at the same
// time, and one service answers their calls in turn.
constexpr Duration kWatchWait = 3 * kSecond;
// A call is overdue, so that another one may start, when it has not been answered after this time; a watch
// after this time in addition to `kWatchWait`.
constexpr Duration kFetchOverdueAfter = Backoff::kResponseTimeout;
constexpr Duration kUpdateOverdueAfter = Backoff::kResponseTimeout + 500 * kMs;
constexpr Duration kWatchOverdueAfter = 500 * kMs;
// Discovery answers or refuses a call within 3 s; a watch within 3 s after `kWatchWait`. The rest is for the
// way of the answer.
constexpr Duration kMaxAnswerTime = 3250 * kMs;
// An idle connection that ends later than this during a watch was closed by a discovery that had the call.
constexpr Duration kIdleClosedWithin = 100 * kMs;
// A call that has not failed within this time is expected to be answered.
constexpr Duration kPendingCallDelay = 50 * kMs;
// From the establishment of a connection until the request is sent, after a connection that was reset at
// once. A service that resets all connections does so in this time.
constexpr Duration kRequestDelay = 50 * kMs;
// Before the next call after an unchanged list; short enough that discovery does not end the watch.
constexpr Duration kUnchangedListDelay = 100 * kMs;
constexpr Duration kRetryDelay = 200 * kMs;  // the longest delay between retries before `deemed_notified_at_`

EndpointState parse_state(const std::string& lifecycle) {
  if (lifecycle == "up") {
    return EndpointState::healthy;
  }
  // An endpoint in an unknown state is sent no new work.
  return lifecycle == "draining" ? EndpointState::draining : EndpointState::removed;
}

template <class Value>
Value optional_field(const json& from, const char* name, Value default_value) {
  const auto found = from.find(name);
  if (found == from.end() || found->is_null()) {
    return default_value;
  }
  return found->get<Value>();
}

}  // namespace

TimePoint EndpointStartTimes::to_loop_time(const std::string& endpoint, double unix_ms, TimePoint now,
                                           TimePoint unix_now) {
  if (!(unix_ms > 0)) {
    return 0;
  }
  StartTime& start = start_by_endpoint_[endpoint];
  if (start.unix_ms != unix_ms) {
    start = {unix_ms, std::max<TimePoint>(ticks_of_ms(unix_ms) + now - unix_now, 1)};
  }
  return start.loop_time;
}

EndpointSnapshot parse_endpoint_list(const json& from, EndpointStartTimes& starts, TimePoint now,
                                     TimePoint unix_now) {
  EndpointSnapshot list;
  list.is_complete = from.at("reset").get<bool>();
  list.version = from.at("generation").get<std::int64_t>();
  for (const json& entry : from.at("instances")) {
    EndpointEntry endpoint;
    endpoint.id = entry.at("instanceId").get<std::string>();
    endpoint.zone = optional_field<std::string>(entry, "zone", "");
    endpoint.machine_type = optional_field<std::string>(entry, "machineType", "");
    endpoint.cell = optional_field<std::int64_t>(entry, "cell", 0);
    endpoint.state = parse_state(entry.at("lifecycle").get<std::string>());
    endpoint.size = optional_field<double>(entry, "weight", 1);
    endpoint.started_at =
        starts.to_loop_time(endpoint.id, optional_field<double>(entry, "startedAtMs", 0), now, unix_now);
    const auto address = optional_field<std::string>(entry, "hostPort", "");
    if (!address.empty()) {
      list.addresses[endpoint.id] = address;
    }
    list.entries.push_back(std::move(endpoint));
  }
  return list;
}

EndpointDiscovery::EndpointDiscovery(EventLoop& loop, Counters& counters, std::string address,
                                     const Limits& limits, const Settings& settings, std::uint64_t seed,
                                     Callbacks callbacks)
    : loop_(loop),
      counters_(counters),
      address_(std::move(address)),
      limits_(limits),
      callbacks_(std::move(callbacks)),
      random_(seed),
      freshness_(settings) {}

void EndpointDiscovery::start() {
  freshness_.record_start(loop_.now());
  update_freshness();
}

// Reports the freshness if it has changed, and schedules its next change.
void EndpointDiscovery::update_freshness() {
  freshness_.record_answer_due(answer_due());
  freshness_.advance(loop_.now());
  loop_.cancel(freshness_deadline_);
  if (freshness_.next_change_at() < kNever) {
    loop_.schedule(freshness_deadline_, freshness_.next_change_at(), [this] { update_freshness(); });
  }
  const ListFreshness freshness = freshness_.state();
  if (freshness == reported_freshness_ && freshness_.possible_start_at() == reported_possible_start_at_) {
    return;
  }
  if (reported_freshness_ == ListFreshness::current) {
    outdated_since_ = loop_.now();
  }
  spdlog::info("endpoint_list_freshness_changed from={} to={} version={} outdated_for_ms={}",
               name_of(reported_freshness_), name_of(freshness), version_,
               (loop_.now() - outdated_since_) / kMs);
  reported_freshness_ = freshness;
  reported_possible_start_at_ = freshness_.possible_start_at();
  callbacks_.on_freshness_changed(freshness_);
}

void EndpointDiscovery::set_cached_version(std::int64_t version) {
  version_ = version;
  needs_complete_list_ = false;
}

void EndpointDiscovery::watch() {
  is_watching_ = true;
  call_next();
}

void EndpointDiscovery::fetch() {
  is_fetching_ = true;
  call_next();
}

// Each discovery service numbers its versions independently, so changes since a version of the former service
// could omit a drain. The abandoned call is not reported as a failure: the load balancer keeps its list, and
// the watch continues at the new address.
void EndpointDiscovery::change_address(const std::string& address) {
  if (address == address_) {
    return;
  }
  address_ = address;
  close();
  overdue_call_ = {};
  loop_.cancel(overdue_deadline_);
  needs_complete_list_ = true;
  deemed_notified_at_ = loop_.now() + kDeemedNotifiedAfterAddressChange;
  freshness_.record_notification(*deemed_notified_at_);
  update_freshness();
  fetch();
}

void EndpointDiscovery::call_next() {
  if (call_.is_in_progress) {
    return;
  }
  if (is_fetching_ || (is_watching_ && needs_complete_list_)) {
    return call("/api/targets", CallKind::fetch);
  }
  if (!is_watching_) {
    return;
  }
  // A watch is answered only when the list changes, so it would not show that the list is current. Nor would
  // its rejection at the end of its wait show whether discovery is overloaded or down.
  const bool is_update = freshness_.state() != ListFreshness::current || is_watch_overdue_ || is_turned_away_;
  const CallKind kind = is_update ? CallKind::update : CallKind::watch;
  call("/api/targets?after=" + std::to_string(version_) + "&wait_ms=" + std::to_string(wait_of(kind) / kMs),
       kind);
}

Duration EndpointDiscovery::wait_of(CallKind kind) {
  return kind == CallKind::watch ? kWatchWait : 0;
}

Duration EndpointDiscovery::overdue_after(CallKind kind) {
  switch (kind) {
    case CallKind::fetch:
      return kFetchOverdueAfter;
    case CallKind::update:
      return kUpdateOverdueAfter;
    case CallKind::watch:
      break;
  }
  return kWatchWait + kWatchOverdueAfter;
}

Duration EndpointDiscovery::max_answer_time(CallKind kind) {
  return wait_of(kind) + kMaxAnswerTime;
}

// Until when discovery may answer the earliest call that it has received; nothing if there is none, or if it
// has let a call pass without an answer.
std::optional<TimePoint> EndpointDiscovery::answer_due() const {
  const Call& earliest = overdue_call_.connection ? overdue_call_ : call_;
  if (is_silent_ || !earliest.is_in_progress || !earliest.connection->is_connected()) {
    return std::nullopt;
  }
  return earliest.started_at + max_answer_time(earliest.kind);
}

void EndpointDiscovery::call(const std::string& target, CallKind kind) {
  call_.kind = kind;
  call_.started_at = loop_.now();
  call_.request_delay = delays_request_ ? kRequestDelay : 0;
  call_.is_in_progress = true;
  ++counters_.endpoint_list_calls;
  spdlog::debug("endpoint_list_called target={}", target);
  loop_.schedule(deadline_, loop_.now() + overdue_after(kind), [this] { on_call_overdue(); });
  loop_.schedule(pending_call_deadline_, loop_.now() + kPendingCallDelay, [this] {
    freshness_.record_call_pending(loop_.now());
    update_freshness();
  });
  if (!call_.connection) {
    DiscoveryConnectionOwner& owner = *this;
    call_.connection = std::make_unique<DiscoveryConnection>(loop_, limits_, owner);
  }
  call_.connection->call(address_, target, call_.request_delay);
}

void EndpointDiscovery::on_call_overdue() {
  if (call_.kind == CallKind::watch) {
    deemed_notified_at_ = call_.started_at + kDeemedNotifiedAfterSilence;
    is_watch_overdue_ = true;
    retry_immediately_ = true;
    freshness_.record_notification(*deemed_notified_at_);
  }
  keep_overdue_call();
  end_call(DiscoveryCallEnd::overdue);
}

// The call stays open beside the next one. An earlier overdue call is given up for it.
void EndpointDiscovery::keep_overdue_call() {
  overdue_call_ = std::exchange(call_, {});
  call_.kind = overdue_call_.kind;
  call_.started_at = overdue_call_.started_at;
  loop_.schedule(overdue_deadline_, overdue_call_.started_at + max_answer_time(overdue_call_.kind), [this] {
    is_silent_ = true;
    freshness_.record_call_failure(loop_.now(), overdue_call_.started_at, ListCallFailure::unanswered);
    drop_overdue_call("unanswered");
    update_freshness();
  });
}

void EndpointDiscovery::drop_overdue_call(const char* reason) {
  spdlog::warn("endpoint_list_overdue_call_ended reason={} duration_ms={}", reason,
               (loop_.now() - overdue_call_.started_at) / kMs);
  overdue_call_ = {};
  loop_.cancel(overdue_deadline_);
}

bool EndpointDiscovery::is_overdue(const DiscoveryConnection& connection) const {
  return overdue_call_.connection.get() == &connection;
}

void EndpointDiscovery::on_call_answered(DiscoveryConnection& connection, const std::string& body) {
  const TimePoint started_at = is_overdue(connection) ? overdue_call_.started_at : call_.started_at;
  EndpointSnapshot list;
  try {
    list = parse_endpoint_list(json::parse(body), start_times_, loop_.now(), EventLoop::unix_now());
  } catch (const std::exception& error) {  // the last valid list stays in effect
    spdlog::warn("endpoint_list_unusable error=\"{}\"", error.what());
    return on_call_ended(connection, DiscoveryCallEnd::refused);
  }
  spdlog::debug("endpoint_list_received version={} endpoints={} duration_ms={}", list.version,
                list.entries.size(), (loop_.now() - started_at) / kMs);
  if (is_overdue(connection)) {  // the call that was made in its place is no longer needed
    call_ = std::move(overdue_call_);
  }
  overdue_call_ = {};
  loop_.cancel(overdue_deadline_);
  loop_.cancel(deadline_);
  loop_.cancel(pending_call_deadline_);
  call_.is_in_progress = false;
  is_silent_ = false;
  is_turned_away_ = false;
  delays_request_ = false;
  use_list(list);
}

void EndpointDiscovery::use_list(const EndpointSnapshot& list) {
  const bool has_changes = list.version != version_;
  // A service that has restarted its version numbers sends only changes since its restart; earlier ones may
  // be missing.
  if (!list.is_complete && list.version < version_) {
    needs_complete_list_ = true;
  }
  version_ = list.version;
  if (list.is_complete) {
    is_fetching_ = false;
    needs_complete_list_ = false;
  }
  deemed_notified_at_.reset();
  is_watch_overdue_ = false;
  if (!needs_complete_list_) {
    freshness_.record_list();
  }
  ++counters_.endpoint_lists;
  // The list is handed on before the next call, which may be answered at once: the older of the two lists
  // would be applied last.
  callbacks_.on_list(list);
  update_freshness();
  // Without the delay a service that answers immediately would be called in an endless loop.
  const bool is_unexpectedly_early =
      call_.kind != CallKind::update && !has_changes && loop_.now() - call_.started_at < kUnchangedListDelay;
  if (is_unexpectedly_early) {
    loop_.schedule(deadline_, loop_.now() + kUnchangedListDelay, [this] { call_next(); });
  } else {
    call_next();
  }
}

void EndpointDiscovery::on_call_ended(DiscoveryConnection& connection, DiscoveryCallEnd end) {
  if (is_overdue(connection)) {
    record_failure(overdue_call_, end);
    drop_overdue_call(name_of(end));
    return update_freshness();
  }
  if (end == DiscoveryCallEnd::idle_closed) {
    return repeat_on_new_connection();
  }
  record_failure(call_, end);
  close();
  end_call(end);
}

void EndpointDiscovery::record_failure(const Call& call, DiscoveryCallEnd end) {
  const FailedDiscoveryCall failed_call{.end = end,
                                        .has_sent_request = call.connection->has_sent_request(),
                                        .has_received = call.connection->has_received(),
                                        .duration = loop_.now() - call.started_at,
                                        .request_delay = call.request_delay};
  const ListCallFailure failure = classify_call_failure(failed_call);
  delays_request_ = delays_request_ || needs_delayed_request(failed_call);
  if (failure == ListCallFailure::rejected || failure == ListCallFailure::rejected_late) {
    is_silent_ = false;
    is_turned_away_ = true;
  }
  freshness_.record_call_failure(loop_.now(), call.started_at, failure);
}

void EndpointDiscovery::end_call(DiscoveryCallEnd end) {
  spdlog::warn("endpoint_list_call_lost duration_ms={} reason={}", (loop_.now() - call_.started_at) / kMs,
               name_of(end));
  loop_.cancel(deadline_);
  loop_.cancel(pending_call_deadline_);
  ++counters_.endpoint_list_calls_lost;
  update_freshness();
  // The call is repeated until this node is deemed notified of the changes that it may have missed, because
  // until then the node may send to a draining endpoint. The first repeat after an overdue watch is
  // immediate. The delay of other repeats is random because the watches of all nodes fail at the same time.
  if (deemed_notified_at_ && loop_.now() < *deemed_notified_at_) {
    const bool is_immediate = std::exchange(retry_immediately_, false);
    const auto delay = static_cast<Duration>(kRetryDelay * (0.5 + random_.next_fraction() / 2));
    return loop_.schedule(deadline_, loop_.now() + (is_immediate ? 0 : delay), [this] { call_next(); });
  }
  deemed_notified_at_.reset();
  is_watching_ = false;
  is_fetching_ = false;
  freshness_.record_watch_lost(loop_.now());
  update_freshness();
  callbacks_.on_watch_lost();
}

// Discovery may have closed the idle connection before it received the call. If it has held a watch open and
// then closed it, changes since then would be missed.
void EndpointDiscovery::repeat_on_new_connection() {
  if (call_.kind != CallKind::watch || loop_.now() - call_.started_at < kIdleClosedWithin) {
    return call_.connection->repeat_call();
  }
  close();
  freshness_.record_watch_lost(loop_.now());
  update_freshness();
  call_next();
}

// Gives up the latest call and closes its connection.
void EndpointDiscovery::close() {
  call_.connection.reset();
  call_.is_in_progress = false;
  loop_.cancel(deadline_);
}

}  // namespace dapplewharf
