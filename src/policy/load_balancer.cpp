// The decisions of one dapplewharf node. Callers make one LoadBalancer a node and give it batches of events
// by LoadBalancer::handle_events (src/choice.h); events, actions and settings are the plain values of
// src/words.h. Inside, EndpointSet, EndpointSelector, RequestTable and one Host a host are small actors: each
// reads notes from its own inbox and speaks to the others only by posting notes; Parts::settle empties the
// inboxes, always in the same order.
#include "policy/load_balancer.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "policy/backoff.h"
#include "policy/notes.h"
#include "policy/request_ledger.h"

namespace dapplewharf {
namespace {

constexpr Tenths kNever = INT64_MAX / 2;
constexpr Tenths kListSilent = 3 * kSecond;    // a lost list is asked for again well within this
constexpr double kAskLatest = 0.7;             // of the time after which a node is taken as told
constexpr Tenths kSoughtSpan = 10 * kSecond;   // long enough for a quiet node to see how much comes
constexpr double kTurns = 0.7, kChance = 0.4;  // of what pushes a cold host over: by turns, by chance
constexpr double kLeastTold = 0.1;             // reported loads under this tell little of what a host bears
constexpr Tenths kPulse = 100 * kMs;           // least time between two looks at the clock

constexpr int kBadRun = 3, kGoodRun = 12;  // design: in a row, they turn a signal; a score looks at twelve
constexpr double kRamp[] = {0.05, 0.20, 0.50, 1.00};  // design: the climb of a return
constexpr int kTop = 3;                               // the last step of the ramp
constexpr Tenths kStep = kSecond;                     // least stay on a step: several probes in a hurry
constexpr Tenths kFirstCooldown = 2 * kSecond;        // short: most troubles here are over in half a minute
constexpr Tenths kLongestCooldown = 3600 * kSecond;   // the cap of the design's source
constexpr Tenths kFlapMemory = 60 * kSecond;          // flaps older than this no longer lengthen the cooldown
constexpr Tenths kProbeEvery = 1500 * kMs;            // steady probes of a node, at the most so often
constexpr Tenths kProbeShared = kSecond;              // and of all nodes together for one host
constexpr Tenths kProbeHurry = 200 * kMs;             // probes while a signal is in doubt
constexpr Tenths kHurryShared = 65 * kMs;             // and of all nodes together that may be in doubt
constexpr int kPoints = 30;             // virtual points for a size of 1: shares true to a few percent
constexpr int kLooks = 3;               // hosts looked at and passed before one is taken unseen
constexpr double kFull = 0.8;           // of capacity: messages begin to wait there
constexpr double kBore = 30 * kSecond;  // what a kind of machine bore fades over this time
constexpr double kScatter = 12;         // hosts that all nodes ask for one group while the crowd limit is on
constexpr double kBusy = 0.3;     // of capacity, over the fleet: what groups cost twice is missed from there
constexpr double kWatch = 0.005;  // of all that service can be worth: what steady probes may cost
constexpr double kDear = 0.1;     // of all that service can be worth, for crossing zones each time
constexpr int kEnough = 8;        // good hosts on a route: more are hardly ever asked
constexpr Tenths kQuiet = kSecond;  // without a set-up for this long the probes speak for a host alone
constexpr int kOverBy = 2;          // design: connections over the mean before a host is passed
constexpr double kWellOver = 1.25;  // design: "well over" the mean
constexpr double kHomeOver = 4;     // the same where the group is paid for: elsewhere it is paid again
constexpr double kToldOver = 1.5;   // and where others tell what they hold, by when the word has come round
constexpr double kProbeWork = 0.1;  // a probe is a small part of a set-up to a cold host
constexpr std::size_t kTimes = 40;  // set-up times kept to tell the usual one, and arrivals their rate
constexpr Tenths kTroubleHeld = 5 * kSecond;  // the crowd limit outlasts the last late host
constexpr double kInrush = 0.25;    // new connections a second for one host, of the mean that hosts hold
constexpr double kInrushLeast = 2;  // no fewer, for all nodes together, as they add up
constexpr double kRoomy = 4;        // times as many where the host itself tells of room
constexpr double kEase = 0.7;  // of this node's part of what the shares grant: a crowd does no harm below
constexpr double kSpareShare = 0.15;  // moved work a second that hosts with room may take, of what they hold
constexpr double kLeastRoom = 0.5;    // with less room late hosts still give up as much, to be in time again
constexpr Tenths kCapHeld = 30 * kSecond;  // a host that was late is not filled up again for this long
constexpr Tenths kRelief = 500 * kMs;  // between moves off a late host: time to see what the last ones did
constexpr double kReliefShare = 0.15;  // of its connections: a few steps clear it, one overshoots little
constexpr double kMoveWorth = 6.5;     // of its price: so many served seconds' share a move must save
constexpr Tenths kLineSilent = 3 * kSecond;  // a line unanswered for so long: nobody is there for its client
constexpr Tenths kFrontStops = 500 * kMs;    // a front still deals to a node that stops, for about this long
constexpr Tenths kStrainHeld = 1500 * kMs;   // slow-message notes come each second: one lost is no relief

// One of the two signals of a host: its last results, and whether a run has turned it.
struct HealthSignal {
  std::deque<bool> results;
  bool good = true;
  int run = 0;  // results in a row like the last

  // Returns true when the signal turns.
  bool add(bool result) {
    run = !results.empty() && results.back() == result ? run + 1 : 1;
    keep_last(results, result, kGoodRun);
    if (good == result || run < (result ? kGoodRun : kBadRun)) {
      return false;
    }
    good = result;
    return true;
  }
  // Danger: at a quiet node one bad set-up is all there is; what has not been seen counts as good.
  double share() const {
    return 1 - static_cast<double>(std::count(results.begin(), results.end(), false)) / kGoodRun;
  }
  bool in_doubt() const { return !good || (!results.empty() && !results.back()); }
};

class Host {
 public:
  Inbox inbox;

  Host(PolicyContext& around, std::string id) : around_(around), id_(std::move(id)) {
    next_probe_ =
        around_.now + static_cast<Tenths>(around_.chance.share() * probe_interval(kProbeEvery, kProbeShared));
  }

  void read(const Note& note) {
    if (note.topic != Topic::event && note.topic != Topic::unlisted) {
      fleet_ = note.fleet;
    }
    switch (note.topic) {
      case Topic::listed:
        listed(note.listing, note.fresh, note.held);
        break;
      case Topic::unlisted:
        leaves(EndpointState::removed);
        break;
      case Topic::pulse:
        climb(), probe(), relieve();
        break;
      case Topic::offer:
        offered(note);
        break;
      case Topic::event:
        happened(note);
        break;
      default:
        return;
    }
    tell();
  }

 private:
  void listed(const EndpointEntry& listing, bool fresh, double held) {
    const bool restarted = listing.started > started_ && known_;
    card_.zone = listing.zone;
    card_.cell = listing.cell, card_.kind = listing.kind;
    card_.size = listing.size > 0 ? listing.size : 1;
    if (held >= 0) {
      card_.elsewhere = std::max(0.0, held - card_.open);
    }
    started_ = listing.started;
    if (listing.state != EndpointState::healthy) {
      return leaves(listing.state);
    }
    state_ = EndpointState::healthy, claimed_gone_ = false;
    if (fresh || restarted || (!known_ && cold())) {  // danger: a cold host at full weight falls over
      step_ = 0, step_since_ = around_.now;
      probes_ = setups_ = HealthSignal();
      inherited_ = known_ ? 100 : fleet_.score;
      around_.log("host " + id_ + " starts cold, age ms " + std::to_string((around_.now - started_) / kMs));
    }
    known_ = true;
  }

