// The decisions of one dapplewharf node. Callers make one Choice a node and give it batches of events by
// Choice::take (src/choice.h); events, actions and settings are the plain values of src/words.h.
// Inside, Roster, Ring, Desk and one Host a host are small actors: each reads notes from its own inbox and
// speaks to the others only by posting notes; Parts::settle empties the inboxes, always in the same order.
#include "choice.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <set>
#include <utility>

#include "notes.h"

namespace dapplewharf {
namespace {

constexpr Tenths kPulse =
    100 * kMs;  // how often the parts look at the clock; well under every span they watch
constexpr int kPulseAlarm = 1;
constexpr int kBadRun = 3;  // design: bad results in a row that turn a signal bad
constexpr int kGoodRun =
    12;  // design: good results in a row that turn it good; also the samples a score looks at
constexpr double kRamp[] = {0.05, 0.20, 0.50, 1.00};  // design: the climb of a return
constexpr int kTop = 3;                               // the last step of the ramp
constexpr Tenths kStep = kSecond;                     // least stay on a step: several probes in a hurry
constexpr Tenths kFirstCooldown = 2 * kSecond;        // short: most troubles here are over in half a minute
constexpr Tenths kLongestCooldown = 3600 * kSecond;   // the cap of the design's source
constexpr Tenths kFlapMemory = 60 * kSecond;          // flaps older than this no longer lengthen the cooldown
constexpr Tenths kProbeEvery = 1500 * kMs;            // steady probes
constexpr Tenths kProbeHurry = 200 * kMs;             // probes while a signal is in doubt
constexpr int kPoints =
    60;  // virtual points of a host of mean size at full weight: shares true to a few percent
constexpr Tenths kQuiet = kSecond;  // without a set-up for this long the probes speak for a host alone
constexpr int kOverBy = 2;          // design: connections over the mean before a host is passed
constexpr double kWellOver = 1.25;  // design: "well over" the mean
constexpr double kHomeOver =
    4;  // the same for a host that pays for the group: elsewhere it is paid for again
constexpr double kProbeWork = 0.1;            // a probe is a small part of a set-up to a cold host
constexpr std::size_t kTimes = 40;            // set-up times kept to tell the usual one
constexpr Tenths kTroubleHeld = 5 * kSecond;  // the crowd limit outlasts the last late host
constexpr double kInrush = 0.25;    // new connections a second for one host, of the mean that hosts hold
constexpr double kInrushLeast = 2;  // and no fewer than this, so that an empty fleet fills
constexpr double kSpareShare =
    0.15;  // what hosts with room may take of moved work a second, of what they hold
constexpr double kLeastRoom =
    0.5;  // with less room than this late hosts still give up as much, to be in time again
constexpr Tenths kLongLate = 3 * kSecond;  // longer than most spells of a program that comes and goes
constexpr Tenths kCapHeld = 30 * kSecond;  // a host that was late is not filled up again for this long
constexpr Tenths kRelief = 500 * kMs;  // between moves off a late host: time to see what the last ones did
constexpr double kReliefShare =
    0.15;  // of its connections: a few steps clear a host, one step overshoots little
constexpr Tenths kStrainHeld =
    1500 * kMs;  // slow-message notes come once a second: one lost note is no relief

// One of the two signals of a host: its last results, and whether a run has turned it.
struct Signal {
  std::deque<bool> results;
  bool good = true;
  int run = 0;  // results in a row like the last

  // Returns true when the signal turns.
  bool add(bool result) {
    run = !results.empty() && results.back() == result ? run + 1 : 1;
    results.push_back(result);
    if (results.size() > kGoodRun) results.pop_front();
    if (good != result && run >= (result ? kGoodRun : kBadRun)) {
      good = result;
      return true;
    }
    return false;
  }
  double share() const {
    if (results.empty()) return 1;
    return static_cast<double>(std::count(results.begin(), results.end(), true)) / results.size();
  }
  bool in_doubt() const { return !good || (!results.empty() && !results.back()); }
};

class Host {
 public:
  std::deque<Note> inbox;

  Host(Surroundings& around, std::string id) : around_(around), id_(std::move(id)) {
    next_probe_ = around_.now + static_cast<Tenths>(around_.chance.share() * kProbeEvery);
  }

  void read(const Note& note) {
    switch (note.topic) {
      case Topic::listed: listed(note.listing, note.fresh); break;
      case Topic::unlisted: leaves(HostState::gone); break;
      case Topic::pulse: pulse(); break;
      case Topic::fleet: fleet_ = note.fleet; break;
      case Topic::offer: offered(note); break;
      case Topic::event: happened(note); break;
      default: return;
    }
    tell();
  }

