// Parsing of endpoint lists, and the steps of a call to discovery. Design: docs/design.md.
#include "node/endpoint_discovery.h"

#include <spdlog/spdlog.h>

#include <nlohmann/json.hpp>

#include "config/platform_settings.h"
#include "policy/backoff.h"
#include "wire/http.h"

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
constexpr Duration kWatchTimeout = 500 * kMs;  // for the answer, in addition to `kWatchWait`
// For the answer to an update. Longer than Backoff::kResponseTimeout, after which an overloaded service gives
// a call up, so that its answer still arrives.
constexpr Duration kUpdateTimeout = Backoff::kResponseTimeout + 500 * kMs;
// A call that fails within this time has failed at once.
constexpr Duration kImmediateFailure = 100 * kMs;
// A call that has not failed within this time is expected to be answered.
constexpr Duration kPendingCallDelay = 50 * kMs;
// Before the next call after an unchanged list; short enough that discovery does not end the watch.
constexpr Duration kUnchangedListDelay = 100 * kMs;
constexpr Duration kRetryDelay = 200 * kMs;  // the longest delay between retries before `deemed_notified_at_`
constexpr std::size_t kReadBytes = 64 * 1024;
constexpr int kHttpOk = 200;

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
  loop_.cancel(deadline_);
  is_call_in_progress_ = false;
  needs_complete_list_ = true;
  deemed_notified_at_ = loop_.now() + kDeemedNotifiedAfterAddressChange;
  freshness_.record_notification(*deemed_notified_at_);
  update_freshness();
  fetch();
}

void EndpointDiscovery::call_next() {
  if (is_call_in_progress_) {
    return;
  }
  if (is_fetching_ || (is_watching_ && needs_complete_list_)) {
    return call("/api/targets", CallKind::fetch);
  }
  if (!is_watching_) {
    return;
  }
  // A watch is answered only when the list changes, so it would not show that the list is current.
  const bool is_update = freshness_.state() != ListFreshness::current || last_watch_timed_out_;
  const Duration wait = is_update ? 0 : kWatchWait;
  call("/api/targets?after=" + std::to_string(version_) + "&wait_ms=" + std::to_string(wait / kMs),
       is_update ? CallKind::update : CallKind::watch);
}

Duration EndpointDiscovery::call_timeout() const {
  switch (call_kind_) {
    case CallKind::fetch:
      return Backoff::kResponseTimeout;
    case CallKind::update:
      return kUpdateTimeout;
    case CallKind::watch:
      break;
  }
  return kWatchWait + kWatchTimeout;
}

void EndpointDiscovery::call(const std::string& target, CallKind kind) {
  call_kind_ = kind;
  is_call_in_progress_ = true;
  ++counters_.endpoint_list_calls;
  spdlog::debug("endpoint_list_called target={}", target);
  request_ = format_get_request(address_, target);
  called_at_ = loop_.now();
  has_failed_locally_ = false;
  is_reused_connection_ = static_cast<bool>(socket_);
  sent_ = 0;
  received_.clear();
  loop_.schedule(deadline_, loop_.now() + call_timeout(), [this] { on_call_timed_out(); });
  loop_.schedule(pending_call_deadline_, loop_.now() + kPendingCallDelay, [this] {
    freshness_.record_call_pending(loop_.now());
    update_freshness();
  });
  if (!socket_) {
    return connect();
  }
  loop_.update_interest(socket_watch_, POLLIN | POLLOUT);
  on_ready();
}

void EndpointDiscovery::on_call_timed_out() {
  if (call_kind_ == CallKind::watch) {
    deemed_notified_at_ = called_at_ + kDeemedNotifiedAfterSilence;
    last_watch_timed_out_ = true;
    retry_immediately_ = true;
    freshness_.record_notification(*deemed_notified_at_);
  }
  on_broken(false);
}

void EndpointDiscovery::connect() {
  const auto address = parse_address(address_);
  is_connected_ = false;
  sent_ = 0;
  received_.clear();
  const ConnectStart start =
      address ? start_connecting(*address, limits_.descriptors, kReservedFromDiscovery, socket_)
              : ConnectStart::refused;
  if (start != ConnectStart::in_progress) {
    has_failed_locally_ = start != ConnectStart::refused;
    // Reported asynchronously, so that the caller is not called back while it is still executing.
    return loop_.schedule(deadline_, loop_.now(), [this] { on_broken(false); });
  }
  socket_watch_ = loop_.watch(socket_.descriptor(), POLLOUT, [this](short) { on_ready(); });
}

