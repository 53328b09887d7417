// The notes that the parts of the module post to each other, and what all parts may use. No decisions.
#pragma once
#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <set>
#include <stdexcept>
#include <tuple>
#include <utility>

#include "base/random.h"
#include "policy/words.h"

namespace dapplewharf {

inline double number(const SettingsMap& settings, const std::string& name, double otherwise) {
  const auto found = settings.find(name);
  const double* value = found == settings.end() ? nullptr : std::get_if<double>(&found->second);
  return value ? *value : otherwise;
}

inline double needed(const SettingsMap& settings, const std::string& name) {
  const auto found = settings.find(name);
  const double* value = found == settings.end() ? nullptr : std::get_if<double>(&found->second);
  if (!value) {
    throw std::runtime_error("setting missing: " + name);
  }
  return *value;
}

inline std::string text(const SettingsMap& settings, const std::string& name) {
  const auto found = settings.find(name);
  const std::string* value = found == settings.end() ? nullptr : std::get_if<std::string>(&found->second);
  return value ? *value : std::string();
}

// The largest (sign 1) or smallest (sign -1) of a figure that each one of a list of settings has.
inline double extreme(const SettingsMap& settings, const std::string& list, const std::string& name, int sign,
                      double otherwise) {
  const std::string first = list + "0" + name;
  if (!settings.count(first)) {
    return otherwise;
  }
  double found = number(settings, first, otherwise);
  for (int i = 1; settings.count(list + std::to_string(i) + name); ++i) {
    found = sign * std::max(sign * found, sign * number(settings, list + std::to_string(i) + name, found));
  }
  return found;
}

// The sum of a figure that each one of a list of settings has.
inline double total(const SettingsMap& settings, const std::string& list, const std::string& name) {
  double sum = 0;
  for (int i = 0; settings.count(list + std::to_string(i) + name); ++i) {
    sum += number(settings, list + std::to_string(i) + name, 0);
  }
  return sum;
}

// The prefix of the settings of the one that bears this name in a list of settings; empty if none does.
inline std::string entry(const SettingsMap& settings, const std::string& list, const std::string& name) {
  for (int i = 0;; ++i) {
    const std::string prefix = list + std::to_string(i) + ".";
    if (!settings.count(prefix + "name")) {
      return "";
    }
    if (text(settings, prefix + "name") == name) {
      return prefix;
    }
  }
}

inline std::string figure(double value) {
  std::string out = std::to_string(std::llround(value * 100) / 100.0);
  return out.substr(0, out.find('.') + 3);
}

// Adds a sample to the last few of its kind.
template <class Sample>
void keep_last(std::deque<Sample>& samples, Sample sample, std::size_t most) {
  samples.push_back(sample);
  if (samples.size() > most) {
    samples.pop_front();
  }
}

// What the settings say that is asked for with every event, looked up once. Throws naming a missing rule.
struct Rules {
  double nodes, me, cold_from, cold_time, fall_time, fall_multiple, drain_grace, ask_within, report_load,
      granted;
  double shortest_goal, longest_expiry, max_tries, price_crossing, price_probe, price_move;
  double further_least, further_share, further_span;  // tries beyond an attachment's first; span 0: no limit
  bool probes_allowed, drain_binds_alone, live_weights, on_request;
  std::string zone;
  explicit Rules(const SettingsMap& from)
      : nodes(std::max(1.0, number(from, "nodes", 1))),
        me(number(from, "me", 0)),
        cold_from(needed(from, "cold_from")),
        cold_time(needed(from, "cold_time")),
        fall_time(needed(from, "fall_time")),
        fall_multiple(needed(from, "fall_multiple")),
        drain_grace(needed(from, "drain_grace")),
        ask_within(number(from, "ask_within", 0)),
        report_load(number(from, "report.load", -1)),
        granted(total(from, "tenant.", ".open")),
        shortest_goal(extreme(from, "message_goal.", "", -1, 0)),
        longest_expiry(extreme(from, "traffic.", ".expiry", 1, static_cast<double>(INT64_MAX / 2))),
        max_tries(number(from, "max_tries", 1)),
        price_crossing(number(from, "price_crossing", 0)),
        price_probe(number(from, "price_probe", 0)),
        price_move(number(from, "price_move", 0)),
        further_least(number(from, "further_tries_least", 0)),
        further_share(number(from, "further_tries_share", 0)),
        further_span(number(from, "further_tries_span", 0)),
        probes_allowed(number(from, "probes_allowed", 0) != 0),
        drain_binds_alone(number(from, "drain_binds_alone", 0) != 0),
        live_weights(text(from, "weights") == "live"),
        on_request(text(from, "discovery") == "on_request"),
        zone(text(from, "zone")) {}
};

// What a host tells the others of itself.
struct EndpointStatus {
  std::string zone, kind;
  std::int64_t cell = 0;
  double size = 1;
  double score = 100;
  double weight = 1;      // score and ramp together
  int open = 0;           // connections, with set-ups still out
  double elsewhere = -1;  // those of all other nodes, as told; below 0: unknown
  double load = -1;       // over what it can do, as last reported; below 0: not of late
  bool healthy = false;   // listed and neither draining nor gone
  Tenths strained = 0;    // until when its messages count as slow,
  Tenths late = 0;        // as so slow that none is in time,
  Tenths shedding = 0;    // as dropping connections that stood,
  Tenths roomy = 0;       // as telling of room,
  Tenths cold = 0;        // and as cold
  Tenths due = 0;         // when it wants to be woken
  bool operator==(const EndpointStatus&) const = default;
};

// What the roster tells everyone of the fleet.
struct FleetStatistics {
  bool frozen = false;
  double score = 100;       // mean of the others, where a new host starts
  double crowd_limit = 0;   // new connections a second that a host takes, of the mean; 0: no limit
  double mean = 0;          // open connections for a size of 1, in this node's own zone
  double each = 1e9;        // open connections for one host, at least two of all nodes
  bool alone = false;       // hosts hold next to nothing of this node, and of others nothing is told
  double held = -1;         // the same of all nodes, as far as told; below 0: unknown
  double load = -1;         // of hosts over what they can do, as reported of late; below 0: unknown
  Tenths watch = 0;         // least time between steady probes of a host, for their price
  int spare = 0;            // moved connections that hosts with room may take in a second
  double sought = 0;        // how often a host was sought lately, for a size of 1
  double sought_alike = 0;  // of a seek: how often for its group
  // Open connections that a warm host of size 1 bears here, by kind; "" over all kinds.
  std::shared_ptr<const std::map<std::string, double>> bears;
  bool some_cold = false;
  double granted = 0;  // open connections for a size of 1 that the tenants' shares allow, of all nodes
};

enum class Part { roster, ring, desk, host };
enum class Topic { event, listed, unlisted, pulse, card, fleet, seek, route, offer, taken, passed, evict };

struct Note {
  Part to = Part::desk;
  Topic topic = Topic::event;
  std::string host;  // which host it goes to, or is about
  Event event;       // the event that it hands on, if any; its id names the attachment
  EndpointEntry listing;
  EndpointStatus card;
  FleetStatistics fleet;
  std::vector<std::string> hosts;                         // of a seek: those tried already
  std::shared_ptr<const std::vector<std::string>> order;  // of a route: the hosts, as they are to be asked,
  std::size_t asked = 0;                                  // and how many of them were
  std::set<std::string> homes;                            // of a seek: the hosts that hold some of its group
  int members = 0;        // of a seek: connections of its group that stand here
  std::string within;     // of a seek: "zone" or "cell" of `host`, where repeats are dropped
  int looks = 0;          // of an offer: hosts that were looked at for it and passed
  double part = 0;        // of an eviction: the part of the host's groups that is to go
  bool standing = false;  // of a result: the connection had been established
  bool leaving = false;   // of an eviction: the host drains or is gone
  bool shortage = false;  // of a seek: some attachment found no host a moment ago
  double held = -1;       // of a listing: what its host holds, as the weight tells; below 0: untold
  bool fresh = false;     // of a listing: new to a list that was known
};

// What the desk keeps of an attachment, and the ring of its points.
struct Attempt {
  std::string host;
  Tenths sent = 0;
  bool out = true;  // its result has not come
  bool may_have_run = true;
};
struct Request {
  Event event;
  std::string effect, group;
  std::vector<Attempt> tries;
  bool standing = false;  // the connection is open
  bool answered = false;  // ended; kept until its last try's result has come
  bool pending = false;   // handed over, and not up again yet
};

// The points of the hosts in the order of the ring.
class HashRing {
 public:
  // Only hosts that are new or of another size are laid anew; a growing fleet would be sorted over and over.
  template <class Points>
  void lay(const std::map<std::string, EndpointStatus>& cards, Points points_of) {
    std::set<std::string> laid;
    std::vector<std::uint32_t> free;
    for (std::uint32_t i = 0; i < places_.size(); ++i) {
      Place& place = places_[i];
      const auto found = cards.find(place.id);
      place.card =
          found != cards.end() && points_of(found->second) == place.points ? &found->second : nullptr;
      if (place.card) {
        laid.insert(place.id);
      } else {
        free.push_back(i);
      }
    }
    std::erase_if(points_, [this](const Point& point) { return !places_[point.place].card; });
    const auto kept = static_cast<std::ptrdiff_t>(points_.size());
    for (const auto& [id, card] : cards) {
      if (laid.count(id)) {
        continue;
      }
      if (free.empty()) {
        free.push_back(static_cast<std::uint32_t>(places_.size())), places_.emplace_back();
      }
      const std::uint32_t at = free.back();
      free.pop_back();
      places_[at] = {id, &card, points_of(card)};
      const std::uint64_t start = hash(id);
      for (int i = 0; i < places_[at].points; ++i) {
        points_.push_back({hash(start + static_cast<unsigned>(i)), at, i});
      }
    }
    std::sort(points_.begin() + kept, points_.end());
    std::inplace_merge(points_.begin(), points_.begin() + kept, points_.end());
  }

