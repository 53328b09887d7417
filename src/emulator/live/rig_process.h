// A process of the rig plays either the endpoints and their list server or the clients and the front end that
// distributes them to nodes. Both use the same plan and model as the simulated driver, on loopback sockets
// and in real time. Each has an event loop and its records. See docs/emulator.md.
#pragma once
#include <string>

#include "base/event_loop.h"
#include "base/socket.h"
#include "emulator/live/record.h"
#include "emulator/model/plan.h"
#include "emulator/model/scenario_time.h"

namespace dapplewharf::emulator {

/// The addresses of a run, all in 127.net.0.0/16; concurrent runs differ in `net`.
struct LoopbackAddresses {
  int net = 64;
  bool accept_unknown_clients = false;  // endpoints also serve clients that are not in the plan

  std::string node(int node) const;
  /// The address under which a node reaches an endpoint.
  std::string host(int host, int node) const;
  std::string list(int node) const;
  /// Claims the network for this run.
  /// @param claim_socket keeps the claim while it is open.
  /// @return false if another run has it.
  bool claim(Socket& claim_socket) const;
};

/// The pipes between a process of the rig and its parent. The process writes 'r' once it is ready and
/// reads the start of the run as eight bytes of the steady clock; it ends by itself and leaves its records in
/// `file`.
struct ParentChannel {
  int ready = -1;    // descriptor to write to
  int start = -1;    // descriptor to read from
  std::string file;  // path of the records
};

/// Listens at an address; throws std::runtime_error where the port is taken.
void listen_or_throw(const std::string& address, Socket& socket);

class RigProcess {
 public:
  RigProcess(const Scenario& scenario, const Plan& plan, const LoopbackAddresses& addresses,
             ParentChannel parent);
  virtual ~RigProcess() = default;

  /// Runs the process.
  /// @param for_s seconds from the start of the run.
  /// @return the process's exit code.
  int run(double for_s);

  const Scenario& scenario() const { return scenario_; }
  const Plan& plan() const { return plan_; }
  const LoopbackAddresses& addresses() const { return addresses_; }
  EventLoop& loop() { return loop_; }
  Records& records() { return records_; }

  /// The time of the run at which this turn of the event loop began.
  TimePoint now() const { return loop_.now() - started_at_; }
  /// The present time of the run, for records. With the time of the turn, a record made late in a turn would
  /// be sorted before an earlier one of another process.
  TimePoint current_time() const { return loop_.from_steady(EventLoop::steady_now()) - started_at_; }
  /// Runs `due` at a time of the run; replaces what was scheduled for the deadline.
  void schedule(EventLoop::Deadline& deadline, TimePoint when, EventLoop::DueCallback due) {
    loop_.schedule(deadline, started_at_ + when, std::move(due));
  }
  /// Runs `due` at a time of the run.
  void schedule_once(TimePoint when, EventLoop::DueCallback due);
  /// Adds a record with the present time.
  void record(RecordKind kind, const std::string& id, long a = 0, long b = 0, long c = 0) {
    records_.add(current_time(), kind, id, a, b, c);
  }
  /// Records, once, that the process had no descriptor left.
  void report_descriptors_exhausted();

 protected:
  /// Called before the run; throws std::runtime_error where a port is taken.
  virtual void prepare() = 0;
  /// Whether the run may start.
  virtual bool prepared() { return true; }
  /// Called at the start and at the end of the run.
  virtual void begin() = 0;
  virtual void end() {}

  const Scenario& scenario_;
  const Plan& plan_;
  const LoopbackAddresses& addresses_;
  EventLoop loop_;
  Records records_;

 private:
  void watch_lateness();
  void play(double for_s);
  bool await_start();

  ParentChannel parent_;
  TimePoint started_at_ = kNever;
  EventLoop::Deadline lateness_check_;
  Duration worst_lateness_ = 0;
  bool descriptors_exhausted_ = false;
};

int run_endpoints(const Scenario& scenario, const Plan& plan, const LoopbackAddresses& addresses,
                  ParentChannel parent, double for_s);
/// Plays the endpoints and their list alone, for other programs; the list of node 0 listens at
/// 127.net.1.1:8500.
int run_endpoints_alone(const Scenario& scenario, const Plan& plan, int net, double for_s,
                        const std::string& file);
int run_clients(const Scenario& scenario, const Plan& plan, const LoopbackAddresses& addresses,
                ParentChannel parent, double for_s);

}  // namespace dapplewharf::emulator
