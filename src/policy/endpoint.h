// One endpoint as this node sees it.
#pragma once
#include <cmath>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "policy/health_signal.h"
#include "policy/messages.h"

namespace dapplewharf {

class Host {
 public:
  std::vector<EndpointMessage> inbox;

  Host(PolicyContext& around, std::string id) : context_(around), id_(std::move(id)) {
    next_probe_ = context_.now +
                  static_cast<Tenths>(context_.random.share() * probe_interval(kProbeEvery, kProbeShared));
  }

  void read(const EndpointMessage& message) {
    std::visit([this](const auto& one) { handle(one); }, message);
    tell();
  }

 private:
  void handle(const EndpointListed& message) {
    fleet_ = message.fleet;
    listed(message.entry, message.is_new, message.connections);
  }
  void handle(const EndpointUnlisted&) { leaves(EndpointState::removed); }
  void handle(const EndpointTick& message) {
    fleet_ = message.fleet;
    climb();
    probe();
    relieve();
  }
  void handle(const AdmissionRequest& message) {
    fleet_ = message.candidates.fleet;
    offered(message.candidates);
  }
  void handle(const ConnectionOpened&) { ++card_.open; }
  void handle(const AttemptSucceeded& message) {
    setup_at_ = context_.now;
    result(setups_, message.in_time);
  }
  void handle(const AttemptFinished& message) { ended(message.outcome, message.was_established); }
  void handle(const LatencyObserved& message) { delayed(message.latency); }
  void handle(const GossipObserved& message) { card_.elsewhere = message.connections_elsewhere.value_or(-1); }
  void handle(const HealthCheckEnded& message) {
    looked(message);
    // Danger: what failed on this machine says nothing of the host.
    if (message.outcome == Outcome::not_sent) {
      return;
    }
    silent_ = message.outcome == Outcome::timed_out || message.outcome == Outcome::connect_failed;
    result(probes_, message.outcome == Outcome::succeeded);
    // Danger: a host without set-ups is never heard well of again. Then good probes count for them too.
    if (message.outcome == Outcome::succeeded && context_.now - setup_at_ > kQuiet && setups_.share() < 1) {
      result(setups_, true);
    }
  }

  void listed(const EndpointEntry& listing, bool fresh, std::optional<double> held) {
    const bool restarted = listing.started > started_ && known_;
    card_.zone = listing.zone;
    card_.cell = listing.cell, card_.kind = listing.kind;
    card_.size = listing.size > 0 ? listing.size : 1;
    if (held) {
      card_.elsewhere = std::max(0.0, *held - card_.open);
    }
    started_ = listing.started;
    if (listing.state != EndpointState::healthy) {
      return leaves(listing.state);
    }
    state_ = EndpointState::healthy, claimed_gone_ = false;
    if (fresh || restarted || (!known_ && cold())) {  // danger: a cold host at full weight falls over
      step_ = 0, step_since_ = context_.now;
      probes_ = setups_ = HealthSignal();
      inherited_ = known_ ? 100 : fleet_.score;
      context_.log("host " + id_ + " starts cold, age ms " + std::to_string((context_.now - started_) / kMs));
    }
    known_ = true;
  }

  // Danger: a list that is wrong takes hosts away that still serve all that stands there. Where only a drain
  // binds, one called gone without a drain is taken for what its probes say; the first one is due at once.
  void leaves(EndpointState state) {
    if (state == EndpointState::removed && state_ == EndpointState::healthy &&
        context_.settings.only_drains_bind) {
      if (claimed_gone_) {
        return;
      }
      claimed_gone_ = true, next_probe_ = context_.now;
      return context_.log("host " + id_ + " is called gone, its probes decide");
    }
    if (state_ == EndpointState::healthy) {
      left_at_ = context_.now;
    }
    state_ = state;
  }
  bool in_service() const {
    return state_ == EndpointState::healthy && !(claimed_gone_ && probes_.in_doubt());
  }

  Tenths age() const { return started_ > 0 ? context_.now - started_ : context_.settings.warm_up_time; }
  bool cold() const { return age() < context_.settings.warm_up_time; }
  bool strained() const { return strained_at_ > 0 && context_.now - strained_at_ < kStrainHeld; }

  // The one place that decides whether this host may be sent this attachment.
  bool may_be_sent(bool is_mid_connection) const {
    if (state_ != EndpointState::healthy) {
      // A mid-flow connection may be held here; without proof of that only the grace allows it.
      const bool in_grace = context_.now - left_at_ < context_.settings.drain_grace - kPulse;
      return state_ == EndpointState::draining && is_mid_connection && in_grace;
    }
    if (!in_service()) {
      return false;
    }
    if (cold()) {
      return cold_allows();
    }
    // Danger: a host in time again is filled to where it was late before, and nobody there is served.
    const bool capped = cap_at_ > 0 && context_.now - cap_at_ < kCapHeld;
    if (capped && !is_mid_connection && card_.open >= cap_) {
      return false;
    }
    return is_mid_connection || !fleet_.crowd_limit || crowd_allows();
  }

