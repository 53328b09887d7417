// The interface of the decision module. One LoadBalancer is one node: it shares nothing with any other.
// Give it the settings and a seed once, then each batch of events with the clock; it answers with actions in
// order. Events, actions and settings are plain values defined in src/words.h.
#pragma once
#include <memory>

#include "policy/words.h"

namespace dapplewharf {

class LoadBalancer {
 public:
  // Throws std::runtime_error naming a setting that a rule needs and that is missing.
  LoadBalancer(SettingsMap settings, std::uint64_t seed, Tenths now);
  ~LoadBalancer();

  void update_settings(
      SettingsMap settings);  // others from now on; sound ones, as a LoadBalancer made of them has shown
  std::vector<Action> handle_events(Tenths now, const std::vector<Event>& events);

 private:
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace dapplewharf