 private:
  void listed(const Listing& listing, bool fresh) {
    const bool restarted = listing.started > started_ && known_;
    card_.zone = listing.zone;
    card_.cell = listing.cell;
    card_.size = listing.size > 0 ? listing.size : 1;
    started_ = listing.started;
    if (listing.state != HostState::healthy) return leaves(listing.state);
    state_ = HostState::healthy;
    if (fresh || restarted || (!known_ && cold())) {  // danger: a cold host at full weight falls over
      step_ = 0;
      step_since_ = around_.now;
      probes_ = setups_ = Signal();
      inherited_ = known_ ? 100 : fleet_.score;
      around_.log("host " + id_ + " starts cold, age ms " + std::to_string((around_.now - started_) / kMs));
    }
    known_ = true;
  }

  void leaves(HostState state) {
    if (state_ == HostState::healthy) left_at_ = around_.now;
    state_ = state;
  }

  Tenths age() const {
    return started_ > 0 ? around_.now - started_ : number(around_.settings, "cold_time", 0);
  }
  bool cold() const { return age() < needed(around_.settings, "cold_time"); }

  // The one place that decides whether this host may be sent this attachment.
  bool may_be_sent(const Event& attachment) const {
    if (state_ != HostState::healthy) {
      // A mid-flow connection may be held here; without proof of that only the grace allows it.
      const bool in_grace = around_.now - left_at_ < needed(around_.settings, "drain_grace") - kPulse;
      return state_ == HostState::draining && attachment.mid_flow && in_grace;
    }
    if (cold()) return cold_sent() + 1 <= cold_budget();
    // Danger: a host in time again is filled to where it was late before, and nobody there is served.
    const bool capped = cap_at_ > 0 && around_.now - cap_at_ < kCapHeld;
    if (capped && !attachment.mid_flow && card_.open >= cap_) return false;
    if (attachment.mid_flow || !fleet_.crowd_limit) return true;
    return lately_sent() < std::max(kInrushLeast, fleet_.crowd_limit * fleet_.mean * card_.size);
  }

  // Danger: a crowd cut off at one host falls on the next, which then cuts off its own. A host takes only a
  // part of what hosts usually hold as new work in a second; whoever finds no host is told when to come back.
  double lately_sent() const {
    double sum = 0;
    for (auto at = sent_.rbegin(); at != sent_.rend() && around_.now - at->first < kSecond; ++at)
      if (at->second >= 1) ++sum;
    return sum;
  }

  // Danger: all nodes together push a cold host over. Each node keeps to its own part of what the host can
  // surely do: warm hosts bear `bears` of this node's connections, and a cold one can fill up to that no
  // faster than over its warm-up. Half of the multiple is left for chance and for unequal loads.
  double cold_budget() const {
    const double from = needed(around_.settings, "cold_from"), span = needed(around_.settings, "cold_time");
    const double window = needed(around_.settings, "fall_time");
    const double capacity = from + (1 - from) * std::clamp(age() / std::max(span, 1.0), 0.0, 1.0);
    const double multiple = std::max(1.0, needed(around_.settings, "fall_multiple") / 2);
    return std::max(1.0, multiple * capacity * fleet_.bears * card_.size * window / std::max(span, 1.0));
  }

  // A budget under one is kept by looking back over several windows.
  double cold_sent() const {
    const Tenths window = static_cast<Tenths>(needed(around_.settings, "fall_time"));
    const Tenths back = window * static_cast<Tenths>(std::max(1.0, number(around_.settings, "nodes", 1)));
    double sum = 0;
    const bool scarce = cold_budget() < 2;
    for (const auto& [when, work] : sent_)
      if (around_.now - when < (scarce ? back : window)) sum += work;
    return sum;
  }

  void sends(double work) {
    sent_.emplace_back(around_.now, work);
    while (sent_.size() > 400) sent_.pop_front();
  }

  void offered(const Note& note) {
    const bool may = may_be_sent(note.event);
    Note& answer = around_.write(Part::desk, may ? Topic::taken : Topic::passed, id_);
    answer.event = note.event;
    answer.hosts = note.hosts;
    if (!may) return;
    sends(1);
    ++card_.open;
  }

  void happened(const Note& note) {
    const Event& event = note.event;
    switch (event.kind) {
      case EventKind::handed_over: ++card_.open; break;
      case EventKind::established:
        refusals_ = 0;
        setup_at_ = around_.now;
        result(setups_, event.took <= event.expiry);  // the desk puts the longest good set-up time there
        break;
      case EventKind::try_ended: ended(event, note.standing); break;
      case EventKind::delay_told: delayed(event.figure); break;
      case EventKind::probe_ended:
        probe_out_ = false;
        silent_ = event.outcome == Outcome::no_answer || event.outcome == Outcome::no_connection;
        result(probes_, event.outcome == Outcome::honoured);
        // Danger: a host without set-ups is never heard well of again, gets none, and stays out for ever.
        // Where no set-up has ended of late, good probes count for that signal as well.
        if (event.outcome == Outcome::honoured && around_.now - setup_at_ > kQuiet && setups_.share() < 1)
          result(setups_, true);
        break;
      default: break;
    }
  }

