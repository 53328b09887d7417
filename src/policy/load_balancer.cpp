// The message loop of the load-balancing policy (policy/load_balancer.h): EndpointSet, EndpointSelector,
// RequestTable and one Host for each endpoint read messages from their own mailbox and speak to each other
// only by posting messages; Parts::settle empties the mailboxes, always in the same order.
#include "policy/load_balancer.h"

#include <algorithm>
#include <utility>

#include "policy/endpoint.h"
#include "policy/endpoint_selector.h"
#include "policy/endpoint_set.h"
#include "policy/flat_words.h"
#include "policy/messages.h"
#include "policy/request_table.h"

namespace dapplewharf {

struct LoadBalancer::Parts {
  PolicyContext around;
  EndpointSet roster;
  EndpointSelector ring;
  RequestTable desk;
  std::map<std::string, Host> hosts;
  std::vector<std::pair<const std::string, Host>*> stirred;  // hosts with notes in their inbox

  Parts(Settings settings, std::uint64_t seed, Tenths now)
      : around{std::move(settings), RandomGenerator(seed), now, {}, {}},
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

LoadBalancer::LoadBalancer(Settings settings, std::uint64_t seed, TimePoint now)
    : parts_(std::make_unique<Parts>(std::move(settings), seed, now)) {}
LoadBalancer::LoadBalancer(const SettingsMap& settings, std::uint64_t seed, TimePoint now)
    : LoadBalancer(settings_from_map(settings), seed, now) {}
LoadBalancer::~LoadBalancer() = default;

void LoadBalancer::update_settings(Settings settings) {
  parts_->around.settings = std::move(settings);
}
void LoadBalancer::update_settings(const SettingsMap& settings) {
  update_settings(settings_from_map(settings));
}

std::vector<Action> LoadBalancer::handle_events(TimePoint now, const std::vector<Event>& events) {
  parts_->around.now = std::max(now, parts_->around.now);
  for (const Event& event : events) {
    parts_->deliver(event);
  }
  return std::exchange(parts_->around.actions, {});
}

std::vector<PolicyAction> LoadBalancer::handle_events(TimePoint now, const std::vector<PolicyEvent>& events) {
  std::vector<Event> flat;
  for (const PolicyEvent& event : events) {
    flat.push_back(to_flat(event));
  }
  std::vector<PolicyAction> actions;
  for (const Action& action : handle_events(now, flat)) {
    actions.push_back(from_flat(action));
  }
  return actions;
}

}  // namespace dapplewharf
