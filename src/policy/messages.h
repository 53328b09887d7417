// The messages that the parts of the policy post to each other, and what all parts may use. No decisions.
#pragma once
#include <algorithm>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "policy/notes.h"
#include "policy/settings.h"
#include "policy/words.h"

namespace dapplewharf {

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
  int members = 0;  // of a seek: connections of its group that stand here
  DeduplicationScope within =
      DeduplicationScope::cell;  // of a seek: around `host`, where repeats are dropped
  int looks = 0;                 // of an offer: hosts that were looked at for it and passed
  double part = 0;               // of an eviction: the part of the host's groups that is to go
  bool standing = false;         // of a result: the connection had been established
  bool leaving = false;          // of an eviction: the host drains or is gone
  bool shortage = false;         // of a seek: some attachment found no host a moment ago
  double held = -1;              // of a listing: what its host holds, as the weight tells; below 0: untold
  bool fresh = false;            // of a listing: new to a list that was known
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
  Settings settings;
  RandomGenerator random;
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