  void ended(const Event& event, bool standing) {
    if (standing && event.outcome == Outcome::lost) shed_at_ = around_.now;
    card_.open = std::max(0, card_.open - 1);
    switch (event.outcome) {
      case Outcome::honoured:
      case Outcome::cancelled:
      case Outcome::not_sent: return;  // says nothing of the host
      case Outcome::no_connection:
      case Outcome::turned_away: ++refusals_; break;
      default: break;
    }
    setup_at_ = around_.now;
    result(setups_, false);
  }

  void delayed(double delay) {
    if (delay <= shortest_goal() || around_.now - strained_at_ > kStrainHeld) late_since_ = around_.now;
    delay_ = delay;
    if (delay > shortest_goal()) cap_at_ = around_.now, cap_ = card_.open;
    strained_at_ = delay * 3 > shortest_goal() ? around_.now : 0;  // the last note tells of the end
  }

  double shortest_goal() const {
    double goal = number(around_.settings, "message_goal.0", 0);
    for (int i = 1; around_.settings.count("message_goal." + std::to_string(i)); ++i)
      goal = std::min(goal, number(around_.settings, "message_goal." + std::to_string(i), 0));
    return goal;
  }

  // Danger: value is counted by the second, and connections left on a host that answers too late or not at
  // all lose it until they end. They are moved a part at a time, so that what is left can be served again.
  void relieve() {
    if (fleet_.frozen || around_.now < next_relief_ || card_.open == 0) return;
    const bool late = card_.strained && delay_ * 2 > shortest_goal();
    const bool dead =
        !probes_.good && silent_;  // one that answers with errors may well serve what stands there
    if (!dead && !late) return;
    // Without room anywhere it is worth it only where lateness stays: a short spell ends sooner than a move
    // pays.
    if (!dead && fleet_.crowded && around_.now - late_since_ < kLongLate) return;
    const bool begins = around_.now - next_relief_ > kStrainHeld;
    next_relief_ = around_.now + (dead ? kPulse : kRelief);
    const int count = static_cast<int>(std::ceil(card_.open * (dead ? 4 * kReliefShare : kReliefShare)));
    around_.write(Part::desk, Topic::evict, id_).count = count;
    if (!begins) return;
    around_.log("host " + id_ + " gives up connections, open " + std::to_string(card_.open) +
                (dead ? ", probes unanswered" : ", message ms " + figure(delay_ / kMs)));
  }

  void result(Signal& signal, bool good) {
    const bool turned = signal.add(good);
    if (!good) next_probe_ = std::min(next_probe_, around_.now + kProbeHurry / 2);
    if (turned) {
      around_.log("host " + id_ + (&signal == &probes_ ? " probes " : " set-ups ") + (good ? "good" : "bad") +
                  ", share good " + figure(signal.share()) + ", score " + figure(score()));
      if (!good) falls();
    } else if (!good && step_ < kTop && signal.good) {
      step_ = 0;  // each step is gated on the score holding
      step_since_ = around_.now;
    }
  }

  void falls() {
    std::erase_if(flaps_, [this](Tenths when) { return around_.now - when > kFlapMemory; });
    Tenths cooldown = kFirstCooldown;
    for (std::size_t i = 0; i < flaps_.size() && cooldown < kLongestCooldown; ++i) cooldown *= 2;
    flaps_.push_back(around_.now);
    step_ = 0;
    step_since_ = around_.now + std::min(cooldown, kLongestCooldown);  // the climb starts after the cooldown
  }

  // Full only with both signals healthy: the mean of both shares, less half of their difference.
  double score() const {
    if (!probes_.good && !setups_.good) return 0;
    const double probes = probes_.share(), setups = setups_.share();
    double score = 100 * ((probes + setups) / 2 - std::abs(probes - setups) / 2);
    if (!probes_.good || !setups_.good) score = std::min(score, 50.0);
    return std::min(score, inherited_);
  }

  void pulse() {
    climb();
    probe();
    relieve();
  }

  void climb() {
    if (step_ >= kTop || around_.now < step_since_) return;
    const Tenths stay =
        cold()
            ? std::max<Tenths>(kStep, static_cast<Tenths>(needed(around_.settings, "cold_time") / (kTop + 1)))
            : kStep;
    if (around_.now - step_since_ < stay || probes_.in_doubt() || setups_.in_doubt()) return;
    ++step_;
    step_since_ = around_.now;
    inherited_ = 100;
    around_.log("host " + id_ + " climbs to " + figure(kRamp[step_]) + ", score " + figure(score()));
  }

