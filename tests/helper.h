// One tiny fake fleet of hosts for the stories: it feeds a Choice and remembers what it asked for.
#pragma once
#include <algorithm>
#include <set>

#include "choice.h"

namespace dapplewharf {

struct Fake {
  Settings settings{{"nodes", 1.0},           {"zone", "near"},           {"cold_from", 0.3},
                    {"cold_time", 80000.0},   {"fall_time", 20000.0},     {"fall_multiple", 2.5},
                    {"drain_grace", 10000.0}, {"max_tries", 4.0},         {"probes_allowed", 1.0},
                    {"come_back_told", 1.0},  {"max_come_back", 15000.0}, {"message_goal.0", 500.0},
                    {"discovery", "pushed"}};
  std::unique_ptr<Choice> node;
  Tenths now = 1000000;
  std::vector<Action> last;  // the answer to the latest event
  std::map<std::string, std::vector<std::string>> tries;
  std::map<std::string, int> probes;
  std::vector<std::string> moved;
  std::set<std::string> silent, failing;  // hosts that answer no probe, or answer with an error

  Fake() {
    traffic(0, "plain", "idempotent", "all");
    traffic(1, "marked", "deduplicated", "zone");
    traffic(2, "once", "unrepeatable", "all");
  }

  void traffic(int i, const std::string& name, const std::string& effect, const std::string& group) {
    const std::string at = "traffic." + std::to_string(i) + ".";
    settings[at + "name"] = name;
    settings[at + "effect"] = effect;
    settings[at + "repeat_group"] = group;
    settings[at + "repeat_window"] = 5000.0;
    settings[at + "latency_goal"] = 8000.0;
  }

  static Listing listing(const std::string& host, const std::string& zone = "near", Tenths started = 0) {
    return {host, zone, zone == "near" ? 1 : 2, HostState::healthy, 1.0, started};
  }

  void start(int hosts, std::uint64_t seed = 7) {
    node = std::make_unique<Choice>(settings, seed, now);
    Event list;
    list.kind = EventKind::list_copy;
    for (int i = 0; i < hosts; ++i) list.listings.push_back(listing("h" + std::to_string(i)));
    tell(list);
  }

  const std::vector<Action>& tell(const Event& event) {
    last = node->take(now, {event});
    for (const Action& action : last) {
      if (action.kind == ActionKind::setup_try) tries[action.id].push_back(action.host);
      if (action.kind == ActionKind::probe) ++probes[action.host];
      if (action.kind == ActionKind::move) moved.push_back(action.id);
    }
    return last;
  }

  void list(Listing entry, HostState state) {
    Event event;
    event.kind = EventKind::list_changes;
    entry.state = state;
    event.listings.push_back(entry);
    tell(event);
  }

  Event wish_of(const std::string& tenant) const {
    Event event;
    event.kind = EventKind::attachment;
    event.tenant = tenant;
    event.traffic_type = "plain";
    event.expiry = now + 30000;
    return event;
  }

  std::string arrive(const std::string& id, std::int64_t key = 1, const std::string& type = "plain",
                     bool mid_flow = false, std::optional<std::int64_t> group = {}) {
    Event event = wish_of("");
    event.id = id;
    event.key = key;
    event.traffic_type = type;
    event.mid_flow = mid_flow;
    event.group = group;
    tell(event);
    return tries[id].empty() ? "" : tries[id].back();
  }

  void stand(const std::string& id, Tenths took = 100) {
    Event event;
    event.kind = EventKind::established;
    event.id = id;
    event.host = tries[id].back();
    event.number = static_cast<int>(tries[id].size()) - 1;
    event.took = took;
    tell(event);
  }

  const std::vector<Action>& end(const std::string& id, Outcome outcome, bool final = false) {
    Event event;
    event.kind = EventKind::try_ended;
    event.id = id;
    event.host = tries[id].back();
    event.number = static_cast<int>(tries[id].size()) - 1;
    event.outcome = outcome;
    event.final = final;
    return tell(event);
  }

  const std::vector<Action>& delay(const std::string& id, Tenths delay) {
    Event event;
    event.kind = EventKind::delay_told;
    event.id = id;
    event.host = tries[id].back();
    event.figure = static_cast<double>(delay);
    return tell(event);
  }

  // Lets time pass: alarms come due, and every probe is answered at once unless its host is silent.
  void pass(Tenths span) {
    for (const Tenths until = now + span; now < until;) {
      now += 1000;
      Event alarm;
      alarm.number = 1;
      for (const Action& action : std::vector<Action>(tell(alarm))) {
        if (action.kind != ActionKind::probe) continue;
        Event answer;
        answer.kind = EventKind::probe_ended;
        answer.host = action.host;
        answer.outcome = silent.count(action.host)    ? Outcome::no_answer
                         : failing.count(action.host) ? Outcome::error
                                                      : Outcome::honoured;
        tell(answer);
      }
    }
  }

  Tenths told(const std::string& id) const {  // when a rejected client was told to come back
    for (const Action& action : last)
      if (action.kind == ActionKind::reject && action.id == id) return action.time;
    return -1;
  }

  bool said(ActionKind kind, const std::string& id = "") const {
    return std::any_of(last.begin(), last.end(), [&](const Action& action) {
      return action.kind == kind && (id.empty() || action.id == id);
    });
  }
};

}  // namespace dapplewharf
