// The measurements of a simulated run: the service that clients get, and the latencies and stalled requests
// that nodes report to their policies. It accumulates the connection time of the run. See docs/emulator.md.
#pragma once
#include "emulator/sim/simulation_parts.h"
#include "emulator/sim/simulation_state.h"

namespace dapplewharf::emulator {

/// Handles the events of measurements.
class Measurements {
 public:
  explicit Measurements(SimulationParts& parts) : parts_(parts), state_(parts.state) {}

  void handle(const ServiceMeasured& event);
  void handle(const NodeReportsDue& event);

  /// Schedules the first measurements of a run.
  void start();

  /// The time of all established connections together, in seconds.
  double connection_seconds() const { return connection_s_; }

 private:
  struct Service {
    double wanted = 0;     // value of the service that clients in a session want
    double served = 0;     // value of the service that they get
    double connected = 0;  // number of clients
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
