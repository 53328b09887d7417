#include "node/node.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "config/platform_settings.h"
#include "policy/backoff.h"
#include "policy/notes.h"

using nlohmann::json;

namespace dapplewharf {
namespace {

constexpr Tenths kLookEvery = 100 * kMs;    // at how long lines have been unanswered
constexpr Tenths kMeterSpan = 2 * kSecond;  // as often as clients send a line
constexpr Tenths kTellEvery = kSecond;
constexpr Tenths kProbeHolds = 5 * kSecond;    // what a probe showed, when none follows
constexpr Tenths kLeastHolds = 120 * kSecond;  // the least that a probe took: the way there and back
constexpr Tenths kStillComing = kSecond;       // clients go on coming that long after SIGTERM
constexpr Tenths kLongestWait =
    3 * kSecond;  // SIGKILL comes after the longest expiry, or after this, and 0.7 s
constexpr Tenths kBeforeKill = 600 * kMs;
constexpr Tenths kHeldUp = 50 * kMs;  // this process was: what it measured is its own delay
constexpr double kOwnPart = 1.0 / 5;  // of a goal: what a message takes where nothing else is done
constexpr double kSpeeds = 2;         // how far hosts at rest differ, beyond what their sizes say
constexpr Tenths kNoise = 15;         // a probe's time over the least that says nothing
constexpr double kHeldStep = 0.5;     // connections: less is no news
// Danger: parsed, a list takes up to twenty times its size. With 32 MB that is 1 MiB, 1,024 hosts of 1,024
// bytes.
constexpr double kListPart = 32;

std::string id_of(Handle ticket) {
  return std::to_string(ticket.slot) + "." + std::to_string(ticket.life);
}

}  // namespace

void LatencyEstimator::probed(Tenths now, Tenths took) {
  probes_.emplace_back(now, took);
  while (now - probes_.front().first >= kLeastHolds) {
    probes_.pop_front();
  }
}

std::optional<Tenths> LatencyEstimator::least() const {
  if (probes_.empty()) {
    return std::nullopt;
  }
  const auto shorter = [](const auto& a, const auto& b) { return a.second < b.second; };
  return std::min_element(probes_.begin(), probes_.end(), shorter)->second;
}

// Danger: a host that is slow still echoes lines at once; only what waits in its queue shows it.
std::optional<Tenths> LatencyEstimator::tell(Tenths now, Tenths goal, const std::vector<Tenths>& unanswered,
                                             Tenths at_rest) {
  const Tenths limit = goal / 3;
  while (!lines_.empty() && now - lines_.front().first >= kMeterSpan) {
    lines_.pop_front();
  }
  std::vector<Tenths> delays;
  for (const Tenths age : unanswered) {
    if (age > limit) {
      delays.push_back(age);  // younger ones say nothing yet
    }
  }
  for (const auto& [when, delay] : lines_) {
    delays.push_back(delay);
  }
  std::optional<Tenths> delay;
  if (!delays.empty()) {
    const auto middle = delays.begin() + static_cast<std::ptrdiff_t>(delays.size() / 2);
    std::nth_element(delays.begin(), middle, delays.end());
    delay = *middle;
  }
  if (!probes_.empty() && now - probes_.back().first < kProbeHolds) {
    // Danger: a host that this node has only ever seen slow seems to be at rest.
    const Tenths own = std::max<Tenths>(*this->least(), 1);
    // One probe alone may have come amid the set-ups of a start.
    const Tenths least = at_rest > 0 && probes_.size() > 1 ? std::min(own, at_rest) : own;
    const Tenths last = probes_.back().second;
    const Tenths waited = last - least;
    // A message's own part of its goal grows as the probe has; the rest of the probe's time it waits as well.
    const auto stretched =
        static_cast<Tenths>(kOwnPart * static_cast<double>(goal * last) / static_cast<double>(least));
    delay = std::max(delay.value_or(0), waited > kNoise ? std::max(waited, stretched) : waited);
  }
  if (!delay) {
    return std::nullopt;
  }
  const bool over = *delay > limit;
  if (over ? over_ && now - told_at_ < kTellEvery : !over_) {
    return std::nullopt;
  }
  over_ = over;
  told_at_ = now;
  return delay;
}

double baseline_service_time(std::vector<double> works) {
  if (works.empty()) {
    return 0;
  }
  std::sort(works.begin(), works.end());
  return works[(works.size() - 1) / 3];
}

Outcome outcome_of(AttemptResult end) {
  switch (end.cause) {
    case TerminationReason::withdrawn:
      return Outcome::withdrawn;
    case TerminationReason::no_descriptor:
    case TerminationReason::local_failure:
      return Outcome::not_sent;  // says nothing of the host
    case TerminationReason::client:
    case TerminationReason::cancelled:
    case TerminationReason::move:
      return Outcome::cancelled;
    case TerminationReason::bye:
      return Outcome::succeeded;
    case TerminationReason::busy:
      return Outcome::rejected;
    case TerminationReason::error:
    case TerminationReason::nonsense:
      return Outcome::error;
    case TerminationReason::time_out:
    case TerminationReason::broken:
    case TerminationReason::closed:
      break;
  }
  if (end.reach < AttemptProgress::written) {
    return Outcome::connect_failed;  // its last byte never went out
  }
  return end.cause == TerminationReason::time_out ? Outcome::timed_out : Outcome::connection_lost;
}

Node::Node(EventLoop& loop, Configuration configuration)
    : loop_(loop),
      configuration_(std::move(configuration)),
      settings_(settings_of(configuration_.env)),
      load_balancer_(settings_, configuration_.seed, loop.now()),
      relay_(loop, counters_, limits_, grammar_,
             {[this](Handle at, const RequestLine& opening) { on_request(at, opening); },
              [this](Handle at) { on_client_left(at); }, [this](Handle at) { on_established(at); },
              [this](Handle at, AttemptResult end) { on_attempt_ended(at, end); },
              [this](Handle at) {
                const HeldRequest* found = held(at);
                if (!found) {
                  return true;
                }
                return !ledger_.check_send(id_of(at), allowed_by_list(*found), loop_.now());
              },
              [this](Handle at, Tenths delay) {
                const HeldRequest* found = held(at);
                if (found && loop_.late() < kHeldUp) {
                  meters_[found->host].line_back(loop_.now(), delay);
                }
              },
              [this](Handle at, double load) {
                if (const HeldRequest* found = held(at)) {
                  tell(EventKind::load_told, id_of(at), found->host).figure = load;
                }
              }}),
      discovery_(loop, counters_, configuration_.discovery, limits_, configuration_.seed,
                 {[this](const EndpointSnapshot& list) {
                    losses_ = 0;
                    on_list(list, list.whole ? EventKind::list_whole : EventKind::list_changes);
                  },
                  [this] {
                    ++losses_;
                    tell(EventKind::list_lost);
                    subscribe();
                  }}),
      probes_(loop, counters_, limits_,
              [this](const std::string& host, const HealthChecker::Probed& probed) {
                Event& event = tell(EventKind::probe_ended, "", host);
                event.outcome = outcome_of(probed.end);
                event.took = probed.took;
                if (probed.answer_after > 0 && loop_.late() < kHeldUp) {
                  meters_[host].probed(loop_.now(), probed.answer_after);
                }
              }),
      peers_(loop, counters_, configuration_.peers, configuration_.seed),
      chance_(hash(configuration_.seed)) {
  if (configuration_.shadow) {
    shadow_ = std::make_unique<Shadow>(settings_of(*configuration_.shadow), configuration_.seed, loop.now());
  }
  take_settings();
}

void Node::take_settings() {
  const nlohmann::json::json_pointer groups("/extra/groups");
  groups_ = configuration_.env.contains(groups) && configuration_.env.at(groups) == true;
  drain_alone_ = number(settings_, "drain_binds_alone", 0) != 0;
  shortest_goal_ = static_cast<Tenths>(extreme(settings_, "message_goal.", "", -1, 0));
  limits_.connect_time = static_cast<Tenths>(number(settings_, "connect_time", kSecond));
  limits_.descriptors = configuration_.descriptors;
  limits_.list_bytes = static_cast<std::size_t>(configuration_.memory_mb * 1024 * 1024 / kListPart);
  grammar_ = {};
  for (int i = 0; settings_.count("traffic." + std::to_string(i) + ".name"); ++i) {
    const std::string at = "traffic." + std::to_string(i) + ".";
    grammar_.traffic[text(settings_, at + "name")] =
        static_cast<Tenths>(number(settings_, at + "expiry", static_cast<double>(INT64_MAX / 2)));
  }
  for (int i = 0; settings_.count("tenant." + std::to_string(i) + ".name"); ++i) {
    grammar_.tenants.insert(text(settings_, "tenant." + std::to_string(i) + ".name"));
  }
}

std::optional<std::string> Node::start() {
  EndpointSnapshot known;
  try {
    // Without a list to go on from the first call is for the whole one: changes since nothing may leave hosts
    // out.
    if (!configuration_.known.is_null()) {
      known = list_of(configuration_.known, discovery_.starts, loop_.now(), EventLoop::unix_now());
      discovery_.knows(known.version);
    }
  } catch (const std::exception& error) {
    spdlog::warn("the list known before is not usable: {}", error.what());
  }
  on_list(known, EventKind::list_copy);
  settle();
  subscribe();
  sample_delays();
  const auto at = address_of(configuration_.listen);
  return at ? relay_.listen(*at) : std::string("no address of the form a.b.c.d:port");
}

// Where changes come unasked the module never asks; the node keeps the watch up.
void Node::subscribe() {
  if (text(settings_, "discovery") == "on_request") {
    return;
  }
  // Danger: what the service has counts as told from the moment it is back, and hosts that drain are sent to
  // until the node has asked: no wait is longer than half of the grace.
  const Backoff backoff(number(settings_, "nodes", 1),
                        static_cast<Tenths>(number(settings_, "drain_grace", 0)) / 2);
  loop_.at(again_, loop_.now() + (losses_ == 0 ? 0 : backoff.again(losses_, chance_.share())),
           [this] { discovery_.watch(); });
}

std::string Node::address(const std::string& host) const {
  const auto found = addresses_.find(host);
  return found == addresses_.end() ? "" : found->second;
}

Event& Node::tell(EventKind kind, const std::string& id, const std::string& host) {
  Event& event = events_.emplace_back();
  event.kind = kind;
  event.id = id;
  event.host = host;
  return event;
}

Node::HeldRequest* Node::held(Handle ticket) {
  const auto found = held_.find(id_of(ticket));
  return found == held_.end() ? nullptr : &found->second;
}

void Node::on_request(Handle ticket, const RequestLine& opening) {
  HeldRequest made;
  made.ticket = ticket;
  Event& event = tell(opening.at.empty() ? EventKind::attachment : EventKind::handed_over, id_of(ticket));
  event.traffic_type = opening.traffic_type;
  event.tenant = opening.tenant;
  event.key = opening.key;
  if (groups_) {
    event.group = opening.group;
  }
  event.expiry = loop_.now() + opening.wait;
  if (stopping_) {
    event.expiry = std::min(event.expiry, ends_by_ - kLookEvery);  // no answer comes later
  }
  made.request = opening.id;
  event.repeated = opening.repeated;
  event.returned = opening.returned;
  if (!opening.at.empty()) {
    ++counters_.handed_over;
    event.host = made.host = opening.at;
    event.pending = made.handed_over = true;
    made.tries = 1;
    made.sent = loop_.now();
    made.out = true;
    made.reattach.emplace(loop_.now(), opening.wait);
  }
  ledger_.open(event.id, repeat_rule_of(opening.traffic_type), event.expiry);
  held_[event.id] = made;
  if (!opening.at.empty()) {
    reattach(ticket);
  }
}

EndpointLocation Node::place_of(const std::string& host) const {
  const auto found = places_.find(host);
  return found == places_.end() ? EndpointLocation{host, "", 0} : found->second;
}

RepeatRule Node::repeat_rule_of(const std::string& traffic_type) const {
  const std::string at = entry(settings_, "traffic.", traffic_type);
  if (at.empty()) {
    return {};
  }
  const std::string effect = text(settings_, at + "effect");
  const std::string group = text(settings_, at + "repeat_group");
  return {effect == "idempotent"     ? Idempotency::idempotent
          : effect == "deduplicated" ? Idempotency::deduplicated
                                     : Idempotency::non_idempotent,
          group == "all"    ? DeduplicationScope::all
          : group == "zone" ? DeduplicationScope::zone
                            : DeduplicationScope::cell,
          static_cast<Tenths>(number(settings_, at + "repeat_window", 0))};
}

bool Node::allowed_by_list(const HeldRequest& held) const {
  if (held.handed_over) {
    return true;  // nothing new: it stood there before
  }
  const auto leaves = leaving_.find(held.host);
  return leaves == leaving_.end() || (drain_alone_ && leaves->second == EndpointState::removed);
}

void Node::violated(const std::string& what, const std::string& id, std::optional<Violation> refusal) {
  ++counters_.violations;
  const auto found = held_.find(id);
  spdlog::error("refused to {} request {}: {}", what, found == held_.end() ? id : found->second.request,
                refusal ? name_of(*refusal) : "none");
}

void Node::release(const std::string& id) {
  if (ledger_.close(id)) {
    violated("close unanswered", id, std::nullopt);
  }
  held_.erase(id);
}

// The one way to an attempt: nothing goes to a host that the ledger refuses.
std::optional<Violation> Node::start_attempt(HeldRequest& held, const std::string& id, Tenths time_out,
                                             Tenths connect_time) {
  const EndpointLocation place = place_of(held.host);
  // The list is looked at again before the first byte.
  if (const auto refusal = ledger_.check_attempt(id, place, true, loop_.now())) {
    return refusal;
  }
  ledger_.begun(id, place, loop_.now());
  relay_.begin_attempt(held.ticket, address_of(address(held.host)), time_out, connect_time);
  return std::nullopt;
}

void Node::reattach(Handle ticket) {
  HeldRequest* found = held(ticket);
  if (!found || found->up || found->client_done) {
    return;
  }
  found->between_attempts = false;
  Tenths time = found->reattach->attempt_time(loop_.now());
  if (stopping_) {
    time = std::max<Tenths>(1, std::min(time, ends_by_ - kLookEvery - loop_.now()));
  }
  if (!start_attempt(*found, id_of(ticket), time, time)) {
    return;
  }
  found->between_attempts = true;
  on_attempt_ended(ticket, {AttemptProgress::not_connected, TerminationReason::withdrawn});
}

// Danger: the platform allows 40 s for a connection from before to come up again, and counts it as lost after
// that. No single failure ends it: only a rule, its client, its host's leaving or the end of that time does.
bool Node::reattach_later(Handle ticket, HeldRequest& held, AttemptResult end) {
  if (held.between_attempts) {
    return false;  // the ledger has refused
  }
  const std::string id = id_of(ticket);
  const bool listed = !address(held.host).empty();
  const auto leaves = leaving_.find(held.host);
  const bool host_leaves = leaves != leaving_.end() && !drain_alone_;
  const auto refusal = ledger_.check_attempt(id, place_of(held.host), !host_leaves, loop_.now());
  const auto pause = held.reattach->pause(loop_.now(), listed, chance_.share());
  const bool again = !refusal && pause && !stopping_;
  spdlog::log(again ? spdlog::level::info : spdlog::level::warn,
              "request {} from before: attempt at host {} ended after ms {}, reach {}, cause {}; {}",
              held.request, held.host, (loop_.now() - held.sent) / kMs, static_cast<int>(end.reach),
              static_cast<int>(end.cause),
              again       ? "again in ms " + std::to_string(*pause / kMs)
              : refusal   ? std::string("given up: ") + name_of(*refusal)
              : stopping_ ? std::string("given up: the node ends")
                          : std::string("given up: its time is over"));
  if (!again) {
    return false;
  }
  ++counters_.reattached;
  held.between_attempts = true;
  EventLoop::Deadline one;
  loop_.at(one, loop_.now() + *pause, [this, ticket] { reattach(ticket); });
  return true;
}

void Node::on_client_left(Handle ticket) {
  HeldRequest* found = held(ticket);
  if (!found) {
    return;
  }
  tell(EventKind::client_left, id_of(ticket));
  ledger_.client_left(id_of(ticket));
  if (!found->out) {
    return release(id_of(ticket));
  }
  found->client_done = true;
  if (found->between_attempts) {
    on_attempt_ended(ticket, {AttemptProgress::not_connected, TerminationReason::client});
  }
}

void Node::on_established(Handle ticket) {
  HeldRequest* found = held(ticket);
  if (!found) {
    return;
  }
  if (const auto refusal = ledger_.check_answer(id_of(ticket), FinalAnswer::up)) {
    violated("pass on UP to", id_of(ticket), refusal);
  }
  ledger_.answered(id_of(ticket));
  found->up = true;
  Event& event = tell(EventKind::established, id_of(ticket), found->host);
  event.number = found->tries - 1;
  event.took = loop_.now() - found->sent;
  spdlog::debug("host {} is up, ms {}{}", found->host, event.took / kMs,
                found->handed_over ? ", from before" : "");
}

void Node::on_attempt_ended(Handle ticket, AttemptResult end) {
  HeldRequest* found = held(ticket);
  if (!found || !found->out) {
    return;
  }
  const Outcome outcome = outcome_of(end);
  if (!found->between_attempts) {
    ledger_.ended(id_of(ticket), outcome != Outcome::rejected && outcome != Outcome::connect_failed &&
                                     outcome != Outcome::not_sent && outcome != Outcome::withdrawn);
  }
  if (found->handed_over && !found->up && !found->client_done && reattach_later(ticket, *found, end)) {
    return;
  }
  Event& event = tell(EventKind::try_ended, id_of(ticket), found->host);
  event.number = found->tries - 1;
  event.outcome = outcome;
  event.took = loop_.now() - found->sent;
  event.final = found->up || found->client_done || found->handed_over;
  switch (event.outcome) {
    case Outcome::succeeded:
      ++counters_.ended;
      break;
    case Outcome::error:
      ++counters_.errors;
      break;
    case Outcome::rejected:
      ++counters_.turned_away;
      break;
    case Outcome::timed_out:
      ++counters_.unanswered;
      break;
    case Outcome::connect_failed:
      ++counters_.not_connected;
      break;
    case Outcome::connection_lost:
      ++counters_.lost;
      break;
    case Outcome::cancelled:
      ++counters_.cancelled;
      break;
    case Outcome::not_sent:
      ++counters_.not_sent;
      break;
    case Outcome::withdrawn:
      ++counters_.withdrawn, --found->tries;
      break;  // as if it had never been
  }
  // What a fleet of many nodes did is counted from these lines (tools/count.awk); none while level is info.
  spdlog::debug("host {} ended a {}, outcome {}, after ms {}", found->host, found->up ? "connection" : "try",
                static_cast<int>(event.outcome), event.took / kMs);
  found->out = false;
  const bool unheard = found->handed_over && !found->up && !found->client_done;
  const bool final = event.final;
  // A connection that stood at a host and can't be had there any more has ended; its client is told so.
  if (unheard) {
    return ++counters_.scrapped, answer(id_of(ticket), FinalAnswer::error, "ERR\r\n");
  }
  if (final) {
    release(id_of(ticket));
  }
}

void Node::on_list(const EndpointSnapshot& list, EventKind kind) {
  for (const auto& [host, address] : list.addresses) {
    addresses_[host] = address;
  }
  std::set<std::string> up;
  std::set<std::string> gone;
  for (const EndpointEntry& listing : list.listings) {
    places_[listing.host] = {listing.host, listing.zone, listing.cell};
    (listing.state == EndpointState::removed ? gone : up).insert(listing.host);
    if (listing.zone == text(settings_, "zone") && listing.size > 0) {
      near_[listing.host] = listing.size;
    }
  }
  for (const auto& [host, address] : addresses_) {
    if (list.whole && !up.count(host)) {
      gone.insert(host);
    }
  }
  for (const EndpointEntry& listing : list.listings) {
    if (listing.state == EndpointState::draining) {
      leaving_[listing.host] = listing.state;
      probes_.forget(listing.host);  // danger: one whose connection comes up late would be new work as well
    } else if (listing.state == EndpointState::healthy) {
      leaving_.erase(listing.host);
    }
  }
  for (const std::string& host : gone) {
    leaving_.try_emplace(host, EndpointState::removed);  // a drain goes on binding
  }
  for (const std::string& host : gone) {
    probes_.forget(host), meters_.erase(host), near_.erase(host);
  }
  tell(kind).listings = list.listings;
}

void Node::sample_delays() {
  const Tenths since = loop_.now() - looked_at_;
  looked_at_ = loop_.now();
  loop_.at(look_, looked_at_ + kLookEvery, [this] { sample_delays(); });
  if (shadow_) {
    watch_shadow({}, {});  // its alarm may be due
  }
  exchange();
  std::map<std::string, std::pair<std::string, std::vector<Tenths>>> hosts;  // a connection there; the ages
  if (loop_.late() >= kHeldUp) {
    return;  // danger: after a pause every line seems unanswered
  }
  relay_.each_standing([&](Handle ticket, Tenths unanswered) {
    const HeldRequest* found = held(ticket);
    if (!found || !found->up) {
      return;
    }
    auto& [id, ages] = hosts[found->host];
    id = id_of(ticket);
    ages.push_back(unanswered);
    if (unanswered / kTellEvery > std::max<Tenths>(unanswered - since, 0) / kTellEvery) {
      tell(EventKind::unanswered, id, found->host).figure = static_cast<double>(unanswered);
    }
  });
  std::vector<double> works;
  for (const auto& [host, size] : near_) {
    if (const auto meter = meters_.find(host); meter != meters_.end()) {
      if (const auto least = meter->second.least()) {
        works.push_back(size * static_cast<double>(*least));
      }
    }
  }
  const double work = baseline_service_time(std::move(works));
  // Danger: a slow host that has lost its last connection is told of no more, and is filled up again.
  for (const auto& [host, meter] : meters_) {
    hosts[host];
  }
  for (auto& [host, seen] : hosts) {
    const auto near = near_.find(host);
    const Tenths at_rest = near == near_.end() ? 0 : static_cast<Tenths>(kSpeeds * work / near->second);
    if (const auto delay = meters_[host].tell(loop_.now(), shortest_goal_, seen.second, at_rest)) {
      tell(EventKind::delay_told, seen.first, host).figure = static_cast<double>(*delay);
    }
  }
}

void Node::exchange() {
  if (!peers_) {
    return;  // counting what is held costs a walk over all of it
  }
  PeerLoadTable::Counts counts;
  for (const auto& [id, one] : held_) {
    if (one.out && !one.client_done) {
      ++counts[one.host];
    }
  }
  peers_.tell(counts);
  for (const auto& [host, address] : addresses_) {
    const double held = peers_.elsewhere(host).value_or(-1);
    const auto [told, fresh] = elsewhere_.try_emplace(host, -1);
    if (std::abs(told->second - held) < kHeldStep) {
      continue;
    }
    told->second = held;
    tell(EventKind::peer_word, "", host).figure = held;
  }
}

void Node::settle() {
  while (!events_.empty()) {
    const std::vector<Event> batch = std::exchange(events_, {});
    const std::vector<Action> actions = load_balancer_.handle_events(loop_.now(), batch);
    if (shadow_) {
      watch_shadow(batch, actions);
    }
    for (const Action& action : actions) {
      act(action);
    }
  }
}

void Node::watch_shadow(const std::vector<Event>& events, const std::vector<Action>& actions) {
  if (shadow_->off()) {
    return;
  }
  shadow_->follow(loop_.now(), events, actions);
  if (shadow_->off()) {
    spdlog::warn("the watched settings are let go, the node goes on: {}", shadow_->why());
  }
}

// The one way to a final answer.
void Node::answer(const std::string& id, FinalAnswer kind, const std::string& line) {
  const auto found = held_.find(id);
  if (found == held_.end()) {
    return;
  }
  const Handle ticket = found->second.ticket;
  const auto refusal = ledger_.check_answer(id, kind);
  // Danger: a rejection says that a repeat is harmless; where it is not, the client is told of a failure.
  const bool failed_instead = refusal == Violation::may_have_run;
  if (refusal) {
    violated("answer", id, refusal);
  }
  ledger_.answered(id);
  release(id);
  if (!refusal || failed_instead) {
    relay_.answer(ticket, failed_instead ? "ERR\r\n" : line);
  }
}

void Node::act(const Action& action) {
  const auto found = held_.find(action.id);
  switch (action.kind) {
    case ActionKind::setup_try:
      if (found == held_.end()) {
        return;
      }
      found->second.host = action.host;
      found->second.sent = loop_.now();
      ++found->second.tries;
      found->second.out = true;
      if (const auto refusal = start_attempt(found->second, action.id, action.time, 0)) {
        violated("begin an attempt for", action.id, refusal);
        Event& never = tell(EventKind::try_ended, action.id, action.host);
        never.number = found->second.tries - 1, never.outcome = Outcome::not_sent, never.final = true;
        return answer(action.id, FinalAnswer::error, "ERR\r\n");
      }
      return;
    case ActionKind::cancel_try:
      if (found != held_.end()) {
        relay_.cancel(found->second.ticket);
      }
      return;
    case ActionKind::reject:
      ++counters_.rejected;
      spdlog::debug("rejected, back in ms {}, tries {}", action.time / kMs,
                    found == held_.end() ? 0 : found->second.tries);
      return answer(
          action.id, FinalAnswer::busy,
          action.time > 0 ? "BUSY " + std::to_string(action.time / kMs) + "\r\n" : std::string("BUSY\r\n"));
    case ActionKind::scrap:
      ++counters_.scrapped;
      return answer(action.id, FinalAnswer::error, "ERR\r\n");
    case ActionKind::move: {
      if (found == held_.end()) {
        return;
      }
      ++counters_.moved;
      spdlog::debug("moved off host {}", found->second.host);
      const Handle ticket = found->second.ticket;
      ledger_.answered(action.id);
      found->second.client_done = true;
      on_attempt_ended(ticket, {AttemptProgress::up, TerminationReason::cancelled});
      return relay_.move(ticket);
    }
    case ActionKind::probe:
      return probes_.probe(action.host, address(action.host));
    case ActionKind::set_alarm: {
      EventLoop::Deadline one;  // alarms are never withdrawn
      return loop_.at(one, loop_.now() + action.time,
                      [this, number = action.number] { tell(EventKind::alarm).number = number; });
    }
    case ActionKind::subscribe:
      return discovery_.watch();
    case ActionKind::fetch_list:
      return discovery_.fetch();
    case ActionKind::log:
      return log_decision(action.text);
  }
}

void Node::stop() {
  if (stopping_) {
    return;
  }
  stopping_ = true;
  stopped_at_ = loop_.now();
  // Settled here: a SIGHUP on the way changes no more of it. SettingsMap that name no expiry leave the
  // longest.
  const auto expiry = static_cast<Tenths>(extreme(settings_, "traffic.", ".expiry", 1, kLongestWait));
  ends_by_ = stopped_at_ + std::min(expiry, kLongestWait) + kBeforeKill;
  tell(EventKind::stopping).expiry = ends_by_ - kLookEvery;
  relay_.shorten_attempts(ends_by_ - kLookEvery);
  ledger_.expire_by(ends_by_);
  loop_.at(close_up_, ends_by_ - kLookEvery / 2, [this] { close_up(); });
  spdlog::info("stopping, connections open {}", relay_.open());
}

// Danger: half of a new configuration is neither the old nor the new one. What only a start can change (where
// the node listens) refuses the file; the name, the seed and the list known before have no say any more.
void Node::reload(const Read& read) {
  ++counters_.reloads;
  const std::string fault = !read.taken ? read.fault
                            : read.taken->listen != configuration_.listen
                                ? "'listen' can be changed by a restart only: " + read.taken->listen
                            : read.taken->shadow && !shadow_
                                ? "settings to watch can be named by a restart only"
                                : "";
  if (!fault.empty()) {
    ++counters_.reloads_refused;
    return spdlog::warn("configuration not taken, the old one goes on: {}", fault);
  }
  configuration_ = *read.taken;
  configuration_.descriptors = descriptor_limit(configuration_.descriptors);
  const std::string zone = text(settings_, "zone");
  settings_ = settings_of(configuration_.env);
  if (text(settings_, "zone") != zone) {
    near_.clear();  // the list of the new place fills it
  }
  load_balancer_.update_settings(settings_);
  if (!configuration_.shadow) {
    shadow_.reset();
  }
  if (shadow_) {
    shadow_->update_settings(settings_of(*configuration_.shadow));
  }
  set_log(configuration_.log);
  take_settings();
  discovery_.move_to(configuration_.discovery);
  spdlog::info("configuration taken anew, discovery {}", configuration_.discovery);
}

// Danger: what is still held when the process is killed is lost; it ends by itself before that.
bool Node::done() {
  if (!stopping_) {
    return false;
  }
  if (loop_.now() >= ends_by_) {
    return true;
  }
  if (loop_.now() - stopped_at_ < kStillComing || !held_.empty() || relay_.busy() > 0) {
    return false;
  }
  // Danger: what the kernel has accepted is taken, whether or not this process has seen it.
  return !relay_.accept_pending();
}

void Node::close_up() {
  std::vector<std::string> left;
  for (const auto& [id, one] : held_) {
    if (!one.client_done) {
      left.push_back(id);
    }
  }
  for (const std::string& id : left) {
    const bool up = held_.at(id).up || held_.at(id).handed_over;
    spdlog::warn("{} at the node's end", up ? "a connection is moved" : "an attachment is scrapped");
    act({up ? ActionKind::move : ActionKind::scrap, id, "", "", 0, 0});
  }
}

void Node::report() const {
  spdlog::info("{}", counters_.told());
  if (shadow_) {
    spdlog::info("{}{}", shadow_->counts().told(), shadow_->off() ? " | let go" : "");
  }
}

}  // namespace dapplewharf
