#include "emulator/sim/policy.h"

#include <algorithm>
#include <map>

#include "base/random.h"
#include "emulator/model/scenario.h"
#include "policy/notes.h"

namespace dapplewharf::emulator {
namespace {

constexpr Tenths kAskAgain = kSecond;
constexpr Tenths kLook = 250 * kMs;  // the one that knows the truth looks so often
constexpr double kFullAt = 0.95;     // and eases hosts whose load is over this,
constexpr double kEased = 0.1;       // by so much of what they hold
constexpr double kHome = 0.25;       // a host that holds some of the group is as good as one so much emptier
constexpr int kPoints = 60;          // of a host of size 1, on the plain ring

const std::pair<const char*, NodeDefect> kFaulty[] = {
    {"faulty-drops-answer", NodeDefect::drops_answer}, {"faulty-answers-twice", NodeDefect::answers_twice},
    {"faulty-effect-twice", NodeDefect::two_tries},    {"faulty-drain", NodeDefect::ignores_drain},
    {"faulty-cold", NodeDefect::heaps_on_cold},        {"faulty-bytes", NodeDefect::changes_bytes},
    {"faulty-cut-off", NodeDefect::cuts_off}};
const char* const kPlain[] = {"random", "fewest", "ring", "truth"};

class Module : public Policy {
 public:
  Module(const SettingsMap& settings, std::uint64_t seed, Tenths now) : load_balancer_(settings, seed, now) {}
  std::vector<Action> handle_events(Tenths now, const std::vector<Event>& events) override {
    return load_balancer_.handle_events(now, events);
  }

 private:
  LoadBalancer load_balancer_;
};

// The baselines: no probes, no scores, no moves but off hosts that leave; only the order of hosts differs.
// The one that knows the truth also eases hosts that are full.
class Baseline : public Policy {
 public:
  Baseline(std::string name, const SettingsMap& settings, std::uint64_t seed, Truth truth)
      : name_(std::move(name)),
        defect_(node_defect_of(name_)),
        settings_(settings),
        chance_(seed),
        truth_(std::move(truth)) {}

  std::vector<Action> handle_events(Tenths now, const std::vector<Event>& events) override {
    now_ = now;
    for (const Event& event : events) {
      happened(event);
    }
    return std::exchange(actions_, {});
  }

 private:
  struct Known {
    EndpointEntry listing;
    int open = 0;
  };
  struct Held {
    Event event;
    std::vector<std::string> tried;
    bool standing = false;
  };

  void act(ActionKind kind, const std::string& id, const std::string& host = "", Tenths time = 0) {
    actions_.push_back({kind, id, host, "", 0, time});
  }

  void happened(const Event& event) {
    switch (event.kind) {
      case EventKind::list_copy:
        listed(event), act(ActionKind::subscribe, "");
        if (name_ == "truth") {
          look_again();
        }
        break;
      case EventKind::list_whole:
        hosts_gone(event), listed(event);
        break;
      case EventKind::list_changes:
        listed(event);
        break;
      case EventKind::list_lost:
        act(ActionKind::set_alarm, "", "", kAskAgain);
        break;
      case EventKind::alarm:
        event.number == kLooks ? ease() : act(ActionKind::subscribe, "");
        break;
      case EventKind::stopping:
        move_all("");
        break;
      case EventKind::attachment:
        held_[event.id].event = event, ask(event.id);
        break;
      case EventKind::established:
        held_[event.id].standing = true;
        break;
      case EventKind::try_ended:
        ended(event);
        break;
      case EventKind::client_left:
        held_.erase(event.id);
        break;
      default:
        break;
    }
  }

  void listed(const Event& event) {
    for (const EndpointEntry& one : event.listings) {
      hosts_[one.host].listing = one;
      if (one.state != EndpointState::healthy) {
        move_all(one.host);
      }
    }
  }
  void hosts_gone(const Event& event) {
    for (auto& [id, known] : hosts_) {
      if (std::none_of(event.listings.begin(), event.listings.end(),
                       [&id = id](const EndpointEntry& one) { return one.host == id; })) {
        known.listing.state = EndpointState::removed;
      }
    }
  }
  // What stands on hosts that are dead or too full goes elsewhere, a part at a time.
  void ease() {
    look_again();
    for (const auto& [host, known] : hosts_) {
      const double load = truth_(host);
      if (load <= kFullAt) {
        continue;
      }
      int left = load > 1e6 ? INT32_MAX : static_cast<int>(kEased * known.open);
      for (const auto& [id, held] : held_) {
        if (held.standing && held.tried.back() == host && left-- > 0) {
          act(ActionKind::move, id, host);
        }
      }
    }
  }
  void look_again() {
    act(ActionKind::set_alarm, "", "", kLook);
    actions_.back().number = kLooks;
  }
  bool home(const Held& asks, const std::string& host) const {
    if (!asks.event.group) {
      return false;
    }
    return std::any_of(held_.begin(), held_.end(), [&](const auto& one) {
      return one.second.standing && one.second.event.group == asks.event.group &&
             one.second.tried.back() == host;
    });
  }
  void move_all(const std::string& host) {
    for (const auto& [id, held] : held_) {
      if (held.standing && (host.empty() || held.tried.back() == host)) {
        act(ActionKind::move, id, held.tried.back());
      }
    }
  }