  // Danger: a list that is wrong takes hosts away that still serve all that stands there. Where only a drain
  // binds, one called gone without a drain is taken for what its probes say; the first one is due at once.
  void leaves(EndpointState state) {
    if (state == EndpointState::removed && state_ == EndpointState::healthy &&
        around_.rules.drain_binds_alone) {
      if (claimed_gone_) {
        return;
      }
      claimed_gone_ = true, next_probe_ = around_.now;
      return around_.log("host " + id_ + " is called gone, its probes decide");
    }
    if (state_ == EndpointState::healthy) {
      left_at_ = around_.now;
    }
    state_ = state;
  }
  bool in_service() const {
    return state_ == EndpointState::healthy && !(claimed_gone_ && probes_.in_doubt());
  }

  Tenths age() const {
    return started_ > 0 ? around_.now - started_ : static_cast<Tenths>(around_.rules.cold_time);
  }
  bool cold() const { return age() < around_.rules.cold_time; }
  bool strained() const { return strained_at_ > 0 && around_.now - strained_at_ < kStrainHeld; }

  // The one place that decides whether this host may be sent this attachment.
  bool may_be_sent(const Event& attachment) const {
    if (state_ != EndpointState::healthy) {
      // A mid-flow connection may be held here; without proof of that only the grace allows it.
      const bool in_grace = around_.now - left_at_ < around_.rules.drain_grace - kPulse;
      return state_ == EndpointState::draining && attachment.mid_flow && in_grace;
    }
    if (!in_service()) {
      return false;
    }
    if (cold()) {
      return cold_allows();
    }
    // Danger: a host in time again is filled to where it was late before, and nobody there is served.
    const bool capped = cap_at_ > 0 && around_.now - cap_at_ < kCapHeld;
    if (capped && !attachment.mid_flow && card_.open >= cap_) {
      return false;
    }
    return attachment.mid_flow || !fleet_.crowd_limit || crowd_allows();
  }

