// What a simulated run measures: the service that clients get, and the latencies and stalled requests that
// nodes report to their policies. Owns the connection time so far. See docs/emulator.md.
#pragma once
#include "emulator/sim/simulation_parts.h"
#include "emulator/sim/simulation_state.h"

namespace dapplewharf::emulator {

class Measurements {
 public:
  explicit Measurements(SimulationParts& parts) : parts_(parts), state_(parts.state) {}

  void handle(const ServiceMeasured& event);
  void handle(const NodeReportsDue& event);

  /// Schedules the first measurements of a run.
  void start();

  /// The sum of established connections over seconds.
  double connection_seconds() const { return connection_s_; }

 private:
  struct Service {
    double wanted = 0;     // value
    double served = 0;     // value
    double connected = 0;  // clients
  };

  void add_wanted(Service& service) const;
  void add_served(Index endpoint, Second& second, Service& service);
  void add_latencies(const HostModel& model, double round_trip_ms, int clients, Second& second);
  void record_open_connections(Second& second) const;
  void corrupt_one_message();
  void sample_health_checks();
  void report_latencies(Index node);
  void report_stalled_requests(Index endpoint);
  double latency_by_health_checks(Index endpoint) const;
  TimePoint link_cut_since(const SimulatedConnection& connection) const;

  SimulationParts& parts_;
  SimulationState& state_;
  double connection_s_ = 0;
};

}  // namespace dapplewharf::emulator