  void probe() {
    if (number(around_.settings, "probes_allowed", 0) == 0 || state_ != HostState::healthy) return;
    if (probe_out_ || around_.now < next_probe_) return;
    const bool hurry = probes_.in_doubt() || setups_.in_doubt();
    probe_out_ = true;
    next_probe_ = around_.now + (hurry ? kProbeHurry : kProbeEvery);
    sends(kProbeWork);
    around_.act(ActionKind::probe, "", id_);
  }

  void tell() {
    const double score = this->score();
    card_.score = score;
    card_.weight = score / 100 * kRamp[step_];
    card_.healthy = state_ == HostState::healthy;
    card_.strained = strained_at_ > 0 && around_.now - strained_at_ < kStrainHeld;
    card_.late = card_.strained && delay_ > shortest_goal();
    card_.shedding = shed_at_ > 0 && around_.now - shed_at_ < kStrainHeld;
    card_.refusing = refusals_ >= 2;
    card_.cold = cold();
    for (const Part to : {Part::roster, Part::ring}) around_.write(to, Topic::card, id_).card = card_;
  }

  Surroundings& around_;
  std::string id_;
  Card card_;
  Fleet fleet_;
  HostState state_ = HostState::gone;
  bool known_ = false, probe_out_ = false;
  bool silent_ = false;  // the last probe had no answer at all
  Tenths started_ = 0, left_at_ = 0, next_probe_ = 0, step_since_ = 0, strained_at_ = 0, shed_at_ = 0;
  Signal probes_, setups_;
  int step_ = kTop, refusals_ = 0;
  double delay_ = 0;  // of a message, as last told
  Tenths next_relief_ = 0, setup_at_ = 0, late_since_ = 0, cap_at_ = 0;
  int cap_ = 0;             // what it held when it was last late
  double inherited_ = 100;  // a new host starts at the others' mean
  std::deque<Tenths> flaps_;
  std::deque<std::pair<Tenths, double>> sent_;
};

// Follows the list and says when the weights are frozen.
class Roster {
 public:
  std::deque<Note> inbox;
  explicit Roster(Surroundings& around) : around_(around) {}

  void read(const Note& note) {
    if (note.topic == Topic::card) cards_[note.host] = note.card;
    if (note.topic == Topic::pulse) pulse();
    if (note.topic == Topic::event) list(note.event);
  }

 private:
  bool asked_for() const { return text(around_.settings, "discovery") == "on_request"; }

  void list(const Event& event) {
    if (event.kind == EventKind::list_lost) {
      ++losses_;
      subscribed_ = false;
      if (lost_at_ == 0) lost_at_ = around_.now;
      const double wait = std::min(500.0 * (1 << std::min(losses_, 4)), 4000.0) * kMs;
      ask_at_ = around_.now + static_cast<Tenths>(wait * (0.5 + around_.chance.share() / 2));
      return;
    }
    if (event.kind != EventKind::list_copy) {
      losses_ = 0;
      lost_at_ = 0;
    }
    std::set<std::string> named;
    for (const Listing& listing : event.listings) {
      named.insert(listing.host);
      Note& note = around_.write(Part::host, Topic::listed, listing.host);
      note.listing = listing;
      note.fresh = started_ && !listed_.count(listing.host);
    }
    if (event.kind != EventKind::list_changes)
      for (const std::string& host : listed_)
        if (!named.count(host)) around_.write(Part::host, Topic::unlisted, host);
    listed_.insert(named.begin(), named.end());
    if (!started_ && asked_for()) ask();
    started_ = true;
  }

  void ask() {
    subscribed_ = true;
    around_.act(ActionKind::subscribe, "", "");
  }

  void pulse() {
    if (asked_for() && started_ && !subscribed_ && around_.now >= ask_at_) ask();
    Fleet fleet;
    double scores = 0, open = 0, size = 0, all_open = 0, all_size = 0, roomy = 0, near_open = 0,
           near_size = 0;
    const std::string zone = text(around_.settings, "zone");
    int hosts = 0, degraded = 0;
    for (const auto& [id, card] : cards_) {
      if (!card.healthy) continue;
      ++hosts;
      scores += card.score;
      if (card.score < 75 && !card.cold) ++degraded;
      if (card.late || card.shedding) trouble_at_ = around_.now;
      all_open += card.open;
      all_size += card.size;
      if (card.zone == zone) near_open += card.open, near_size += card.size;
      if (!card.strained && card.weight > 0.5) roomy += card.size;
      if (!card.cold && card.weight > 0.5) {
        open += card.open;
        size += card.size;
      }
    }
    const bool trouble = trouble_at_ > 0 && around_.now - trouble_at_ < kTroubleHeld;
    fleet.crowd_limit = trouble ? kInrush : 0;
    if (near_size > 0) fleet.mean = near_open / near_size;
    fleet.crowded = roomy < kLeastRoom * all_size;
    if (all_size > 0)
      fleet.spare =
          static_cast<int>(std::ceil(kSpareShare * all_open * std::max(roomy / all_size, kLeastRoom)));
    if (hosts > 0) fleet.score = scores / hosts;
    if (size > 0) fleet.bears = open / size;
    // Danger: when most hosts degrade at once the trouble is behind all of them, and moving work only churns
    // it; when the list is silent this node's view may be the only one that is wrong.
    const bool silent = lost_at_ > 0 && around_.now - lost_at_ > 3 * kSecond;
    fleet.frozen = degraded * 2 > hosts || silent;
    if (fleet.frozen != frozen_)
      around_.log(std::string("weights ") + (fleet.frozen ? "frozen" : "free") + ", degraded " +
                  std::to_string(degraded) + " of " + std::to_string(hosts) +
                  (silent ? ", list silent" : ""));
    frozen_ = fleet.frozen;
    for (const auto& [id, card] : cards_) around_.write(Part::host, Topic::fleet, id).fleet = fleet;
    around_.write(Part::ring, Topic::fleet).fleet = fleet;
    around_.write(Part::desk, Topic::fleet).fleet = fleet;
  }