  // Danger: a crowd cut off at one host falls on the next, which then cuts off its own. A host takes only a
  // part of what hosts usually hold as new work in a second; whoever finds no host is told when to come back.
  bool crowd_allows() const {
    if (card_.open + kOverBy < kEase * fleet_.granted * card_.size / around_.rules.nodes) {
      return true;
    }
    const double least = kInrushLeast / around_.rules.nodes;
    double rate = std::max(least, fleet_.crowd_limit * fleet_.mean * card_.size);  // a second
    if (card_.roomy > around_.now) {
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
    return std::max(warm, fleet_.granted / around_.rules.nodes) * card_.size *
           std::max(1.0, around_.rules.fall_multiple * kTurns);
  }

  // Danger: all nodes push a cold host over, and one at a time from each of many is a crowd. All take turns
  // by the one clock they share, the host's own age: what it bears at its present capacity, spread over the
  // warm-up, is dealt out evenly, to each node from a place of its own among them; a turn not taken lapses.
  // Where nothing is crowded, or the host itself tells of room, turns are few beside what comes, and chance
  // goes by how much that is.
  bool cold_allows() const {
    const Rules& rules = around_.rules;
    const double window = rules.fall_time;
    const double now = dealt(age());
    const double before = dealt(age() - rules.fall_time);
    const double place =
        std::fmod(rules.me + static_cast<double>(hash(id_) >> 40), rules.nodes) / rules.nodes;
    const bool turn = sent_within(window, 1) + 1 <= std::floor(place + now) - std::floor(place + before);
    if (turn || (fleet_.crowd_limit && card_.roomy <= around_.now)) {
      return turn;
    }
    const double budget = std::max((now - before) * kChance / kTurns, 1 / rules.nodes);
    if (budget >= 1) {
      return sent_within(window, 0) + 1 <= budget;
    }
    if (sent_within(window * rules.nodes, 1) >= 1) {
      return false;
    }
    const double heaped = card_.elsewhere >= 0 ? kToldOver : kHomeOver;  // that much may seek this one host
    // Danger: a group's ring leads all nodes to one host, and one from each of a crowd that gathers is a
    // heap.
    const double expected =
        std::max(fleet_.sought * card_.size * heaped, fleet_.sought_alike) * window / kSoughtSpan;
    return around_.chance.share() * expected < budget;
  }
  double dealt(double age) const {  // to this node since the host's start
    if (age <= 0) {
      return 0;
    }
    const Rules& rules = around_.rules;
    const double span = std::max(rules.cold_time, 1.0);
    const double borne = bears();
    const double filled = rules.cold_from * age + (1 - rules.cold_from) * age * age / span / 2;
    return borne > 0 ? borne * filled / span : age / rules.fall_time / rules.nodes;
  }

  double sent_within(double span, double least) const {  // only pieces of at least `least` count
    double sum = 0;
    for (const auto& [when, work] : sent_) {
      sum += around_.now - when < span && work >= least ? work : 0;
    }
    return sum;
  }

  void sends(double work) {
    sent_.emplace_back(around_.now, work);
    while (sent_.size() > 400) {
      sent_.pop_front();
    }
  }

  // Danger: at a node that probes a host once in minutes neither signal nor report tells of now. A host whose
  // last probe is older than a steady one would be is probed first; the attachment goes on with the answer.
  bool looks_first(const Note& note) const {
    // An answer that comes after the expiry is none: who has little time left is not held for a look.
    return !note.event.mid_flow && around_.rules.report_load >= 0 &&
           note.event.expiry - around_.now > kSecond && note.looks < kLooks && !recent() &&
           (probe_out_ || may_be_probed());
  }
  bool recent() const { return around_.now - probed_at_ <= kProbeEvery; }

  void offered(const Note& note) {
    const bool may = may_be_sent(note.event);
    if (may && looks_first(note)) {
      waiting_.push_back(note);
      next_probe_ = around_.now;
      return probe();
    }
    const bool full = recent() && load_ > kFull && note.looks < kLooks;
    around_.pass_on(note, Part::desk, may && !full ? Topic::taken : Topic::passed).looks += may ? 1 : 0;
    if (!may || full) {
      return;
    }
    sends(1), ++card_.open;
  }

  void looked(const Event& event) {
    probe_out_ = false, probed_at_ = around_.now;
    const double at = around_.rules.report_load;
    const bool told = at >= 0 && at < static_cast<double>(event.report.size());
    load_ = card_.load = told ? event.report[static_cast<std::size_t>(at)] : -1;
    card_.roomy = told && load_ < kFull ? around_.now + kProbeEvery : 0;
    for (Note& note : std::exchange(waiting_, {})) {
      if (event.outcome != Outcome::succeeded) {
        ++note.looks;
      } else {
        --note.asked;  // asked once more
      }
      around_.pass_on(note, Part::desk, Topic::passed);
    }
  }

  void happened(const Note& note) {
    const Event& event = note.event;
    switch (event.kind) {
      case EventKind::handed_over:
        ++card_.open;
        break;
      case EventKind::established:
        setup_at_ = around_.now;
        result(setups_, event.took <= event.expiry);  // the desk puts the longest good set-up time there
        break;
      case EventKind::try_ended:
        ended(event, note.standing);
        break;
      case EventKind::delay_told:
        delayed(event.figure);
        break;
      case EventKind::peer_word:
        card_.elsewhere = event.figure;
        break;
      case EventKind::probe_ended:
        looked(event);
        // Danger: what failed on this machine says nothing of the host.
        if (event.outcome == Outcome::not_sent) {
          break;
        }
        silent_ = event.outcome == Outcome::timed_out || event.outcome == Outcome::connect_failed;
        result(probes_, event.outcome == Outcome::succeeded);
        // Danger: a host without set-ups is never heard well of again. Then good probes count for them too.
        if (event.outcome == Outcome::succeeded && around_.now - setup_at_ > kQuiet && setups_.share() < 1) {
          result(setups_, true);
        }
        break;
      default:
        break;
    }
  }

  void ended(const Event& event, bool standing) {
    if (standing && event.outcome == Outcome::connection_lost) {
      shed_at_ = around_.now;
    }
    card_.open = std::max(0, card_.open - 1);
    if (event.outcome == Outcome::succeeded || event.outcome == Outcome::cancelled ||
        event.outcome == Outcome::not_sent || event.outcome == Outcome::withdrawn) {
      return;  // says nothing of the host
    }
    setup_at_ = around_.now;
    result(setups_, false);
  }

  void delayed(double delay) {
    delay_ = delay;
    if (delay > around_.rules.shortest_goal) {
      cap_at_ = around_.now, cap_ = card_.open;
    }
    strained_at_ =
        delay * 3 > around_.rules.shortest_goal ? around_.now : 0;  // the last note tells of the end
  }

  // Danger: what is left on a host that is late or silent is lost until it ends; a part at a time is moved,
  // so that the rest is served. With errors to probes it may serve on; slower than all patience it does not.
  bool dead() const {
    return (!probes_.good && silent_) || (strained() && delay_ > around_.rules.longest_expiry);
  }
  // Danger: where a move is dear, moving off hosts that still serve most messages costs more than it saves.
  // exp(-goal / delay) of the messages are over the goal; from kMoveWorth times its price on a move pays.
  bool late() const {
    const double price = std::clamp(around_.rules.price_move, 0.001, 0.05);
    const double from = std::clamp(-1 / std::log(kMoveWorth * price), 0.5, 1.0);
    return strained() && delay_ > around_.rules.shortest_goal * from;
  }
  bool relieves() const { return card_.open > 0 && (dead() || late() || !in_service()); }

  void relieve() {
    if (!relieves() || around_.now < next_relief_) {
      return;
    }
    const bool begins = around_.now - next_relief_ > kStrainHeld;
    if (begins) {
      relief_since_ = around_.now;
    }
    if (fleet_.frozen && !!in_service()) {
      return;
    }
    next_relief_ = around_.now + (dead() ? kPulse : kRelief);
    Note& note = around_.write(Part::desk, Topic::evict, id_);
    const Tenths steps = (around_.now - relief_since_) / kRelief + 1;
    note.leaving = !in_service();
    note.part = dead() ? 1 : 1 - std::pow(1 - kReliefShare, steps);
    note.fleet = fleet_;
    if (!begins) {
      return;
    }
    around_.log("host " + id_ + " gives up connections, open " + std::to_string(card_.open) +
                (dead()          ? ", probes unanswered"
                 : !in_service() ? ", leaving the list"
                                 : ", message ms " + figure(delay_ / kMs)));
  }

  void result(HealthSignal& signal, bool good) {
    const bool turned = signal.add(good);
    if (!good) {
      next_probe_ = std::min(next_probe_, around_.now + probe_interval(kProbeHurry, kHurryShared) / 2);
    }
    if (turned) {
      around_.log("host " + id_ + (&signal == &probes_ ? " probes " : " set-ups ") + (good ? "good" : "bad") +
                  ", share good " + figure(signal.share()) + ", score " + figure(score()));
      if (!good) {
        falls();
      }
    } else if (!good && step_ < kTop && signal.good) {
      step_ = 0, step_since_ = around_.now;  // each step is gated on the score holding
    }
  }

  void falls() {
    std::erase_if(flaps_, [this](Tenths when) { return around_.now - when > kFlapMemory; });
    const Tenths cooldown = kFirstCooldown << std::min<std::size_t>(flaps_.size(), 20);
    flaps_.push_back(around_.now);  // the climb waits for the end of the cooldown
    step_ = 0, step_since_ = around_.now + std::min(cooldown, kLongestCooldown);
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
    if (around_.now < next_climb()) {
      return;
    }
    ++step_, step_since_ = around_.now, inherited_ = 100;
    around_.log("host " + id_ + " climbs to " + figure(kRamp[step_]) + ", score " + figure(score()));
  }

  bool may_be_probed() const {
    return around_.rules.probes_allowed && state_ == EndpointState::healthy && !probe_out_;
  }

  // Danger: probes of many nodes add up to more work than the attachments; they share one rate a host.
  Tenths probe_interval(Tenths own, Tenths shared) const {
    return std::max(own, static_cast<Tenths>(shared * around_.rules.nodes));
  }
  void probe() {
    if (!may_be_probed() || around_.now < next_probe_) {
      return;
    }
    probe_out_ = true;
    const Tenths steady = std::max(fleet_.watch, probe_interval(kProbeEvery, kProbeShared));
    next_probe_ = around_.now + (in_doubt() ? probe_interval(kProbeHurry, kHurryShared) : steady);
    sends(kProbeWork);
    around_.act(ActionKind::probe, "", id_);
  }

  void tell() {
    card_.score = score();
    card_.weight = card_.score / 100 * kRamp[step_];
    card_.healthy = in_service();
    card_.strained = strained_at_ > 0 ? strained_at_ + kStrainHeld : 0;
    card_.late = delay_ > around_.rules.shortest_goal ? card_.strained : 0;
    card_.shedding = shed_at_ > 0 ? shed_at_ + kStrainHeld : 0;
    card_.cold = started_ > 0 ? started_ + static_cast<Tenths>(around_.rules.cold_time) : 0;
    card_.due = std::min(next_climb(), may_be_probed() ? next_probe_ : kNever);
    if (relieves()) {
      card_.due = std::min(card_.due, next_relief_);
    }
    if (told_ == card_) {
      return;
    }
    around_.write(Part::roster, Topic::card, id_).card = card_;
    if (told_) {
      told_->due = card_.due;
    }
    if (told_ == card_) {
      return;  // when it is due concerns the roster alone
    }
    told_ = card_;
    around_.write(Part::ring, Topic::card, id_).card = card_;
  }

  PolicyContext& around_;
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
  double load_ = -1;           // over capacity, as last reported
  std::vector<Note> waiting_;  // offers that wait for a probe
  std::deque<Tenths> flaps_;
  std::deque<std::pair<Tenths, double>> sent_;
};

// Follows the list and says when the weights are frozen.
class EndpointSet {
 public:
  Inbox inbox;
  explicit EndpointSet(PolicyContext& around) : around_(around) {}