  // Danger: a crowd cut off at one host falls on the next, which then cuts off its own. A host takes only a
  // part of what hosts usually hold as new work in a second; whoever finds no host is told when to come back.
  bool crowd_allows() const {
    if (card_.open + kOverBy < kEase * fleet_.granted * card_.size / context_.settings.node_count) {
      return true;
    }
    const double least = kInrushLeast / context_.settings.node_count;
    double rate = std::max(least, fleet_.crowd_limit * fleet_.mean * card_.size);  // a second
    if (card_.roomy > context_.now) {
      rate *= kRoomy;  // its own word goes before others' trouble
    }
    return sent_within(kSecond / std::min(1.0, rate), 1) + 1 <= std::max(1.0, rate);
  }

  // What a cold host of this size surely bears of this node, if it were warm: what shares grant, or what warm
  // ones of its kind bore; so much of the stated multiple of it may come.
  double bears() const {
    double warm = 0;
    if (fleet_.bears && !fleet_.bears->empty()) {
      const auto kind = fleet_.bears->find(card_.kind);
      warm =
          kind == fleet_.bears->end() ? fleet_.bears->begin()->second : kind->second;  // the first: all kinds
    }
    return std::max(warm, fleet_.granted / context_.settings.node_count) * card_.size *
           std::max(1.0, context_.settings.overload_multiple * kTurns);
  }

  // Danger: all nodes push a cold host over, and one at a time from each of many is a crowd. All take turns
  // by the one clock they share, the host's own age: what it bears at its present capacity, spread over the
  // warm-up, is dealt out evenly, to each node from a place of its own among them; a turn not taken lapses.
  // Where nothing is crowded, or the host itself tells of room, turns are few beside what comes, and chance
  // goes by how much that is.
  bool cold_allows() const {
    const Settings& settings = context_.settings;
    const auto window = static_cast<double>(settings.overload_window);
    const double now = dealt(age());
    const double before = dealt(static_cast<double>(age() - settings.overload_window));
    const double place =
        std::fmod(settings.node_index + static_cast<double>(hash(id_) >> 40), settings.node_count) /
        settings.node_count;
    const bool turn = sent_within(window, 1) + 1 <= std::floor(place + now) - std::floor(place + before);
    if (turn || (fleet_.crowd_limit && card_.roomy <= context_.now)) {
      return turn;
    }
    const double budget = std::max((now - before) * kChance / kTurns, 1 / settings.node_count);
    if (budget >= 1) {
      return sent_within(window, 0) + 1 <= budget;
    }
    if (sent_within(window * settings.node_count, 1) >= 1) {
      return false;
    }
    const double heaped = card_.elsewhere >= 0 ? kToldOver : kHomeOver;  // that much may seek this one host
    // Danger: a group's ring leads all nodes to one host, and one from each of a crowd that gathers is a
    // heap.
    const double expected =
        std::max(fleet_.sought * card_.size * heaped, fleet_.sought_alike) * window / kSoughtSpan;
    return context_.random.share() * expected < budget;
  }
  double dealt(double age) const {  // to this node since the host's start
    if (age <= 0) {
      return 0;
    }
    const Settings& settings = context_.settings;
    const double span = std::max(static_cast<double>(settings.warm_up_time), 1.0);
    const double borne = bears();
    const double filled =
        settings.cold_capacity_share * age + (1 - settings.cold_capacity_share) * age * age / span / 2;
    return borne > 0 ? borne * filled / span
                     : age / static_cast<double>(settings.overload_window) / settings.node_count;
  }

  double sent_within(double span, double least) const {  // only pieces of at least `least` count
    double sum = 0;
    for (const auto& [when, work] : sent_) {
      sum += context_.now - when < span && work >= least ? work : 0;
    }
    return sum;
  }

  void sends(double work) {
    sent_.emplace_back(context_.now, work);
    while (sent_.size() > 400) {
      sent_.pop_front();
    }
  }

  // Danger: at a node that probes a host once in minutes neither signal nor report tells of now. A host whose
  // last probe is older than a steady one would be is probed first; the attachment goes on with the answer.
  bool looks_first(const CandidateList& candidates) const {
    // An answer that comes after the expiry is none: who has little time left is not held for a look.
    return !candidates.is_mid_connection && context_.settings.load_report_index &&
           candidates.deadline - context_.now > kSecond && candidates.passed_over < kLooks && !recent() &&
           (probe_out_ || may_be_probed());
  }
  bool recent() const { return context_.now - probed_at_ <= kProbeEvery; }