  Surroundings& around_;
  std::map<std::string, Card> cards_;
  std::set<std::string> listed_;
  bool started_ = false, subscribed_ = false, frozen_ = false;
  int losses_ = 0;
  Tenths lost_at_ = 0, ask_at_ = 0, trouble_at_ = 0;
};

// The consistent hash ring: says in which order hosts are asked to take an attachment.
class Ring {
 public:
  std::deque<Note> inbox;
  explicit Ring(Surroundings& around) : around_(around) {}

  void read(const Note& note) {
    if (note.topic == Topic::fleet) frozen_ = note.fleet.frozen;
    if (note.topic == Topic::seek) answer(note);
    if (note.topic != Topic::card) return;
    const auto found = cards_.find(note.host);
    const double weight = found == cards_.end() || !frozen_ ? note.card.weight : found->second.weight;
    if (found == cards_.end() || found->second.size != note.card.size) stale_ = true;
    cards_[note.host] = note.card;
    cards_[note.host].weight = weight;  // frozen: the weight stays, all else is kept up
  }

 private:
  int points_of(const Card& card) const {
    return std::max(1, static_cast<int>(std::lround(kPoints * card.size)));
  }

  void lay() {
    stale_ = false;
    places_.clear();
    points_.clear();
    for (const auto& [id, card] : cards_) {
      for (int i = 0; i < points_of(card); ++i)
        points_.push_back({hash(hash(id) + static_cast<unsigned>(i)), places_.size(), i});
      places_.push_back({id, &card, 0, false});
    }
    std::sort(points_.begin(), points_.end());
  }

  // The client key. Where connections of a group share work the group stands in for it: every host that holds
  // any of a group pays for it, and client keys would spread each group over all hosts. Without either, the
  // id.
  static std::uint64_t key_of(const Event& event) {
    if (event.group) return hash(static_cast<std::uint64_t>(*event.group));
    if (event.key) return hash(static_cast<std::uint64_t>(*event.key));
    return hash(event.id);
  }