  void read(const Note& note) {
    if (note.topic == Topic::card) {
      heard(note.host, note.card);
    }
    if (note.topic == Topic::event) {
      list(note.event);
    }
    if (note.topic == Topic::pulse) {
      pulse();
    }
    if (note.topic == Topic::seek) {
      sought_.emplace_back(around_.now, note.event.group);
      if (note.hosts.empty()) {
        keep_last(came_, around_.now, kTimes);
      }
      FleetStatistics fleet = figures();
      if (note.event.group) {
        for (const auto& [when, group] : sought_) {
          fleet.sought_alike += group == note.event.group;
        }
      }
      around_.pass_on(note, Part::ring, Topic::seek).fleet = fleet;
    }
    set_alarm();
  }

 private:
  void list(const Event& event) {
    if (event.kind == EventKind::stopping) {
      return void(stopped_at_ = around_.now);
    }
    if (event.kind == EventKind::list_lost) {
      ++losses_, subscribed_ = false;
      if (lost_at_ == 0) {
        lost_at_ = around_.now;
      }
      ask_at_ = around_.now + backoff().again(losses_, around_.chance.share());
      return;
    }
    if (event.kind != EventKind::list_copy) {
      losses_ = 0, lost_at_ = 0;
    }
    std::set<std::string> named;
    const FleetStatistics fleet = figures();
    for (const EndpointEntry& listing : event.listings) {
      named.insert(listing.host);
      Note& note = around_.write(Part::host, Topic::listed, listing.host);
      note.listing = listing;
      note.fleet = fleet;
      if (around_.rules.live_weights) {
        weigh(note);
      }
      note.fresh = started_ && !listed_.count(listing.host);
    }
    if (event.kind != EventKind::list_changes) {
      for (const std::string& host : listed_) {
        if (!named.count(host)) {
          around_.write(Part::host, Topic::unlisted, host);
        }
      }
    }
    listed_.insert(named.begin(), named.end());
    if (!std::exchange(started_, true)) {
      came_.push_back(around_.now);
    }
    if (event.kind != EventKind::list_copy) {
      return;
    }
    ask_at_ = around_.now + backoff().first(around_.chance.share());
    ask();
  }

  // Danger: a weight that sinks as a host fills sends all nodes to whoever was empty a second ago. A host's
  // size is the largest seen of its kind; what the weight lacks of it tells what all nodes hold there.
  void weigh(Note& note) {
    double& largest = largest_[note.listing.kind];
    largest = std::max(largest, note.listing.size);
    if (note.listing.size > 0) {
      note.held = largest * (largest / note.listing.size - 1);
    }
    if (largest > 0) {
      note.listing.size = largest;
    }
  }

  // Danger: where little time is allowed for asking, a long wait alone would take all of it.
  Backoff backoff() const {
    const double most = around_.rules.ask_within > 0 ? kAskLatest * around_.rules.ask_within : kNever;
    return {around_.rules.nodes, static_cast<Tenths>(most)};
  }

  void ask() {
    if (!started_ || subscribed_ || !around_.rules.on_request || around_.now < ask_at_) {
      return;
    }
    subscribed_ = true;
    around_.act(ActionKind::subscribe, "", "");
  }

  void heard(const std::string& host, const EndpointStatus& card) {
    EndpointStatus& known = cards_[host];
    if (known.healthy != card.healthy || degraded(known) != degraded(card)) {
      to_check_ = true;
    }
    due_.erase({known.due, host});
    known = card;
    if (card.due < kNever) {
      due_.insert({card.due, host});
    }
  }

  // When the list counts as silent, if it does not answer before.
  Tenths silent_from() const {
    const double in_turn =
        std::min(kAskLatest * around_.rules.ask_within, Backoff::kShared * around_.rules.nodes);
    return lost_at_ > 0 ? lost_at_ + kListSilent + static_cast<Tenths>(in_turn) + 1 : kNever;
  }
  bool silent() const { return around_.now >= silent_from(); }
  bool degraded(const EndpointStatus& card) const { return card.score < 75 && around_.now >= card.cold; }

  void set_alarm() {  // one stands for whatever is due first
    Tenths due = due_.empty() ? kNever : due_.begin()->first;
    if (to_check_ || stopped_at_ > 0) {
      due = around_.now;  // whether the weights freeze; what is to be moved
    }
    if (started_ && !subscribed_ && around_.rules.on_request) {
      due = std::min(due, ask_at_);
    }
    if (!frozen_) {
      due = std::min(due, silent_from());
    }
    due = std::max({due, pulsed_at_ + kPulse, around_.now + 1});
    if (due >= kNever || (alarm_at_ > around_.now && alarm_at_ <= due)) {
      return;
    }
    alarm_at_ = due;
    around_.act(ActionKind::set_alarm, "", "", 0, due - around_.now);
  }

  void pulse() {
    pulsed_at_ = around_.now, to_check_ = false;
    ask();
    // Danger: moved at once, clients come back to this node while the front still deals to it, and in step.
    if (stopped_at_ > 0 && around_.now - stopped_at_ >= kFrontStops) {
      Note& all = around_.write(Part::desk, Topic::evict);
      all.part = static_cast<double>(around_.now - stopped_at_ - kFrontStops) / kSecond;
      all.fleet.spare = INT32_MAX;
    }
    const FleetStatistics fleet = figures();
    for (auto at = due_.begin(); at != due_.end() && at->first <= around_.now; ++at) {
      around_.write(Part::host, Topic::pulse, at->second).fleet = fleet;
    }
  }