  void ended(const Event& event) {
    const auto found = held_.find(event.id);
    if (found == held_.end()) {
      return;
    }
    Known& known = hosts_[event.host];
    known.open = std::max(0, known.open - 1);
    if (event.final || found->second.standing) {
      return void(held_.erase(found));
    }
    const bool ran = event.outcome != Outcome::rejected && event.outcome != Outcome::connect_failed &&
                     event.outcome != Outcome::not_sent;
    const std::string at = entry(settings_, "traffic.", found->second.event.traffic_type);
    if (ran && text(settings_, at + "effect") != "idempotent") {
      act(ActionKind::scrap, event.id);
      return void(held_.erase(found));
    }
    ask(event.id);
  }

  void ask(const std::string& id) {
    Held& held = held_[id];
    const bool over = now_ >= held.event.expiry ||
                      static_cast<double>(held.tried.size()) >= number(settings_, "max_tries", 1);
    const std::string host = over ? "" : pick(held);
    if (host.empty()) {
      act(ActionKind::reject, id, "",
          static_cast<Tenths>(number(settings_, "max_come_back", 0) * chance_.share()));
      return void(held_.erase(id));
    }
    held.tried.push_back(host);
    ++hosts_[host].open;
    const std::string at = entry(settings_, "traffic.", held.event.traffic_type);
    const auto goal = static_cast<Tenths>(number(settings_, at + "latency_goal", 0) / 2);
    act(ActionKind::setup_try, id, host,
        std::clamp<Tenths>(goal, 1, std::max<Tenths>(1, held.event.expiry - now_)));
  }

  // Lower comes first.
  double rank(const Held& held, const std::string& id, const Known& known) {
    if (defect_ == NodeDefect::heaps_on_cold) {
      return -static_cast<double>(known.listing.started);
    }
    const double again = std::count(held.tried.begin(), held.tried.end(), id) ? 1e9 : 0;
    const double far = known.listing.zone == text(settings_, "zone") ? 0 : 1;
    if (name_ == "truth") {
      return again + truth_(id) + 0.3 * far - (home(held, id) ? kHome : 0) + known.open * 1e-6;
    }
    if (name_ == "fewest") {
      return again + 1e6 * far + known.open / std::max(known.listing.size, 1e-6);
    }
    if (name_ == "ring") {
      const Event& event = held.event;
      const std::uint64_t key = event.group ? hash(static_cast<std::uint64_t>(*event.group)) : hash(event.id);
      std::uint64_t nearest = UINT64_MAX;
      for (int i = 0; i < std::max(1, static_cast<int>(kPoints * known.listing.size)); ++i) {
        nearest = std::min(nearest, hash(hash(id) + static_cast<unsigned>(i)) - key);
      }
      return again + static_cast<double>(nearest) / 1.9e19;
    }
    return again + 1e6 * far + chance_.share();
  }

  std::string pick(const Held& held) {
    std::string best;
    double least = 0;
    for (const auto& [id, known] : hosts_) {
      if (known.listing.state != EndpointState::healthy && defect_ != NodeDefect::ignores_drain) {
        continue;
      }
      // A draining host is what this defect likes best.
      double here = rank(held, id, known);
      if (defect_ == NodeDefect::ignores_drain && known.listing.state != EndpointState::healthy &&
          here < 1e8) {
        here -= 1e7;
      }
      if (best.empty() || here < least) {
        best = id, least = here;
      }
    }
    return best;
  }

  static constexpr int kLooks = 1;  // number of the alarm
  std::string name_;
  NodeDefect defect_;
  const SettingsMap settings_;
  RandomGenerator chance_;
  Truth truth_;
  Tenths now_ = 0;
  std::map<std::string, Known> hosts_;
  std::map<std::string, Held> held_;
  std::vector<Action> actions_;
};

}  // namespace

std::vector<std::string> policy_names() {
  std::vector<std::string> out{"dapplewharf"};
  out.insert(out.end(), std::begin(kPlain), std::end(kPlain));
  for (const auto& [name, defect] : kFaulty) {
    out.push_back(name);
  }
  return out;
}

void check_policy(const std::string& name) {
  std::string names;
  for (const std::string& known : policy_names()) {
    if (name == known) {
      return;
    }
    names += (names.empty() ? "" : ", ") + known;
  }
  throw BadInput("--policy:0:0: unknown policy '" + name + "'; expected one of: " + names);
}

NodeDefect node_defect_of(const std::string& name) {
  for (const auto& [known, defect] : kFaulty) {
    if (name == known) {
      return defect;
    }
  }
  return NodeDefect::none;
}

std::unique_ptr<Policy> policy_of(const std::string& name, const SettingsMap& settings, std::uint64_t seed,
                                  Tenths now, Truth truth) {
  const NodeDefect defect = node_defect_of(name);
  const bool own =
      name == "dapplewharf" || (defect != NodeDefect::none && defect != NodeDefect::ignores_drain &&
                                defect != NodeDefect::heaps_on_cold);
  if (own) {
    return std::make_unique<Module>(settings, seed, now);
  }
  return std::make_unique<Baseline>(name, settings, seed, std::move(truth));
}

}  // namespace dapplewharf::emulator