  void answer(const Note& seek) {
    if (stale_) lay();
    const std::string zone = text(around_.settings, "zone");
    double open = 0, size = 0;
    for (const auto& [id, card] : cards_)
      if (card.healthy && card.zone == zone && card.weight > 0.5) open += card.open, size += card.size;
    std::size_t unseen = 0;  // hosts that have any point now: the walk ends when all of them have been met
    for (Place& place : places_) {
      const double weight = seek.event.mid_flow ? 1 : place.card->weight;
      place.points = static_cast<int>(std::lround(weight * points_of(*place.card)));
      place.seen = place.points == 0;
      if (!place.seen) ++unseen;
    }
    std::vector<std::pair<int, std::string>> ranked;  // rank, then the order of the ring
    auto at = std::lower_bound(points_.begin(), points_.end(), Point{key_of(seek.event), 0, 0});
    for (; unseen > 0; ++at) {
      if (at == points_.end()) at = points_.begin();
      Place& place = places_[at->place];
      if (place.seen || at->number >= place.points) continue;
      place.seen = true;
      --unseen;
      const Card& card = *place.card;
      if (!seek.host.empty() && !drops_repeats(seek, card)) continue;
      // Danger: a host that drops connections is over its end; more are dropped too and come again at once.
      if ((card.shedding || card.late) && !seek.event.mid_flow) continue;
      ranked.emplace_back(rank(seek, place.id, card, size > 0 ? open / size : 0), place.id);
    }
    std::stable_sort(ranked.begin(), ranked.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    Note& route = around_.write(Part::desk, Topic::route);
    route.event = seek.event;
    for (auto& [rank, id] : ranked) route.hosts.push_back(std::move(id));
  }

  // Danger: a repeat outside the group that knows the mark takes effect a second time.
  bool drops_repeats(const Note& seek, const Card& card) const {
    const auto first = cards_.find(seek.host);
    if (seek.within == "all" || first == cards_.end()) return seek.within == "all";
    return seek.within == "zone" ? card.zone == first->second.zone : card.cell == first->second.cell;
  }

  // Lower is asked earlier; within one rank the ring decides.
  int rank(const Note& seek, const std::string& id, const Card& card, double mean) const {
    if (std::count(seek.hosts.begin(), seek.hosts.end(), id))
      return 9;  // it has failed this attachment already
    if (seek.event.mid_flow) return card.zone == text(around_.settings, "zone") ? 0 : 1;
    if (card.refusing) return 8;  // danger: a frozen weight sends work to a host that takes none
    const bool near = card.zone == text(around_.settings, "zone");
    const bool home = seek.homes.count(id) != 0;  // the group's work is paid for there already
    const double share = mean * card.size;
    const bool over =
        card.open + 1 >= share + kOverBy && card.open + 1 > share * (home ? kHomeOver : kWellOver);
    if (card.strained) return near ? 6 : 7;
    if (home && !over) return near ? 0 : 3;
    if (near) return over ? 2 : 1;
    return over ? 5 : 4;
  }

  Surroundings& around_;
  std::map<std::string, Card> cards_;
  std::vector<Place> places_;
  std::vector<Point> points_;
  bool stale_ = true, frozen_ = false;
};

// Holds the attachments: their tries, their expiry and their one final answer.
class Desk {
 public:
  std::deque<Note> inbox;
  explicit Desk(Surroundings& around) : around_(around) {
    for (int i = 0;; ++i) {
      const std::string name = "traffic." + std::to_string(i) + ".";
      if (!around_.settings.count(name + "name")) break;
      traffic_[text(around_.settings, name + "name")] = name;
    }
    const double nodes = std::max(1.0, number(around_.settings, "nodes", 1));
    for (int i = 0; around_.settings.count("tenant." + std::to_string(i) + ".name"); ++i) {
      const double open = number(around_.settings, "tenant_open." + std::to_string(i), 0);
      if (open > 0) shares_[text(around_.settings, "tenant." + std::to_string(i) + ".name")] = open / nodes;
    }
  }

  void read(const Note& note) {
    switch (note.topic) {
      case Topic::event: happened(note.event); break;
      case Topic::route: ask(note.event.id, note.hosts); break;
      case Topic::passed: ask(note.event.id, note.hosts); break;
      case Topic::fleet: fleet_ = note.fleet; break;
      case Topic::evict: evict(note.host, note.count); break;
      case Topic::taken: send(note.event.id, note.host); break;
      default: return;
    }
    forget(note.event.id);
  }

 private:
  void forget(const std::string& id) {
    const auto found = held_.find(id);
    if (found == held_.end() || !found->second.answered) return;
    for (const Try& made : found->second.tries)
      if (made.out) return;
    held_.erase(found);
  }

  static bool proves_never_ran(Outcome outcome) {
    return outcome == Outcome::turned_away || outcome == Outcome::no_connection ||
           outcome == Outcome::not_sent;
  }

  double of_type(const Attachment& held, const std::string& name, double otherwise) const {
    const auto found = traffic_.find(held.event.traffic_type);
    return found == traffic_.end() ? otherwise : number(around_.settings, found->second + name, otherwise);
  }

  void happened(const Event& event) {
    if (event.kind == EventKind::attachment || event.kind == EventKind::handed_over) return arrives(event);
    const auto found = held_.find(event.id);
    if (found == held_.end()) return;
    Attachment& held = found->second;
    switch (event.kind) {
      case EventKind::established: stands(held, event); break;
      case EventKind::try_ended: ended(held, event); break;
      case EventKind::client_left: held.answered = true; break;
      case EventKind::delay_told: tell_host(event, event.host); break;
      default: break;
    }
  }

  void tell_host(const Event& event, const std::string& host, bool standing = false) {
    Note& note = around_.write(Part::host, Topic::event, host);
    note.event = event;
    note.standing = standing;
  }

  void arrives(const Event& event) {
    Attachment held;
    held.event = event;
    const auto found = traffic_.find(event.traffic_type);
    held.effect = found == traffic_.end() ? "unrepeatable" : text(around_.settings, found->second + "effect");
    held.group = found == traffic_.end() ? "" : text(around_.settings, found->second + "repeat_group");
    if (event.kind == EventKind::handed_over) {
      held.standing = true;
      held.tries.push_back({event.host, around_.now, true, true});
      tell_host(event, event.host);
    }
    held_[event.id] = held;
    if (event.kind == EventKind::attachment) seek(held_[event.id]);
  }

  void stands(Attachment& held, const Event& event) {
    held.standing = true;
    times_.push_back(event.took);
    if (times_.size() > kTimes) times_.pop_front();
    Event told = event;
    told.expiry =
        static_cast<Tenths>(of_type(held, "latency_goal", 0) / 2);  // slower than this is a bad set-up
    tell_host(told, event.host);
  }