  // Worked out from what the hosts last told, when somebody needs it.
  FleetStatistics figures() {
    FleetStatistics fleet;
    std::map<std::string, std::pair<double, double>> kinds;  // open connections and size, of warm hosts
    double scores = 0;
    double open = 0;
    double size = 0;
    double all_open = 0;
    double leaving = 0;
    double all_size = 0;
    double roomy = 0;
    double near_open = 0;
    double near_size = 0;
    double near_held = 0;
    double near_told = 0;
    double told = 0;
    double told_size = 0;
    int hosts = 0;
    int bad = 0;
    for (const auto& [id, card] : cards_) {
      if (!card.healthy) {
        leaving += card.open;
        continue;
      }
      ++hosts, scores += card.score;
      if (card.cold > around_.now) {
        fleet.some_cold = true;
      }
      if (degraded(card)) {
        ++bad;
      }
      if (card.shedding > around_.now || (card.open && card.late > around_.now)) {
        trouble_at_ = around_.now;
      }
      all_open += card.open, all_size += card.size;
      if (card.weight <= 0.5) {
        continue;
      }
      if (card.zone == around_.rules.zone) {
        near_open += card.open, near_size += card.size;
      }
      if (card.zone == around_.rules.zone && card.elsewhere >= 0) {
        near_held += card.open + card.elsewhere, near_told += card.size;
      }
      if (card.strained <= around_.now) {
        roomy += card.size;
      }
      if (card.cold <= around_.now) {
        auto& kind = kinds[card.kind];
        kind.first += card.open, kind.second += card.size, open += card.open, size += card.size;
      }
      if (card.cold <= around_.now && card.load >= 0) {
        told += card.load * card.size, told_size += card.size;
      }
    }
    fleet.crowd_limit = trouble_at_ > 0 && around_.now - trouble_at_ < kTroubleHeld ? kInrush : 0;
    // Danger: with no near host at weight a mean of nothing shuts the far ones to a crowd they have room for.
    if (all_size > 0) {
      fleet.mean = near_size > 0 ? near_open / near_size : all_open / all_size;
    }
    if (near_told > 0) {
      fleet.held = near_held / near_told;
    }
    if (all_size > 0) {
      fleet.granted = around_.rules.granted / all_size;
    }
    const double room = all_size > 0 ? std::max(roomy / all_size, kLeastRoom) : 0;
    // Danger: a node all of whose connections stand at hosts that leave finds no room by what others hold.
    fleet.spare = static_cast<int>(std::ceil(kSpareShare * std::max(all_open, leaving) * room));
    if (hosts > 0) {
      fleet.score = scores / hosts;
    }
    if (hosts > 0) {
      fleet.each = std::max(all_open / hosts, kOverBy / around_.rules.nodes);
    }
    if (told_size > 0) {
      fleet.load = told / told_size;
    }
    // Danger: hosts hardly used are taken for weak; with none warm the successors of a whole fleet stay
    // empty.
    if (size > 0) {
      kinds[""] = {open, size};  // what a kind that was never seen goes by
    }
    // A kind that fell at a stroke is remembered for what it bore before.
    const double kept =
        std::exp(-static_cast<double>(around_.now - std::exchange(bore_at_, around_.now)) / kBore);
    for (const auto& [kind, held] : kinds) {
      const double now =
          held.first / held.second / (fleet.load < 0 ? 1 : std::clamp(fleet.load, kLeastTold, 1.0));
      bears_[kind] = std::max(now, bears_[kind] * kept);
    }
    // Danger: where little comes, probes cost more than its service. Looks and messages watch there too.
    if (around_.rules.report_load >= 0 && !came_.empty()) {
      fleet.watch = static_cast<Tenths>(around_.rules.price_probe * hosts / kWatch / came_.size() *
                                        (around_.now - came_.front() + kSecond));
    }
    if (!told_bears_ || *told_bears_ != bears_) {
      told_bears_ = std::make_shared<const std::map<std::string, double>>(bears_);
    }
    fleet.bears = told_bears_;
    fleet.alone = fleet.held < 0 && fleet.each < kOverBy;
    std::erase_if(sought_, [this](const auto& one) { return around_.now - one.first > kSoughtSpan; });
    if (all_size > 0) {
      fleet.sought = static_cast<double>(sought_.size()) / all_size;
    }
    // Danger: trouble behind most hosts, or a node that alone sees it: moving work only churns it.
    fleet.frozen = bad * 2 > hosts || silent();
    if (fleet.frozen != frozen_) {
      around_.log(std::string("weights ") + (fleet.frozen ? "frozen" : "free") + ", degraded " +
                  std::to_string(bad) + " of " + std::to_string(hosts) + (silent() ? ", list silent" : ""));
      around_.write(Part::ring, Topic::fleet).fleet = fleet;
    }
    frozen_ = fleet.frozen;
    return fleet;
  }

  PolicyContext& around_;
  std::map<std::string, EndpointStatus> cards_;
  std::set<std::string> listed_;
  std::map<std::string, double> largest_;  // size of each kind of machine, where weights move
  std::set<std::pair<Tenths, std::string>> due_;
  std::deque<Tenths> came_;  // the start, and when the last attachments came
  bool started_ = false, subscribed_ = false, frozen_ = false, to_check_ = false;
  int losses_ = 0;
  std::deque<std::pair<Tenths, std::optional<std::int64_t>>> sought_;  // when a host was, for which group
  Tenths bore_at_ = 0;
  std::shared_ptr<const std::map<std::string, double>> told_bears_;
  std::map<std::string, double> bears_;  // of each kind's last hosts that were warm
  Tenths lost_at_ = 0, ask_at_ = 0, trouble_at_ = 0, alarm_at_ = 0, pulsed_at_ = 0, stopped_at_ = 0;
};

// The consistent hash ring: says in which order hosts are asked to take an attachment.
class EndpointSelector {
 public:
  Inbox inbox;
  explicit EndpointSelector(PolicyContext& around) : around_(around) {}

  void read(const Note& note) {
    if (note.topic == Topic::fleet) {
      frozen_ = note.fleet.frozen;
      for (const auto& [id, weight] : std::exchange(told_, {})) {
        cards_[id].weight = weight;
      }
    }
    if (note.topic == Topic::seek) {
      answer(note);
    }
    if (note.topic != Topic::card) {
      return;
    }
    const auto [at, fresh] = cards_.try_emplace(note.host, note.card);
    if (fresh || at->second.size != note.card.size) {
      stale_ = true;
    }
    const double weight = fresh || !frozen_ ? note.card.weight : at->second.weight;
    if (frozen_) {
      told_[note.host] = note.card.weight;
    }
    at->second = note.card;
    at->second.weight = weight;  // frozen: the weight stays, all else is kept up
  }

 private:
  static int points_of(const EndpointStatus& card) {
    return std::max(1, static_cast<int>(std::lround(kPoints * card.size)));
  }

  // The client key. Where connections of a group share work the group stands in for it: each host that holds
  // any of a group pays for it, and client keys would spread it over all hosts. Without either, the id.
  // Danger: nodes that hold little and hear of no other's fill one host with a group larger than any host.
  // Its members here tell how large it is: so many parts have keys of their own.
  static std::uint64_t key_of(const Event& event, int part) {
    if (event.group) {
      return hash(static_cast<std::uint64_t>(*event.group + part));
    }
    if (event.key) {
      return hash(static_cast<std::uint64_t>(*event.key));
    }
    return hash(event.id);
  }