  void offered(const CandidateList& candidates) {
    const bool may = may_be_sent(candidates.is_mid_connection);
    if (may && looks_first(candidates)) {
      waiting_.push_back(candidates);
      next_probe_ = context_.now;
      return probe();
    }
    const bool full = recent() && load_ > kFull && candidates.passed_over < kLooks;
    if (may && !full) {
      context_.post_to_request_table(Admitted{candidates.request_id, id_});
      sends(1);
      ++card_.open;
      return;
    }
    Declined declined{candidates};
    declined.candidates.passed_over += may ? 1 : 0;
    context_.post_to_request_table(std::move(declined));
  }

  void looked(const HealthCheckEnded& event) {
    probe_out_ = false, probed_at_ = context_.now;
    const std::optional<std::size_t> at = context_.settings.load_report_index;
    const bool told = at && *at < event.report.size();
    load_ = card_.load = told ? event.report[*at] : -1;
    card_.roomy = told && load_ < kFull ? context_.now + kProbeEvery : 0;
    for (CandidateList& candidates : std::exchange(waiting_, {})) {
      if (event.outcome != Outcome::succeeded) {
        ++candidates.passed_over;
      } else {
        --candidates.asked;  // asked once more
      }
      context_.post_to_request_table(Declined{std::move(candidates)});
    }
  }

  void ended(Outcome outcome, bool standing) {
    if (standing && outcome == Outcome::connection_lost) {
      shed_at_ = context_.now;
    }
    card_.open = std::max(0, card_.open - 1);
    if (outcome == Outcome::succeeded || outcome == Outcome::cancelled || outcome == Outcome::not_sent ||
        outcome == Outcome::withdrawn) {
      return;  // says nothing of the host
    }
    setup_at_ = context_.now;
    result(setups_, false);
  }

  void delayed(double delay) {
    delay_ = delay;
    if (delay > static_cast<double>(context_.settings.shortest_message_objective)) {
      cap_at_ = context_.now, cap_ = card_.open;
    }
    strained_at_ = delay * 3 > static_cast<double>(context_.settings.shortest_message_objective)
                       ? context_.now
                       : 0;  // the last note tells of the end
  }

  // Danger: what is left on a host that is late or silent is lost until it ends; a part at a time is moved,
  // so that the rest is served. With errors to probes it may serve on; slower than all patience it does not.
  bool dead() const {
    return (!probes_.good && silent_) ||
           (strained() &&
            delay_ > static_cast<double>(context_.settings.longest_deadline().value_or(kNever)));
  }
  // Danger: where a move is dear, moving off hosts that still serve most messages costs more than it saves.
  // exp(-goal / delay) of the messages are over the goal; from kMoveWorth times its price on a move pays.
  bool late() const {
    const double price = std::clamp(context_.settings.migration_price, 0.001, 0.05);
    const double from = std::clamp(-1 / std::log(kMoveWorth * price), 0.5, 1.0);
    return strained() && delay_ > static_cast<double>(context_.settings.shortest_message_objective) * from;
  }
  bool relieves() const { return card_.open > 0 && (dead() || late() || !in_service()); }

  void relieve() {
    if (!relieves() || context_.now < next_relief_) {
      return;
    }
    const bool begins = context_.now - next_relief_ > kStrainHeld;
    if (begins) {
      relief_since_ = context_.now;
    }
    if (fleet_.frozen && !!in_service()) {
      return;
    }
    next_relief_ = context_.now + (dead() ? kPulse : kRelief);
    const Tenths steps = (context_.now - relief_since_) / kRelief + 1;
    MigrateConnections message;
    message.endpoint = id_;
    message.share = dead() ? 1 : 1 - std::pow(1 - kReliefShare, steps);
    message.budget = fleet_.spare;
    message.whole_groups = fleet_.each >= kOverBy;
    message.endpoint_is_leaving = !in_service();
    context_.post_to_request_table(std::move(message));
    if (!begins) {
      return;
    }
    context_.log("host " + id_ + " gives up connections, open " + std::to_string(card_.open) +
                 (dead()          ? ", probes unanswered"
                  : !in_service() ? ", leaving the list"
                                  : ", message ms " + figure(delay_ / kMs)));
  }

  void result(HealthSignal& signal, bool good) {
    const bool turned = signal.add(good);
    if (!good) {
      next_probe_ = std::min(next_probe_, context_.now + probe_interval(kProbeHurry, kHurryShared) / 2);
    }
    if (turned) {
      context_.log("host " + id_ + (&signal == &probes_ ? " probes " : " set-ups ") +
                   (good ? "good" : "bad") + ", share good " + figure(signal.share()) + ", score " +
                   figure(score()));
      if (!good) {
        falls();
      }
    } else if (!good && step_ < kTop && signal.good) {
      step_ = 0, step_since_ = context_.now;  // each step is gated on the score holding
    }
  }