  void ended(Attachment& held, const Event& event) {
    if (event.number < 0 || event.number >= static_cast<int>(held.tries.size())) return;
    Try& last = held.tries[static_cast<std::size_t>(event.number)];
    if (!last.out) return;
    last.out = false;
    last.may_have_run = !proves_never_ran(event.outcome);
    tell_host(event, last.host, held.standing);
    if (event.final || held.standing) held.answered = true;
    if (!held.answered) seek(held);
  }

  // Whole groups move together, in an order that every node finds alike, so that a group is paid for at one
  // host and not at two; without groups each connection is one of its own.
  void evict(const std::string& host, int count) {
    std::erase_if(moved_, [this](Tenths when) { return around_.now - when >= kSecond; });
    std::map<std::uint64_t, std::vector<Attachment*>> groups;
    for (auto& [id, held] : held_)
      if (held.standing && !held.answered && held.tries.back().host == host)
        groups[held.event.group ? hash(static_cast<std::uint64_t>(*held.event.group)) : hash(id)].push_back(
            &held);
    for (const auto& [group, members] : groups) {
      // Danger: moved work chases itself from host to host when few have room.
      if (count <= 0 || static_cast<int>(moved_.size()) >= fleet_.spare) break;
      for (Attachment* held : members) {
        held->answered = true;  // the client comes again as a new attachment
        around_.act(ActionKind::move, held->event.id, host);
        moved_.push_back(around_.now);
        --count;
      }
    }
  }

  // The one place that decides whether an attachment may have another setup try.
  bool may_be_tried_again(const Attachment& held) const {
    if (held.answered || held.standing || around_.now >= held.event.expiry) return false;
    if (static_cast<double>(held.tries.size()) >= number(around_.settings, "max_tries", 1)) return false;
    for (const Try& earlier : held.tries) {
      if (earlier.out)
        return false;  // danger: two tries out, and a cancelled one is out until its result has come
      if (!earlier.may_have_run || held.effect == "idempotent") continue;
      if (held.effect != "deduplicated") return false;  // danger: an unrepeatable effect happens twice
      if (around_.now - earlier.sent >= of_type(held, "repeat_window", 0)) return false;
    }
    return true;
  }

  // The one place that decides whether an attachment may be rejected: a rejection says that a repeat is
  // harmless.
  bool may_be_rejected(const Attachment& held) const {
    if (held.effect == "idempotent") return true;
    for (const Try& earlier : held.tries)
      if ((earlier.out || earlier.may_have_run) && !(held.effect == "deduplicated" && held.group == "all"))
        return false;
    return true;
  }

  // Fairness: what lies beyond a tenant's share gives way first, and only while room is short.
  bool beyond_share(const Attachment& held) const {
    const auto share = shares_.find(held.event.tenant);
    if (share == shares_.end() || fleet_.crowd_limit == 0) return false;
    double open = 0;
    for (const auto& [id, other] : held_)
      if (!other.answered && other.standing && other.event.tenant == held.event.tenant) ++open;
    return open >= share->second;
  }

  void seek(Attachment& held) {
    if (!may_be_tried_again(held) || beyond_share(held)) return give_up(held);
    Note& note = around_.write(Part::ring, Topic::seek);
    note.event = held.event;
    if (held.event.group)
      for (const auto& [id, other] : held_)
        if (other.standing && !other.answered && other.event.group == held.event.group)
          note.homes.insert(other.tries.back().host);
    for (const Try& earlier : held.tries) {
      note.hosts.push_back(earlier.host);
      if (held.effect == "deduplicated" && earlier.may_have_run) note.host = earlier.host;
    }
    note.within = held.group;
  }

  // Asks the next host of a route; each host answers with a note of its own.
  void ask(const std::string& id, std::vector<std::string> hosts) {
    const auto found = held_.find(id);
    if (found == held_.end() || found->second.answered) return;
    if (hosts.empty()) return give_up(found->second);
    Note& note = around_.write(Part::host, Topic::offer, hosts.front());
    note.event = found->second.event;
    note.hosts.assign(hosts.begin() + 1, hosts.end());
  }

  void send(const std::string& id, const std::string& host) {
    Attachment& held = held_[id];
    held.tries.push_back({host, around_.now, true, true});
    around_.act(ActionKind::setup_try, id, host, 0, time_out(held));
  }