  void answer(const Note& seek) {
    if (std::exchange(stale_, false)) {
      circle_.lay(cards_, points_of);
    }
    std::vector<std::pair<int, const std::string*>> ranked;  // rank, then the order of the ring
    std::size_t good = 0;
    const auto taken = [&](const EndpointStatus& card) {  // so many of its points are its own
      return static_cast<int>(std::lround((seek.event.mid_flow ? 1 : card.weight) * points_of(card)));
    };
    const bool crowd = seek.fleet.crowd_limit > 0;
    const int parts = seek.fleet.alone ? 1 + static_cast<int>(seek.members / seek.fleet.each) : 1;
    const int part = parts > 1 ? static_cast<int>(around_.chance.share() * parts) : 0;
    circle_.walk(key_of(seek.event, part), taken, [&](const std::string& id, const EndpointStatus& card) {
      const bool fits = seek.host.empty() || drops_repeats(seek, card);
      // Danger: a host that drops connections is over its end; more are dropped too and come again at once.
      const bool over = std::max(card.shedding, card.late) > around_.now;
      // Danger: where hosts are replaced, those that left stand first in a route and crowd out who is there.
      if (!fits || ((over || !card.healthy) && !seek.event.mid_flow)) {
        return true;
      }
      if (good < kEnough || card.cold > around_.now) {
        ranked.emplace_back(rank(seek, id, card), &id);
      }
      if (ranked.back().first <= 1) {
        ++good;
      }
      return good < kEnough || (crowd && seek.fleet.some_cold);
    });
    if (parts > 1 && !ranked.empty() && ranked.front().first <= 3) {
      ranked.front().first = 0;
    }
    std::stable_sort(ranked.begin(), ranked.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    Note& route = around_.pass_on(seek, Part::desk, Topic::route);
    route.homes.clear(), route.hosts.clear();
    auto order = std::make_shared<std::vector<std::string>>();
    std::vector<std::string> last;
    // Danger: a crowd scatters a group over every host that takes one, and each pays. Told room goes before.
    const auto asks = std::max<std::size_t>(1, static_cast<std::size_t>(kScatter / around_.rules.nodes));
    // Danger: a narrow route seldom leads to a cold host whose turn this node has, and they stay empty beside
    // full ones: all of them are asked, in the order of the group's ring, before anybody is rejected.
    for (const auto& [rank, id] : ranked) {
      if (!crowd || order->size() < asks || cards_[*id].roomy > around_.now) {
        order->push_back(*id);
      } else if (cards_[*id].cold > around_.now && rank < 6) {
        last.push_back(*id);
      }
    }
    order->insert(order->end(), last.begin(), last.end());
    route.order = std::move(order);
  }

  // Danger: a repeat outside the group that knows the mark takes effect a second time.
  bool drops_repeats(const Note& seek, const EndpointStatus& card) const {
    const auto first = cards_.find(seek.host);
    if (seek.within == "all" || first == cards_.end()) {
      return seek.within == "all";
    }
    return seek.within == "zone" ? card.zone == first->second.zone : card.cell == first->second.cell;
  }

  // Lower is asked earlier; within one rank the ring decides.
  int rank(const Note& seek, const std::string& id, const EndpointStatus& card) const {
    // Danger: each zone's nodes gather a group on hosts of their own, and each pays more than its connections
    // weigh. While room counts the ring is the same for all; where crossing is dear only when it is short.
    // Where hosts report no load nobody sees room run out, and scattered groups are not brought together
    // again.
    const bool crowd = seek.fleet.crowd_limit > 0;
    const bool room_counts = crowd || seek.fleet.load > kBusy || around_.rules.report_load < 0;
    const bool gathers =
        seek.event.group && (around_.rules.price_crossing <= kDear ? room_counts : crowd && seek.shortage);
    const bool near = card.zone == around_.rules.zone || gathers;
    if (std::count(seek.hosts.begin(), seek.hosts.end(), id)) {
      return 9;  // it has failed this attachment
    }
    if (seek.event.mid_flow) {
      return near ? 0 : 1;
    }
    const bool home = seek.homes.count(id) != 0;  // the group's work is paid for there already
    // Danger: where a node holds next to nothing none sees a host well over, and all of them heap work there.
    const bool told = seek.fleet.mean * card.size < kOverBy && seek.fleet.held >= 0 && card.elsewhere >= 0;
    const double share = (told ? seek.fleet.held : seek.fleet.mean) * card.size;
    const double open = card.open + 1 + (told ? card.elsewhere : 0);
    const bool over = open >= share + kOverBy && open > share * (home && !told ? kHomeOver : kWellOver);
    // Danger: a node that starts anew in a crowd knows no delays and heaps all of it on its one near host.
    const bool full = seek.fleet.granted > 0 && open * 2 > seek.fleet.granted * card.size;
    if (card.strained > around_.now) {
      return near ? 6 : 7;
    }
    if (home && !over && !full) {
      return near ? 0 : 3;
    }
    if (near && !full) {
      return over ? 2 : 1;
    }
    return over || full ? 5 : 4;
  }

  PolicyContext& around_;
  std::map<std::string, EndpointStatus> cards_;
  std::map<std::string, double> told_;  // weights told while frozen: they hold from the thaw on
  HashRing circle_;
  bool stale_ = true, frozen_ = false;
};

// Holds the attachments: their tries, their expiry and their one final answer.
class RequestTable {
 public:
  Inbox inbox;
  explicit RequestTable(PolicyContext& around) : around_(around) {}

  void read(const Note& note) {
    switch (note.topic) {
      case Topic::event:
        happened(note.event);
        break;
      case Topic::route:
      case Topic::passed:
        ask(note);
        break;
      case Topic::evict:
        evict(note.host, note.part, note.fleet.spare, note.fleet.each >= kOverBy, note.leaving);
        break;
      case Topic::taken:
        send(note.event.id, note.host);
        break;
      default:
        return;
    }
    forget(note.event.id);
  }

 private:
  void forget(const std::string& id) {
    const auto found = held_.find(id);
    if (found == held_.end() || !found->second.answered) {
      return;
    }
    for (const Attempt& made : found->second.tries) {
      if (made.out) {
        return;
      }
    }
    held_.erase(found);
  }

  double of_type(const Request& held, const char* name, double otherwise) const {
    const std::string at = entry(around_.settings, "traffic.", held.event.traffic_type);
    return at.empty() ? otherwise : number(around_.settings, at + name, otherwise);
  }

  void happened(const Event& event) {
    // Danger: what would be answered only after this node's end is never answered.
    if (event.kind == EventKind::stopping && event.expiry > 0) {
      for (auto& [id, held] : held_) {
        held.event.expiry = std::min(held.event.expiry, event.expiry);
      }
    }
    if (event.kind == EventKind::attachment || event.kind == EventKind::handed_over) {
      return arrives(event);
    }
    const auto found = held_.find(event.id);
    if (found == held_.end()) {
      return;
    }
    Request& held = found->second;
    switch (event.kind) {
      case EventKind::established:
        stands(held, event);
        break;
      case EventKind::try_ended:
        ended(held, event);
        break;
      case EventKind::client_left:
        held.answered = true;
        break;
      case EventKind::delay_told:
        tell_host(event, event.host);
        break;
      case EventKind::unanswered:  // danger: it hangs though its host serves others, or while frozen
        if (held.standing && !held.answered && event.figure >= kLineSilent) {
          move(held);
        }
        break;
      default:
        break;
    }
  }

  void tell_host(const Event& event, const std::string& host, bool standing = false) {
    Note& note = around_.write(Part::host, Topic::event, host);
    note.event = event;
    note.standing = standing;
  }

  void arrives(const Event& event) {
    Request held;
    held.event = event;
    const std::string at = entry(around_.settings, "traffic.", event.traffic_type);
    held.effect = at.empty() ? "unrepeatable" : text(around_.settings, at + "effect");
    held.group = text(around_.settings, at + "repeat_group");
    if (event.kind == EventKind::handed_over) {
      held.standing = true;
      held.pending = event.pending;
      held.tries.push_back({event.host, around_.now, true, true});
      tell_host(event, event.host);
    }
    held_[event.id] = held;
    if (event.kind != EventKind::attachment) {
      return;
    }
    if (around_.rules.further_span > 0) {
      taken_.push_back(around_.now);
    }
    seek(held_[event.id]);
  }

  void stands(Request& held, const Event& event) {
    held.pending = false;
    if (!std::exchange(held.standing, true)) {
      --out_;  // a connection from before was no try of this node
    }
    keep_last(times_, event.took, kTimes);
    Event told = event;  // with the time beyond which a set-up is a bad one
    told.expiry = static_cast<Tenths>(of_type(held, "latency_goal", 0) / 2);
    learn(event.host, event.took <= told.expiry);
    if (behind_all()) {
      told.expiry = kNever;
    }
    tell_host(told, event.host);
  }

