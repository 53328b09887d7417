// Reading of endpoint lists, and the steps of a call. Design: docs/design.md.
#include "node/endpoint_discovery.h"

#include <spdlog/spdlog.h>

#include <nlohmann/json.hpp>

#include "config/platform_settings.h"
#include "policy/backoff.h"
#include "wire/http.h"

using nlohmann::json;

namespace dapplewharf {
namespace {

// When what a silent watch has missed counts as notified, after it fell silent; and what a new address has to
// tell, after SIGHUP.
constexpr Duration kNotifiedAfterSilence = Backoff::kNotificationLimit;
constexpr Duration kNotifiedAfterMove = 4 * kSecond;
// Half of the first, so that as much again is left to begin a silent watch anew: all nodes' watches fall
// silent together, and one service answers them in turn.
constexpr Duration kWatchWait = 3 * kSecond;
constexpr Duration kWatchTimeout = 500 * kMs;       // for the answer, beyond the wait that was asked for
constexpr Duration kLateWatchTimeout = 1500 * kMs;  // the same after a watch that hung
constexpr Duration kRepeatDelay = 100 * kMs;        // short enough for the watch to go on
constexpr Duration kRetryDelay = 200 * kMs;         // at most, while a missed change counts as notified soon
constexpr std::size_t kReadBytes = 64 * 1024;
constexpr int kHttpOk = 200;

EndpointState state_of(const std::string& word) {
  if (word == "up") {
    return EndpointState::healthy;
  }
  // An unknown state gets no new work.
  return word == "draining" ? EndpointState::draining : EndpointState::removed;
}

template <class Value>
Value field(const json& from, const char* name, Value otherwise) {
  const auto found = from.find(name);
  if (found == from.end() || found->is_null()) {
    return otherwise;
  }
  return found->get<Value>();
}

}  // namespace

TimePoint Incarnations::place(const std::string& host, double unix_ms, TimePoint now, TimePoint unix_now) {
  if (!(unix_ms > 0)) {
    return 0;
  }
  Start& start = known_[host];
  if (start.unix_ms != unix_ms) {
    start = {unix_ms, std::max<TimePoint>(ticks_of_ms(unix_ms) + now - unix_now, 1)};
  }
  return start.at;
}

EndpointSnapshot list_of(const json& from, Incarnations& starts, TimePoint now, TimePoint unix_now) {
  EndpointSnapshot to;
  to.whole = from.at("reset").get<bool>();
  to.version = from.at("generation").get<std::int64_t>();
  for (const json& entry : from.at("instances")) {
    EndpointEntry listing;
    listing.id = entry.at("instanceId").get<std::string>();
    listing.zone = field<std::string>(entry, "zone", "");
    listing.machine_type = field<std::string>(entry, "machineType", "");
    listing.cell = field<std::int64_t>(entry, "cell", 0);
    listing.state = state_of(entry.at("lifecycle").get<std::string>());
    listing.size = field<double>(entry, "weight", 1);
    listing.started_at = starts.place(listing.id, field<double>(entry, "startedAtMs", 0), now, unix_now);
    const auto address = field<std::string>(entry, "hostPort", "");
    if (!address.empty()) {
      to.addresses[listing.id] = address;
    }
    to.listings.push_back(std::move(listing));
  }
  return to;
}

EndpointDiscovery::EndpointDiscovery(EventLoop& loop, Counters& counters, std::string address,
                                     const Limits& limits, std::uint64_t seed, Callbacks callbacks)
    : loop_(loop),
      counters_(counters),
      address_(std::move(address)),
      limits_(limits),
      callbacks_(std::move(callbacks)),
      random_(seed) {}

void EndpointDiscovery::set_known_version(std::int64_t version) {
  version_ = version;
  needs_complete_list_ = false;
}

void EndpointDiscovery::watch() {
  watching_ = true;
  call_next();
}

void EndpointDiscovery::fetch() {
  fetching_ = true;
  call_next();
}

// Each service counts its versions for itself, so changes since a version of the former one could leave out a
// drain. The call that is given up is no loss: the load balancer keeps its list, and the watch goes on.
void EndpointDiscovery::move_to(const std::string& address) {
  if (address == address_) {
    return;
  }
  address_ = address;
  close();
  loop_.cancel(deadline_);
  call_in_progress_ = false;
  needs_complete_list_ = true;
  notified_by_ = loop_.now() + kNotifiedAfterMove;
  fetch();
}

void EndpointDiscovery::call_next() {
  if (call_in_progress_) {
    return;
  }
  if (fetching_ || (watching_ && needs_complete_list_)) {
    return call("/api/targets", false);
  }
  if (!watching_) {
    return;
  }
  call("/api/targets?after=" + std::to_string(version_) + "&wait_ms=" + std::to_string(kWatchWait / kMs),
       true);
}

void EndpointDiscovery::call(const std::string& target, bool waits) {
  const Duration watch_timeout = kWatchWait + (watch_hung_ ? kLateWatchTimeout : kWatchTimeout);
  const Duration timeout = waits ? watch_timeout : Backoff::kResponseTimeout;
  call_in_progress_ = true;
  ++counters_.endpoint_list_calls;
  spdlog::debug("endpoint_list_called target={}", target);
  request_ = format_get_request(address_, target);
  called_at_ = loop_.now();
  reused_ = static_cast<bool>(socket_);
  sent_ = 0;
  received_.clear();
  loop_.schedule(deadline_, loop_.now() + timeout, [this, waits] {
    if (waits) {
      notified_by_ = called_at_ + kNotifiedAfterSilence;
      watch_hung_ = true;
      retry_at_once_ = true;
    }
    on_broken(false);
  });
  if (!socket_) {
    return connect();
  }
  loop_.update_interest(watched_, POLLIN | POLLOUT);
  on_ready();
}

void EndpointDiscovery::connect() {
  const auto address = parse_address(address_);
  connected_ = false;
  sent_ = 0;
  received_.clear();
  if (!address || start_connecting(*address, limits_.descriptors, kReservedFromDiscovery, socket_) !=
                      ConnectStart::in_progress) {
    // Reported in a turn of its own: the caller may be amid its own work.
    return loop_.schedule(deadline_, loop_.now(), [this] { on_broken(false); });
  }
  watched_ = loop_.watch(socket_.descriptor(), POLLOUT, [this](short) { on_ready(); });
}

void EndpointDiscovery::on_ready() {
  if (!connected_) {
    if (!socket_.is_connected()) {
      return on_broken(false);
    }
    connected_ = true;
  }
  if (!send_request()) {
    return on_broken(reused_);
  }
  const bool sending = call_in_progress_ && sent_ < request_.size();
  loop_.update_interest(watched_, sending ? POLLIN | POLLOUT : POLLIN);
  receive_answer();
}

// Returns false when the connection is broken.
bool EndpointDiscovery::send_request() {
  if (!call_in_progress_ || sent_ >= request_.size()) {
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
    return on_broken(reused_ && received_.empty());
  }
  if (!call_in_progress_) {
    if (closed || *received > 0) {
      close();  // nothing was asked for
    }
    return;
  }
  if (closed && received_.empty()) {
    return on_broken(reused_);
  }
  if (*received == 0 && !closed) {
    return;
  }
  const HttpResponse answer = parse_response(received_, closed, limits_.list_bytes);
  if (answer.state == HttpResponse::State::more) {
    return;
  }
  if (answer.state == HttpResponse::State::bad || answer.status != kHttpOk) {
    spdlog::warn("endpoint_list_refused http={} status={}", answer.state != HttpResponse::State::bad,
                 answer.status);
    return on_broken(false);
  }
  on_answer(answer.body, answer.closes || closed);
}

void EndpointDiscovery::on_answer(const std::string& body, bool closes) {
  EndpointSnapshot list;
  try {
    list = list_of(json::parse(body), incarnations_, loop_.now(), EventLoop::unix_now());
  } catch (const std::exception& error) {  // the last good list stays in force
    spdlog::warn("endpoint_list_unusable error=\"{}\"", error.what());
    return on_broken(false);
  }
  call_in_progress_ = false;
  loop_.cancel(deadline_);
  if (closes) {
    close();
  }
  spdlog::debug("endpoint_list_received version={} endpoints={} duration_ms={}", list.version,
                list.listings.size(), (loop_.now() - called_at_) / kMs);
  on_list(list);
}

void EndpointDiscovery::on_list(const EndpointSnapshot& list) {
  const bool has_news = list.version != version_;
  // A service that began to count anew sends changes since its own beginning only; earlier ones are missed.
  if (!list.whole && list.version < version_) {
    needs_complete_list_ = true;
  }
  version_ = list.version;
  if (list.whole) {
    fetching_ = false;
    needs_complete_list_ = false;
  }
  notified_by_.reset();
  watch_hung_ = false;
  ++counters_.endpoint_lists;
  // A service that answers without waiting would be called without end.
  if (!has_news && loop_.now() - called_at_ < kRepeatDelay) {
    loop_.schedule(deadline_, loop_.now() + kRepeatDelay, [this] { call_next(); });
  } else {
    call_next();  // first: a watch goes on only if its next call comes soon
  }
  callbacks_.listed(list);
}

void EndpointDiscovery::on_broken(bool may_be_stale) {
  if (may_be_stale) {  // a kept connection was closed meanwhile: once more, on a new one
    close();
    reused_ = false;
    return connect();
  }
  spdlog::warn("endpoint_list_call_lost duration_ms={}", (loop_.now() - called_at_) / kMs);
  close();
  loop_.cancel(deadline_);
  call_in_progress_ = false;
  ++counters_.endpoint_list_calls_lost;
  // Until a missed change counts as notified the call is repeated, at once where a watch hung: an endpoint
  // that drains would be sent to meanwhile. All nodes' watches fall silent together, hence the random part.
  if (notified_by_ && loop_.now() < *notified_by_) {
    const bool at_once = std::exchange(retry_at_once_, false);
    const auto delay = static_cast<Duration>(kRetryDelay * (0.5 + random_.next_fraction() / 2));
    return loop_.schedule(deadline_, loop_.now() + (at_once ? 0 : delay), [this] { call_next(); });
  }
  notified_by_.reset();
  watching_ = false;
  fetching_ = false;
  callbacks_.lost();
}

void EndpointDiscovery::close() {
  loop_.unwatch(watched_);
  socket_.close();
  connected_ = false;
}

}  // namespace dapplewharf
