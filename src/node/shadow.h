// The watching mode: a second decision module with the settings of another deployment shape, told of all that
// happens, whose actions are compared with the real ones and never carried out. Owns that module, what it
// would do with each attachment, and the counts by kind. Pure: no I/O, the caller's clock. Must never change
// what the node does, and where the two differ it brings its module back to what really happened.
// What it cannot see: an attachment's further tries after a difference, and what such a try tells of its
// host.
#pragma once
#include <string>
#include <unordered_map>

#include "policy/load_balancer.h"

namespace dapplewharf {

// How the other settings would have decided; one count for each attachment and kind, probes one each.
struct ShadowCounts {
  std::uint64_t same = 0;         // the same host, or a rejection or a scrapping by both
  std::uint64_t other_host = 0;   // a setup try, at another host
  std::uint64_t would_turn = 0;   // a rejection or a scrapping, where there was a setup try
  std::uint64_t would_try = 0;    // a setup try, where there was a rejection or a scrapping
  std::uint64_t would_wait = 0;   // nothing yet (for a probe), where there was a decision
  std::uint64_t would_move = 0;   // a move, where the connection stayed
  std::uint64_t would_leave = 0;  // no move, where the connection was moved
  std::uint64_t probes = 0;       // probes that it would have sent,
  std::uint64_t real_probes = 0;  // and that were sent
  std::string told() const;       // one line
};

class Shadow {
 public:
  // Throws std::runtime_error naming a setting that a rule needs and that is missing. Times are tenths of a
  // ms.
  Shadow(SettingsMap settings, std::uint64_t seed, Tenths now);

  void update_settings(SettingsMap settings);  // others from now on
  // A batch of events that the real module has been given, and its answer. Never throws: a module that does
  // is let go, and why() says what it threw.
  void follow(Tenths now, const std::vector<Event>& events, const std::vector<Action>& real);
  bool off() const { return !load_balancer_; }
  const std::string& why() const { return why_; }
  const ShadowCounts& counts() const { return counts_; }
  std::size_t followed() const { return followed_.size(); }

 private:
  // A decision on an attachment: at a host, or empty where it was turned away.
  struct Followed {
    Event opening;
    bool known = true;                 // the module holds it, as it really is
    bool out = false;                  // a real try is out, or it stands
    bool answered = false;             // for real
    bool moves = false;                // the module would have moved it
    int tries = 0;                     // real ones
    std::optional<std::string> would;  // decided by the module and not yet by the real one
  };
  void feed(Tenths now, const std::vector<Event>& events);
  void took(Tenths now, const std::vector<Action>& actions);
  std::optional<Event> heard(const Event& event);
  void decided(const Action& real, std::vector<Event>& back);

  std::unique_ptr<LoadBalancer> load_balancer_;
  std::string why_;
  ShadowCounts counts_;
  std::unordered_map<std::string, Followed> followed_;  // as long as the node holds them
  Tenths alarm_ = 0;                                    // when the module wants to be woken; 0: not
};

}  // namespace dapplewharf