  // Danger: what stands behind all hosts (a store) is slow or full, and all nodes' repeats keep it full. When
  // set-ups go wrong at most hosts in a second no host is blamed; as many are out as still come through.
  void learn(const std::string& host, bool good) {
    std::erase_if(lately_, [&](const auto& one) { return around_.now - one.second.first > kSecond; });
    lately_[host] = {around_.now, good};
    if (good) {
      window_ += 1 / window_, good_at_ = around_.now;
    }
    if (good || !behind_all() || around_.now - cut_at_ < kPulse * 2) {
      return;
    }
    if (!limited()) {
      window_ = out_ + 1, around_.log("set-ups go wrong at most hosts, out " + std::to_string(out_));
    }
    window_ = std::max(1.0, window_ / 2), cut_at_ = around_.now;
  }
  bool behind_all() const {
    const auto bad =
        std::count_if(lately_.begin(), lately_.end(), [](auto& one) { return !one.second.second; });
    // Danger: with few out results come one by one, and each would be taken for its host's fault.
    if (limited() && good_at_ < cut_at_) {
      return true;
    }
    return bad >= kBadRun && bad * 2 > static_cast<std::ptrdiff_t>(lately_.size());
  }
  bool limited() const { return cut_at_ > 0 && around_.now - cut_at_ < kTroubleHeld; }

  void ended(Request& held, const Event& event) {
    if (event.number < 0 || event.number >= static_cast<int>(held.tries.size())) {
      return;
    }
    Attempt& last = held.tries[static_cast<std::size_t>(event.number)];
    if (!std::exchange(last.out, false)) {
      return;
    }
    last.may_have_run = event.outcome != Outcome::rejected && event.outcome != Outcome::connect_failed &&
                        event.outcome != Outcome::not_sent;
    Event told = event;
    // Danger: a host that leaves while its connection comes up would cost the attachment one of its tries.
    if (event.outcome == Outcome::withdrawn) {
      --out_, tell_host(event, last.host);
      if (held.tries.size() > 1 && !further_.empty()) {
        further_.pop_back();
      }
      held.tries.pop_back();
      return held.answered ? void() : seek(held);
    }
    if (!held.standing) {
      --out_;
      // Danger: a host that takes no connection is down by itself, whatever stands behind the others.
      if (event.outcome != Outcome::cancelled && event.outcome != Outcome::not_sent &&
          event.outcome != Outcome::connect_failed) {
        learn(last.host, false);
        if (behind_all()) {
          told.outcome = Outcome::cancelled;
        }
      }
    }
    tell_host(told, last.host, held.standing);
    if (event.final || held.standing) {
      held.answered = true;
    }
    if (!held.answered) {
      seek(held);
    }
  }

  // Whole groups move, the same at every node, so that a group is paid for at one host and not at two.
  // Danger: a least of one at each of many nodes clears a host at a stroke; a group's hash says when it goes.
  void evict(const std::string& host, double part, int spare, bool whole, bool leaving) {
    std::erase_if(moved_, [this](Tenths when) { return around_.now - when >= kSecond; });
    for (auto& [id, held] : held_) {
      if (!held.standing || held.answered) {
        continue;
      }
      if (!host.empty() && held.tries.back().host != host) {
        continue;
      }
      // Danger: one that is still to come up again would be ended by a trouble that may pass.
      if (held.pending && !host.empty() && !leaving) {
        continue;
      }
      const auto& by = held.event.group && whole ? held.event.group : held.event.key;
      const auto group = hash(by ? static_cast<std::uint64_t>(*by) : hash(id));
      if (static_cast<double>(hash(group ^ hash(host)) >> 32) >= part * 4294967296.0) {
        continue;
      }
      if (static_cast<int>(moved_.size()) >= spare) {
        return;  // danger: moved work chases itself without room
      }
      move(held);
    }
  }

  void move(Request& held) {
    held.answered = true;  // the client comes again as a new attachment
    around_.act(ActionKind::move, held.event.id, held.tries.back().host);
    moved_.push_back(around_.now);
  }

  // The one place that decides whether an attachment may have another setup try.
  bool may_be_tried_again(const Request& held) const {
    if (held.answered || held.standing || around_.now >= held.event.expiry) {
      return false;
    }
    if (static_cast<double>(held.tries.size()) >= around_.rules.max_tries) {
      return false;
    }
    for (const Attempt& earlier : held.tries) {
      if (earlier.out) {
        return false;  // danger: two out; a cancelled one is out until its result has come
      }
      if (!earlier.may_have_run || held.effect == "idempotent") {
        continue;
      }
      if (held.effect != "deduplicated") {
        return false;  // danger: an unrepeatable effect happens twice
      }
      if (around_.now - earlier.sent + kRepeatMargin >= of_type(held, "repeat_window", 0)) {
        return false;
      }
    }
    return true;
  }

  // Danger: each failure answered by another try makes one host's trouble everybody's work. Where tries
  // beyond the first are rationed, whoever finds none left is answered at once. A tick to the safe side at
  // both ends.
  bool budget_allows() {
    const Rules& rules = around_.rules;
    if (rules.further_span <= 0) {
      return true;
    }
    const auto span = static_cast<Tenths>(rules.further_span);
    while (!taken_.empty() && around_.now - taken_.front() >= span) {
      taken_.pop_front();
    }
    while (!further_.empty() && around_.now - further_.front() > span + 1) {
      further_.pop_front();
    }
    return static_cast<double>(further_.size() + 1) <=
           rules.further_least + rules.further_share * static_cast<double>(taken_.size());
  }

  // The one place that decides whether an attachment may be rejected: that says that a repeat is harmless.
  bool may_be_rejected(const Request& held) const {
    if (held.effect == "idempotent") {
      return true;
    }
    for (const Attempt& earlier : held.tries) {
      if ((earlier.out || earlier.may_have_run) && !(held.effect == "deduplicated" && held.group == "all")) {
        return false;
      }
    }
    return true;
  }

  // Fairness: what lies beyond a tenant's share gives way first, and only while room is short.
  bool beyond_share(const Request& held) const {
    const std::string at = entry(around_.settings, "tenant.", held.event.tenant);
    const double share = at.empty() ? 0 : number(around_.settings, at + "open", 0) / around_.rules.nodes;
    double open = 0;
    for (const auto& [id, other] : held_) {
      if (!other.answered && other.standing && other.event.tenant == held.event.tenant) {
        ++open;
      }
    }
    return share > 0 && open + 1 >= share + kOverBy;  // danger: a share under one shuts its tenant out
  }

  void seek(Request& held) {
    if (!may_be_tried_again(held) || (limited() && out_ >= window_)) {
      return give_up(held);
    }
    if (!budget_allows() && !held.tries.empty()) {
      return give_up(held);  // asked of all: old ones go
    }
    Note& note = around_.write(Part::roster, Topic::seek);
    note.event = held.event;
    if (held.event.group) {
      for (const auto& [id, other] : held_) {
        if (other.standing && !other.answered && other.event.group == held.event.group) {
          note.homes.insert(other.tries.back().host), ++note.members;
        }
      }
    }
    for (const Attempt& earlier : held.tries) {
      note.hosts.push_back(earlier.host);
      if (held.effect == "deduplicated" && earlier.may_have_run) {
        note.host = earlier.host;
      }
    }
    note.within = held.group;
    note.shortage = none_at_ > 0 && around_.now - none_at_ < kStrainHeld;
  }