void EndpointDiscovery::on_ready() {
  if (!is_connected_) {
    if (!socket_.is_connected()) {
      return on_broken(false);
    }
    is_connected_ = true;
  }
  if (!send_request()) {
    return on_broken(is_reused_connection_);
  }
  const bool is_sending = is_call_in_progress_ && sent_ < request_.size();
  loop_.update_interest(socket_watch_, is_sending ? POLLIN | POLLOUT : POLLIN);
  receive_answer();
}

// Returns false if the connection is broken.
bool EndpointDiscovery::send_request() {
  if (!is_call_in_progress_ || sent_ >= request_.size()) {
    return true;
  }
  const auto sent = socket_.send(request_.data() + sent_, request_.size() - sent_);
  sent_ += sent.value_or(0);
  return sent.has_value();
}

void EndpointDiscovery::receive_answer() {
  bool closed = false;
  const auto received = socket_.receive(received_, kReadBytes, closed);
  if (!received) {
    return on_broken(is_reused_connection_ && received_.empty());
  }
  if (!is_call_in_progress_) {
    if (closed || *received > 0) {
      close();  // unexpected data, or closed by discovery
    }
    return;
  }
  if (closed && received_.empty()) {
    return on_broken(is_reused_connection_);
  }
  if (*received == 0 && !closed) {
    return;
  }
  const HttpResponse answer = parse_response(received_, closed, limits_.max_list_bytes);
  if (answer.state == HttpResponse::State::incomplete) {
    return;
  }
  if (answer.state == HttpResponse::State::malformed || answer.status != kHttpOk) {
    spdlog::warn("endpoint_list_refused http={} status={}", answer.state != HttpResponse::State::malformed,
                 answer.status);
    return on_broken(false);
  }
  on_answer(answer.body, answer.closes_connection || closed);
}

void EndpointDiscovery::on_answer(const std::string& body, bool closes) {
  EndpointSnapshot list;
  try {
    list = parse_endpoint_list(json::parse(body), start_times_, loop_.now(), EventLoop::unix_now());
  } catch (const std::exception& error) {  // the last valid list stays in effect
    spdlog::warn("endpoint_list_unusable error=\"{}\"", error.what());
    return on_broken(false);
  }
  is_call_in_progress_ = false;
  loop_.cancel(deadline_);
  loop_.cancel(pending_call_deadline_);
  if (closes) {
    close();
  }
  spdlog::debug("endpoint_list_received version={} endpoints={} duration_ms={}", list.version,
                list.entries.size(), (loop_.now() - called_at_) / kMs);
  on_list(list);
}

void EndpointDiscovery::on_list(const EndpointSnapshot& list) {
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
  last_watch_timed_out_ = false;
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
      call_kind_ != CallKind::update && !has_changes && loop_.now() - called_at_ < kUnchangedListDelay;
  if (is_unexpectedly_early) {
    loop_.schedule(deadline_, loop_.now() + kUnchangedListDelay, [this] { call_next(); });
  } else {
    call_next();
  }
}

ListCallFailure EndpointDiscovery::call_failure() const {
  if (has_failed_locally_ || loop_.now() - called_at_ >= kImmediateFailure) {
    return ListCallFailure::unanswered;
  }
  return received_.empty() ? ListCallFailure::unavailable : ListCallFailure::overloaded;
}

void EndpointDiscovery::on_broken(bool may_be_stale) {
  if (may_be_stale) {
    return repeat_on_new_connection();
  }
  spdlog::warn("endpoint_list_call_lost duration_ms={}", (loop_.now() - called_at_) / kMs);
  close();
  loop_.cancel(deadline_);
  loop_.cancel(pending_call_deadline_);
  is_call_in_progress_ = false;
  ++counters_.endpoint_list_calls_lost;
  freshness_.record_call_failure(loop_.now(), call_failure());
  update_freshness();
  // The call is repeated until this node is deemed notified of the changes that it may have missed, because
  // until then the node may send to a draining endpoint. The first repeat after a watch that timed out is
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
  close();
  is_reused_connection_ = false;
  if (call_kind_ != CallKind::watch || loop_.now() - called_at_ < kImmediateFailure) {
    return connect();
  }
  freshness_.record_watch_lost(loop_.now());
  update_freshness();
  loop_.cancel(deadline_);
  is_call_in_progress_ = false;
  call_next();
}

void EndpointDiscovery::close() {
  loop_.unwatch(socket_watch_);
  socket_.close();
  is_connected_ = false;
}

}  // namespace dapplewharf
