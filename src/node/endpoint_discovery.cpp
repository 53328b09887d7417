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
constexpr Duration kWatchTimeout = 500 * kMs;               // for the answer, in addition to `kWatchWait`
constexpr Duration kWatchTimeoutAfterTimeout = 1500 * kMs;  // the same, after a watch that timed out
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
                                     const Limits& limits, std::uint64_t seed, Callbacks callbacks)
    : loop_(loop),
      counters_(counters),
      address_(std::move(address)),
      limits_(limits),
      callbacks_(std::move(callbacks)),
      random_(seed) {}

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
  fetch();
}

void EndpointDiscovery::call_next() {
  if (is_call_in_progress_) {
    return;
  }
  if (is_fetching_ || (is_watching_ && needs_complete_list_)) {
    return call("/api/targets", false);
  }
  if (!is_watching_) {
    return;
  }
  call("/api/targets?after=" + std::to_string(version_) + "&wait_ms=" + std::to_string(kWatchWait / kMs),
       true);
}

void EndpointDiscovery::call(const std::string& target, bool is_watch) {
  const Duration watch_timeout =
      kWatchWait + (last_watch_timed_out_ ? kWatchTimeoutAfterTimeout : kWatchTimeout);
  const Duration timeout = is_watch ? watch_timeout : Backoff::kResponseTimeout;
  is_call_in_progress_ = true;
  ++counters_.endpoint_list_calls;
  spdlog::debug("endpoint_list_called target={}", target);
  request_ = format_get_request(address_, target);
  called_at_ = loop_.now();
  is_reused_connection_ = static_cast<bool>(socket_);
  sent_ = 0;
  received_.clear();
  loop_.schedule(deadline_, loop_.now() + timeout, [this, is_watch] {
    if (is_watch) {
      deemed_notified_at_ = called_at_ + kDeemedNotifiedAfterSilence;
      last_watch_timed_out_ = true;
      retry_immediately_ = true;
    }
    on_broken(false);
  });
  if (!socket_) {
    return connect();
  }
  loop_.update_interest(socket_watch_, POLLIN | POLLOUT);
  on_ready();
}

void EndpointDiscovery::connect() {
  const auto address = parse_address(address_);
  is_connected_ = false;
  sent_ = 0;
  received_.clear();
  if (!address || start_connecting(*address, limits_.descriptors, kReservedFromDiscovery, socket_) !=
                      ConnectStart::in_progress) {
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
  ++counters_.endpoint_lists;
  // Without the delay a service that answers immediately would be called in an endless loop.
  if (!has_changes && loop_.now() - called_at_ < kUnchangedListDelay) {
    loop_.schedule(deadline_, loop_.now() + kUnchangedListDelay, [this] { call_next(); });
  } else {
    call_next();  // before the callback, because discovery ends a watch whose next call is late
  }
  callbacks_.on_list(list);
}

void EndpointDiscovery::on_broken(bool may_be_stale) {
  if (may_be_stale) {  // discovery may have closed the idle connection: repeat the call on a new one
    close();
    is_reused_connection_ = false;
    return connect();
  }
  spdlog::warn("endpoint_list_call_lost duration_ms={}", (loop_.now() - called_at_) / kMs);
  close();
  loop_.cancel(deadline_);
  is_call_in_progress_ = false;
  ++counters_.endpoint_list_calls_lost;
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
  callbacks_.on_watch_lost();
}

void EndpointDiscovery::close() {
  loop_.unwatch(socket_watch_);
  socket_.close();
  is_connected_ = false;
}

}  // namespace dapplewharf