  // Asks the next host of a route; each host answers with a note of its own.
  void ask(const Note& route) {
    const auto found = held_.find(route.event.id);
    if (found == held_.end() || found->second.answered) {
      return;
    }
    Request& held = found->second;
    const bool crowd = route.fleet.crowd_limit > 0;
    const bool gives_way = route.topic == Topic::route && crowd && beyond_share(held);
    const bool none = route.asked >= route.order->size();
    if (crowd && none) {
      none_at_ = around_.now;
    }
    if (gives_way || none || around_.now >= held.event.expiry) {
      return give_up(held);
    }
    Note& note = around_.pass_on(route, Part::host, Topic::offer);
    note.host = (*route.order)[note.asked++];
  }

  void send(const std::string& id, const std::string& host) {
    Request& held = held_[id];
    if (!held.tries.empty()) {
      if (!budget_allows()) {  // spent since it was sought: the host has counted it, and counts it out again
        Event unsent;
        unsent.kind = EventKind::try_ended, unsent.outcome = Outcome::not_sent;
        tell_host(unsent, host);
        return give_up(held);
      }
      further_.push_back(around_.now);
    }
    held.tries.push_back({host, around_.now, true, true});
    ++out_;
    around_.act(ActionKind::setup_try, id, host, 0, time_out(held));
  }

  // A try that hangs must leave time for another within the latency goal; the last one may use all of it.
  Tenths time_out(const Request& held) const {
    const Tenths left = held.event.expiry - around_.now;
    if (static_cast<double>(held.tries.size()) >= around_.rules.max_tries) {
      return left;
    }
    // Danger: given up early, a set-up behind a slow store is work done for nobody, and its repeat is more of
    // it.
    if (held.effect == "unrepeatable" || held.event.mid_flow || limited()) {
      return left;
    }
    std::vector<Tenths> sorted(times_.begin(), times_.end());
    std::sort(sorted.begin(), sorted.end());
    const Tenths usual = sorted.empty() ? 0 : sorted[sorted.size() * 9 / 10];
    const auto goal = static_cast<Tenths>(of_type(held, "latency_goal", static_cast<double>(left)));
    return std::clamp<Tenths>(std::max(goal / 3, 3 * usual), 1, std::max<Tenths>(left, 1));
  }

  void give_up(Request& held) {
    if (std::exchange(held.answered, true)) {
      return;
    }
    const std::string& id = held.event.id;
    if (!may_be_rejected(held)) {
      return around_.act(ActionKind::scrap, id, "");
    }
    const bool told = number(around_.settings, "come_back_told", 0) != 0;
    const double most = told ? number(around_.settings, "max_come_back", 0) : 0;
    const double share = 0.2 + 0.8 * around_.chance.share();  // danger: a rejected crowd comes back in step
    around_.act(ActionKind::reject, id, "", 0, static_cast<Tenths>(most * share));
  }

  PolicyContext& around_;
  std::map<std::string, Request> held_;
  std::map<std::string, std::pair<Tenths, bool>>
      lately_;         // each host's last set-up of this second: when, good
  double window_ = 1;  // set-ups that may be out while they go wrong everywhere
  int out_ = 0;
  Tenths good_at_ = 0;                  // when a set-up last went well
  Tenths cut_at_ = 0, none_at_ = 0;     // none: in a crowd an attachment found no host
  std::deque<Tenths> times_;            // of the last set-ups that stood
  std::deque<Tenths> taken_, further_;  // where rationed: attachments taken, and tries beyond a first
  std::deque<Tenths> moved_;            // when connections were moved, over the last second
};

}  // namespace

struct LoadBalancer::Parts {
  PolicyContext around;
  EndpointSet roster;
  EndpointSelector ring;
  RequestTable desk;
  std::map<std::string, Host> hosts;
  std::vector<std::pair<const std::string, Host>*> stirred;  // hosts with notes in their inbox

  Parts(const SettingsMap& settings, std::uint64_t seed, Tenths now)
      : around{settings, Rules(settings), RandomGenerator(seed), now, {}, {}},
        roster(around),
        ring(around),
        desk(around) {}

  void deliver(const Event& event) {
    if (event.kind == EventKind::stopping) {
      around.write(Part::desk, Topic::event).event = event;
    }
    if (event.kind <= EventKind::stopping) {
      around.write(Part::roster, Topic::event).event = event;
    } else if (event.id.empty() && !event.host.empty()) {  // of a probe, or a delay where nothing stands
      around.write(Part::host, Topic::event, event.host).event = event;
    } else if (event.kind == EventKind::alarm) {
      around.write(Part::roster, Topic::pulse);
    } else if (event.kind != EventKind::peer_word) {
      around.write(Part::desk, Topic::event).event = event;
    }
    settle();
  }

  template <class Actor>
  bool empty(Actor& actor) {
    const bool any = !actor.inbox.empty();
    for (const Note* note : actor.inbox) {
      actor.read(*note);  // reading posts, and never to an inbox
    }
    actor.inbox.clear();
    return any;
  }

  void sort_post() {
    while (const Note* note = around.post.next()) {
      if (note->to == Part::roster) {
        roster.inbox.push_back(note);
      } else if (note->to == Part::ring) {
        ring.inbox.push_back(note);
      } else if (note->to == Part::desk) {
        desk.inbox.push_back(note);
      } else {
        auto found = hosts.find(note->host);
        if (found == hosts.end() && note->topic == Topic::listed) {
          found = hosts.try_emplace(note->host, around, note->host).first;
        }
        if (found == hosts.end()) {
          continue;
        }
        if (found->second.inbox.empty()) {
          stirred.push_back(&*found);
        }
        found->second.inbox.push_back(note);
      }
    }
  }

  // The one loop: empties the inboxes, always in the same order, until no note is left.
  void settle() {
    for (bool any = true; any;) {
      sort_post();
      any = empty(roster);
      std::sort(stirred.begin(), stirred.end(), [](auto* a, auto* b) { return a->first < b->first; });
      for (auto* host : stirred) {
        any = empty(host->second) || any;
      }
      stirred.clear();
      sort_post();
      any = empty(ring) || any;
      any = empty(desk) || any;
    }
    around.post.all_read();
  }
};

LoadBalancer::LoadBalancer(SettingsMap settings, std::uint64_t seed, Tenths now)
    : parts_(std::make_unique<Parts>(settings, seed, now)) {}
LoadBalancer::~LoadBalancer() = default;
void LoadBalancer::update_settings(SettingsMap settings) {
  parts_->around.rules = Rules(settings);
  parts_->around.settings = std::move(settings);
}

std::vector<Action> LoadBalancer::handle_events(Tenths now, const std::vector<Event>& events) {
  parts_->around.now = std::max(now, parts_->around.now);
  for (const Event& event : events) {
    parts_->deliver(event);
  }
  return std::exchange(parts_->around.actions, {});
}

}  // namespace dapplewharf
