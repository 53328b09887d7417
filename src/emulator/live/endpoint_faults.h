// Applies the planned faults to the emulated endpoints: silence, slowness, restarts, drains and cut links.
// Changes endpoints in the shared state. See docs/emulator.md, and docs/scenario.md for the kinds.
#pragma once
#include "emulator/live/endpoint_rig.h"

namespace dapplewharf::emulator {

class EndpointFaults {
 public:
  explicit EndpointFaults(EndpointRigParts& parts) : parts_(parts), rig_(parts.rig) {}

  /// Schedules all faults of the plan, and the endpoints that join during the run.
  void schedule_plan();

  /// Takes an endpoint that was overloaded while cold down for the rest of the run.
  void fall_over(int endpoint);

 private:
  enum class Change { begins, ends };

  void apply(std::size_t fault, Change change);
  void apply_to_endpoint(std::size_t fault, std::size_t position, Change change);
  void take_endpoint_away(std::size_t fault, std::size_t position);
  void silence(int endpoint, Change change);
  void apply_to_deployment(const Fault& fault, Change change);
  void update_links();
  int zone_number(const std::string& name) const;
  void set_condition(int endpoint, EndpointCondition condition);
  void set_neighbour_load(std::size_t fault, bool active);
  void take_away(int endpoint, EndpointCondition how, double away_s, double noticed_after_s);
  void restart(int endpoint, int incarnation);
  void begin_drain(std::size_t fault, int endpoint);
  void drain_step(int endpoint, int incarnation);

  EndpointRigParts& parts_;
  EndpointRig& rig_;
};

}  // namespace dapplewharf::emulator
