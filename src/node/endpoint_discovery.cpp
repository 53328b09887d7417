#include "node/endpoint_discovery.h"

#include <spdlog/spdlog.h>

#include <nlohmann/json.hpp>

#include "config/platform_settings.h"
#include "policy/backoff.h"
#include "policy/notes.h"
#include "wire/http.h"

using nlohmann::json;

namespace dapplewharf {
namespace {

// Protocol page: what a silent watch misses counts as told so long after it fell silent, and what a new place
// has to tell so long after SIGHUP.
constexpr Tenths kToldUnheard = Backoff::kToldWithin, kToldAnew = 4 * kSecond;
// Half of that, so that there is as much again for a silent watch to be opened anew: all nodes' fall silent
// together, and one service answers them in turn.
constexpr Tenths kWait = 3 * kSecond;
constexpr Tenths kPatience = 500 * kMs;       // for an answer, over the wait that was asked for
constexpr Tenths kLongPatience = 1500 * kMs;  // the same from a service that let a watch hang just before
constexpr Tenths kPause = 100 * kMs;          // short enough for the watch to go on
constexpr Tenths kAgain = 200 * kMs;          // at most, between calls while something counts as told soon

EndpointState state_of(const std::string& word) {
  if (word == "up") {
    return EndpointState::healthy;
  }
  return word == "draining" ? EndpointState::draining
                            : EndpointState::removed;  // danger: new work on an unknown word
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

Tenths Incarnations::place(const std::string& host, double unix_ms, Tenths now, Tenths unix_now) {
  if (!(unix_ms > 0)) {
    return 0;
  }
  const auto [at, fresh] = known_.try_emplace(host, -1, 0);
  if (at->second.first != unix_ms) {
    at->second = {unix_ms, std::max<Tenths>(tenths_down(unix_ms) + now - unix_now, 1)};
  }
  return at->second.second;
}

EndpointSnapshot list_of(const json& from, Incarnations& starts, Tenths now, Tenths unix_now) {
  EndpointSnapshot to;
  to.whole = from.at("reset").get<bool>();
  to.version = from.at("generation").get<std::int64_t>();
  for (const json& entry : from.at("instances")) {
    EndpointEntry listing;
    listing.host = entry.at("instanceId").get<std::string>();
    listing.zone = field<std::string>(entry, "zone", "");
    listing.kind = field<std::string>(entry, "machineType", "");
    listing.cell = field<std::int64_t>(entry, "cell", 0);
    listing.state = state_of(entry.at("lifecycle").get<std::string>());
    listing.size = field<double>(entry, "weight", 1);
    listing.started = starts.place(listing.host, field<double>(entry, "startedAtMs", 0), now, unix_now);
    const auto address = field<std::string>(entry, "hostPort", "");
    if (!address.empty()) {
      to.addresses[listing.host] = address;
    }
    to.listings.push_back(std::move(listing));
  }
  return to;
}

EndpointDiscovery::EndpointDiscovery(EventLoop& loop, Counters& counters, std::string address,
                                     const Limits& limits, std::uint64_t seed, Heard heard)
    : loop_(loop),
      counters_(counters),
      address_(std::move(address)),
      limits_(limits),
      heard_(std::move(heard)),
      chance_(seed) {}

void EndpointDiscovery::watch() {
  watching_ = true;
  next();
}

void EndpointDiscovery::fetch() {
  fetching_ = true;
  next();
}

// Danger: versions are counted by each place for itself. Changes after a version of the old one would leave
// out a drain, so nothing but a whole list will do until one has come. A call that is out is no loss: the
// module keeps its list and its weights, and the watch goes on at the new place by itself.
void EndpointDiscovery::move_to(const std::string& address) {
  if (address == address_) {
    return;
  }
  address_ = address;
  hang_up();
  loop_.cancel(deadline_);
  out_ = false;
  anew_ = true;
  owed_by_ = loop_.now() + kToldAnew;
  fetch();
}

void EndpointDiscovery::next() {
  if (out_) {
    return;
  }
  if (fetching_ || (watching_ && anew_)) {
    return call("/api/targets", false);
  }
  if (!watching_) {
    return;
  }
  call("/api/targets?after=" + std::to_string(version_) + "&wait_ms=" + std::to_string(kWait / kMs), true);
}

void EndpointDiscovery::call(const std::string& target, bool waits) {
  const Tenths patience = waits ? kWait + (hung_ ? kLongPatience : kPatience) : Backoff::kPatience;
  out_ = true;
  ++counters_.endpoint_list_calls;
  spdlog::debug("endpoint_list_called target={}", target);
  request_ = get_request(address_, target);
  called_at_ = loop_.now();
  stale_ = static_cast<bool>(socket_);
  sent_ = 0;
  in_.clear();
  loop_.at(deadline_, loop_.now() + patience, [this, waits] {
    if (waits) {
      owed_by_ = called_at_ + kToldUnheard, hung_ = hung_now_ = true;
    }
    broken(false);
  });
  if (!socket_) {
    return dial_out();
  }
  loop_.want(watched_, POLLIN | POLLOUT);
  ready();
}

void EndpointDiscovery::dial_out() {
  const auto at = address_of(address_);
  connected_ = false;
  sent_ = 0;
  in_.clear();
  if (!at || dial(*at, limits_.descriptors, kLastOnes, socket_) != Dial::begun) {
    // Told in a turn of its own: the caller may be amid its own work.
    return loop_.at(deadline_, loop_.now(), [this] { broken(false); });
  }
  watched_ = loop_.watch(socket_.number(), POLLOUT, [this](short) { ready(); });
}

void EndpointDiscovery::ready() {
  if (!connected_) {
    if (!socket_.connected()) {
      return broken(false);
    }
    connected_ = true;
  }
  if (out_ && sent_ < request_.size()) {
    const auto given = socket_.send(request_.data() + sent_, request_.size() - sent_);
    if (!given) {
      return broken(stale_);
    }
    sent_ += *given;
  }
  loop_.want(watched_, sent_ < request_.size() && out_ ? POLLIN | POLLOUT : POLLIN);
  bool ended = false;
  const auto got = socket_.receive(in_, 64 * 1024, ended);
  if (!got) {
    return broken(stale_ && in_.empty());
  }
  if (!out_) {
    return ended || *got > 0 ? hang_up() : void();  // nothing was asked for
  }
  if (ended && in_.empty()) {
    return broken(stale_);
  }
  if (*got == 0 && !ended) {
    return;
  }
  const Answer answer = answer_of(in_, ended, limits_.list_bytes);
  if (answer.state == Answer::State::more) {
    return;
  }
  if (answer.state == Answer::State::bad || answer.status != 200) {
    spdlog::warn("endpoint_list_refused http={} status={}", answer.state != Answer::State::bad,
                 answer.status);
    return broken(false);
  }
  answered(answer.body, answer.closes || ended);
}

void EndpointDiscovery::answered(const std::string& body, bool closes) {
  EndpointSnapshot list;
  try {
    list = list_of(json::parse(body), starts, loop_.now(), EventLoop::unix_now());
  } catch (const std::exception& error) {  // danger: a list that is half garbage; the last good one is kept
    spdlog::warn("endpoint_list_unusable error=\"{}\"", error.what());
    return broken(false);
  }
  out_ = false;
  loop_.cancel(deadline_);
  if (closes) {
    hang_up();
  }
  spdlog::debug("endpoint_list_received version={} endpoints={} duration_ms={}", list.version,
                list.listings.size(), (loop_.now() - called_at_) / kMs);
  const bool news = list.version != version_;
  // Danger: a service that counts anew tells changes since its own beginning only; what came before is
  // missed.
  if (!list.whole && list.version < version_) {
    anew_ = true;
  }
  version_ = list.version;
  if (list.whole) {
    fetching_ = anew_ = false;
  }
  owed_by_ = 0, hung_ = false;
  ++counters_.endpoint_lists;
  // Danger: a service that answers without waiting would be asked without end.
  if (!news && loop_.now() - called_at_ < kPause) {
    loop_.at(deadline_, loop_.now() + kPause, [this] { next(); });
  } else {
    next();  // first: a watch goes on only if its next call comes soon
  }
  heard_.listed(list);
}

void EndpointDiscovery::broken(bool may_be_stale) {
  if (may_be_stale) {  // a kept connection was closed meanwhile: once more, on a new one
    hang_up();
    stale_ = false;
    return dial_out();
  }
  spdlog::warn("endpoint_list_call_lost duration_ms={}", (loop_.now() - called_at_) / kMs);
  hang_up();
  loop_.cancel(deadline_);
  out_ = false;
  ++counters_.endpoint_list_calls_lost;
  // Danger: what a silent watch or a place left behind has missed counts as told soon, and a host that drains
  // is still sent to. Until then it is asked for again and again, at once where a watch hung; only then it is
  // a loss, with growing waits. With chance: all nodes' watches fall silent together.
  if (loop_.now() < owed_by_) {
    const bool at_once = std::exchange(hung_now_, false);
    const auto pause = static_cast<Tenths>(kAgain * (0.5 + chance_.share() / 2));
    return loop_.at(deadline_, loop_.now() + (at_once ? 0 : pause), [this] { next(); });
  }
  owed_by_ = 0;
  watching_ = fetching_ = false;
  heard_.lost();
}

void EndpointDiscovery::hang_up() {
  loop_.unwatch(watched_);
  socket_.close();
  connected_ = false;
}

}  // namespace dapplewharf