  // A try that hangs must leave time for another within the latency goal; the last one may use all that is
  // left.
  Tenths time_out(const Attachment& held) const {
    const Tenths left = held.event.expiry - around_.now;
    if (static_cast<double>(held.tries.size()) >= number(around_.settings, "max_tries", 1)) return left;
    if (held.effect == "unrepeatable" || held.event.mid_flow) return left;
    std::vector<Tenths> sorted(times_.begin(), times_.end());
    std::sort(sorted.begin(), sorted.end());
    const Tenths usual = sorted.empty() ? 0 : sorted[sorted.size() * 9 / 10];
    const auto goal = static_cast<Tenths>(of_type(held, "latency_goal", static_cast<double>(left)));
    return std::clamp<Tenths>(std::max(goal / 3, 3 * usual), 1, std::max<Tenths>(left, 1));
  }

  void give_up(Attachment& held) {
    if (held.answered) return;
    const std::string& id = held.event.id;
    held.answered = true;
    if (may_be_rejected(held)) {
      Tenths back = 0;
      if (number(around_.settings, "come_back_told", 0) != 0)  // danger: a rejected crowd comes back in step
        back = static_cast<Tenths>(number(around_.settings, "max_come_back", 0) *
                                   (0.2 + 0.8 * around_.chance.share()));
      around_.act(ActionKind::reject, id, "", 0, back);
    } else {
      around_.act(ActionKind::scrap, id, "");
    }
  }

  Surroundings& around_;
  std::map<std::string, std::string> traffic_;  // traffic type to the prefix of its settings
  std::map<std::string, double> shares_;  // a tenant to its open connections at this node, within its share
  std::map<std::string, Attachment> held_;
  std::deque<Tenths> times_;  // of the last set-ups that stood
  std::deque<Tenths> moved_;  // when connections were moved, over the last second
  Fleet fleet_;
};

}  // namespace

struct Choice::Parts {
  Surroundings around;
  Roster roster;
  Ring ring;
  Desk desk;
  std::map<std::string, Host> hosts;

  Parts(Settings settings, std::uint64_t seed, Tenths now)
      : around{std::move(settings), Chance(seed), now, {}, {}}, roster(around), ring(around), desk(around) {
    for (const char* rule : {"cold_from", "cold_time", "fall_time", "fall_multiple", "drain_grace"})
      needed(around.settings, rule);
    around.act(ActionKind::set_alarm, "", "", kPulseAlarm, kPulse);
  }

  void post(Part to, Topic topic, const Event& event, const std::string& host = "") {
    around.write(to, topic, host).event = event;
  }

  void deliver(const Event& event) {
    switch (event.kind) {
      case EventKind::list_copy:
      case EventKind::list_whole:
      case EventKind::list_changes:
      case EventKind::list_lost: post(Part::roster, Topic::event, event); break;
      case EventKind::probe_ended: post(Part::host, Topic::event, event, event.host); break;
      case EventKind::peer_word: break;
      case EventKind::alarm:
        if (event.number != kPulseAlarm) break;
        around.act(ActionKind::set_alarm, "", "", kPulseAlarm, kPulse);
        post(Part::roster, Topic::pulse, event);
        for (const auto& [id, host] : hosts) post(Part::host, Topic::pulse, event, id);
        break;
      default: post(Part::desk, Topic::event, event); break;
    }
    settle();
  }

  template <class Actor>
  bool empty(Actor& actor) {
    const bool any = !actor.inbox.empty();
    while (!actor.inbox.empty()) {
      const Note note = std::move(actor.inbox.front());
      actor.inbox.pop_front();
      actor.read(note);
    }
    return any;
  }

  void sort_post() {
    while (!around.post.empty()) {
      Note note = std::move(around.post.front());
      around.post.pop_front();
      if (note.to == Part::roster) roster.inbox.push_back(std::move(note));
      else if (note.to == Part::ring) ring.inbox.push_back(std::move(note));
      else if (note.to == Part::desk) desk.inbox.push_back(std::move(note));
      else {
        auto found = hosts.find(note.host);
        if (found == hosts.end() && note.topic == Topic::listed)
          found = hosts.try_emplace(note.host, around, note.host).first;
        if (found != hosts.end()) found->second.inbox.push_back(std::move(note));
      }
    }
  }

  // The one loop: empties the inboxes, always in the same order, until no note is left.
  void settle() {
    for (bool any = true; any;) {
      sort_post();
      any = empty(roster);
      for (auto& [id, host] : hosts) any = empty(host) || any;
      sort_post();
      any = empty(ring) || any;
      any = empty(desk) || any;
      any = any || !around.post.empty();
    }
  }
};

Choice::Choice(Settings settings, std::uint64_t seed, Tenths now)
    : parts_(std::make_unique<Parts>(std::move(settings), seed, now)) {}
Choice::~Choice() = default;
Choice::Choice(Choice&&) noexcept = default;
Choice& Choice::operator=(Choice&&) noexcept = default;

std::vector<Action> Choice::take(Tenths now, const std::vector<Event>& events) {
  parts_->around.now = std::max(now, parts_->around.now);
  for (const Event& event : events) parts_->deliver(event);
  return std::exchange(parts_->around.actions, {});
}

}  // namespace dapplewharf