  void falls() {
    std::erase_if(flaps_, [this](Tenths when) { return context_.now - when > kFlapMemory; });
    const Tenths cooldown = kFirstCooldown << std::min<std::size_t>(flaps_.size(), 20);
    flaps_.push_back(context_.now);  // the climb waits for the end of the cooldown
    step_ = 0, step_since_ = context_.now + std::min(cooldown, kLongestCooldown);
  }

  // Full only with both signals healthy: the mean of both less half of their difference is the smaller.
  double score() const {
    if (!probes_.good && !setups_.good) {
      return 0;
    }
    const double score = 100 * std::min(probes_.share(), setups_.share());
    return std::min({score, inherited_, probes_.good && setups_.good ? 100.0 : 50.0});
  }

  bool in_doubt() const { return probes_.in_doubt() || setups_.in_doubt(); }

  Tenths next_climb() const {
    return step_ >= kTop || in_doubt() ? kNever
                                       : step_since_ + kStep;  // also while cold: it has its own bound
  }

  void climb() {
    if (context_.now < next_climb()) {
      return;
    }
    ++step_, step_since_ = context_.now, inherited_ = 100;
    context_.log("host " + id_ + " climbs to " + figure(kRamp[step_]) + ", score " + figure(score()));
  }

  bool may_be_probed() const {
    return context_.settings.health_checks_allowed && state_ == EndpointState::healthy && !probe_out_;
  }

  // Danger: probes of many nodes add up to more work than the attachments; they share one rate a host.
  Tenths probe_interval(Tenths own, Tenths shared) const {
    return std::max(own, static_cast<Tenths>(shared * context_.settings.node_count));
  }
  void probe() {
    if (!may_be_probed() || context_.now < next_probe_) {
      return;
    }
    probe_out_ = true;
    const Tenths steady = std::max(fleet_.watch, probe_interval(kProbeEvery, kProbeShared));
    next_probe_ = context_.now + (in_doubt() ? probe_interval(kProbeHurry, kHurryShared) : steady);
    sends(kProbeWork);
    context_.act(CheckHealth{id_});
  }

  void tell() {
    card_.score = score();
    card_.weight = card_.score / 100 * kRamp[step_];
    card_.healthy = in_service();
    card_.strained = strained_at_ > 0 ? strained_at_ + kStrainHeld : 0;
    card_.late =
        delay_ > static_cast<double>(context_.settings.shortest_message_objective) ? card_.strained : 0;
    card_.shedding = shed_at_ > 0 ? shed_at_ + kStrainHeld : 0;
    card_.cold = started_ > 0 ? started_ + context_.settings.warm_up_time : 0;
    card_.due = std::min(next_climb(), may_be_probed() ? next_probe_ : kNever);
    if (relieves()) {
      card_.due = std::min(card_.due, next_relief_);
    }
    if (told_ == card_) {
      return;
    }
    context_.post_to_endpoint_set(StatusChanged{id_, card_});
    if (told_) {
      told_->due = card_.due;
    }
    if (told_ == card_) {
      return;  // when it is due concerns the roster alone
    }
    told_ = card_;
    context_.post_to_selector(StatusChanged{id_, card_});
  }

  PolicyContext& context_;
  std::string id_;
  EndpointStatus card_;
  std::optional<EndpointStatus> told_;  // the card as last sent round
  FleetStatistics fleet_;
  EndpointState state_ = EndpointState::removed;
  bool known_ = false, probe_out_ = false;
  bool claimed_gone_ = false;  // the list says so, and it does not bind
  bool silent_ = false;        // the last probe had no answer at all
  Tenths started_ = 0, left_at_ = 0, next_probe_ = 0, step_since_ = 0, strained_at_ = 0, shed_at_ = 0,
         relief_since_ = 0;
  HealthSignal probes_, setups_;
  int step_ = kTop;
  double delay_ = 0;  // of a message, as last told
  Tenths next_relief_ = 0, setup_at_ = 0, cap_at_ = 0;
  int cap_ = 0;             // what it held when it was last late
  double inherited_ = 100;  // a new host starts at the others' mean
  Tenths probed_at_ = -kNever;
  double load_ = -1;                    // over capacity, as last reported
  std::vector<CandidateList> waiting_;  // offers that wait for a probe
  std::deque<Tenths> flaps_;
  std::deque<std::pair<Tenths, double>> sent_;
};

}  // namespace dapplewharf