  // Visits each host once, at the first of as many of its points as it has `taken`, while `visit` wants more.
  template <class Taken, class Visit>
  void walk(std::uint64_t key, Taken taken, Visit visit) const {
    left_.assign(places_.size(), kUnseen);
    std::size_t unseen = places_.size();
    auto at = std::lower_bound(points_.begin(), points_.end(), Point{key, 0, 0});
    for (std::size_t i = 0; i < points_.size() && unseen > 0; ++i, ++at) {
      if (at == points_.end()) {
        at = points_.begin();
      }
      int& left = left_[at->place];
      const Place& place = places_[at->place];
      if (left == kUnseen && (left = taken(*place.card)) <= 0) {
        --unseen;
      }
      if (at->number >= left) {
        continue;
      }
      left = 0, --unseen;
      if (!visit(place.id, *place.card)) {
        return;
      }
    }
  }

 private:
  static constexpr int kUnseen = -1;
  struct Place {
    std::string id;
    const EndpointStatus* card = nullptr;  // of the map that was laid; null: free
    int points = 0;
  };
  struct Point {
    std::uint64_t at;
    std::uint32_t place;
    std::int32_t number;
    bool operator<(const Point& other) const { return std::tie(at, place) < std::tie(other.at, other.place); }
  };
  std::vector<Place> places_;
  std::vector<Point> points_;
  mutable std::vector<int> left_;  // of a walk: the points of each host that still count
};

// Notes in the order they came; whose they are says Post.
using Inbox = std::vector<const Note*>;

// Owns the notes of one event and what follows from it, and hands out the same sheets again for the next: a
// note stays where it is until then, and costs no memory once a node has run a while.
class Post {
 public:
  Note& fresh() {
    if (used_ == sheets_.size()) {
      sheets_.push_back(std::make_unique<Note>());
    } else {
      *sheets_[used_] = blank_;
    }
    return *sheets_[used_++];
  }
  Note* next() { return sorted_ < used_ ? sheets_[sorted_++].get() : nullptr; }
  void all_read() { used_ = sorted_ = 0; }

 private:
  const Note blank_{};
  std::vector<std::unique_ptr<Note>> sheets_;
  std::size_t used_ = 0, sorted_ = 0;
};

struct PolicyContext {  // what every part may use: the clock, settings, chance, the post and the way out
  SettingsMap settings;
  Rules rules;
  RandomGenerator chance;
  Tenths now;
  std::vector<Action> actions;
  Post post;
  void act(ActionKind kind, const std::string& id, const std::string& host, int number = 0, Tenths time = 0) {
    actions.push_back({kind, id, host, "", number, time});
  }
  Note& write(Part to, Topic topic,
              const std::string& host = "") {  // posts a note; the caller fills in the rest
    Note& note = post.fresh();
    note.to = to;
    note.topic = topic;
    note.host = host;
    return note;
  }
  Note& pass_on(const Note& from, Part to, Topic topic) {  // all else stays as it is
    Note& note = post.fresh();
    note = from;
    note.to = to;
    note.topic = topic;
    return note;
  }
  void log(std::string line) { actions.push_back({ActionKind::log, "", "", std::move(line), 0, 0}); }
};

}  // namespace dapplewharf
