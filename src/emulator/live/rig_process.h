// A process of the rig: endpoints with their list server, or clients with their front. Both are played from
// the same plan by the same model as the simulated driver, on loopback sockets and in real time. Owns the
// process's event loop and its records. See docs/emulator.md.
#pragma once
#include <string>

#include "base/event_loop.h"
#include "base/socket.h"
#include "emulator/live/record.h"
#include "emulator/model/plan.h"
#include "emulator/model/scenario_time.h"

namespace dapplewharf::emulator {

/// Where everybody listens. `net` tells runs side by side apart: 127.net.0.0/16.
struct LoopbackAddresses {
  int net = 64;
  bool anybody = false;  // endpoints take clients that the plan does not know

  std::string node(int node) const;
  /// The address of an endpoint, as that node is told.
  std::string host(int host, int node) const;
  std::string list(int node) const;
  /// Claims the network for this run.
  /// @param held keeps the claim while it is open.
  /// @return false if another run has it.
  bool take(Socket& held) const;
};

/// What a process of the rig and its parent say to each other. The process writes 'r' once it is ready and
/// reads the run's beginning as eight bytes of the shared clock; it ends by itself and leaves its records in
/// `file`.
struct ParentChannel {
  int ready = -1;
  int go = -1;
  std::string file;
};

/// Listens at an address; throws std::runtime_error where the port is taken.
void listen_or_throw(const std::string& address, Socket& socket);

class RigProcess {
 public:
  RigProcess(const Scenario& scenario, const Plan& plan, const LoopbackAddresses& addresses,
             ParentChannel parent);
  virtual ~RigProcess() = default;

  /// Plays the process's part of the run.
  /// @param for_s seconds from the run's beginning.
  /// @return the process's exit code.
  int run(double for_s);

  const Scenario& scenario() const { return scenario_; }
  const Plan& plan() const { return plan_; }
  const LoopbackAddresses& addresses() const { return addresses_; }
  EventLoop& loop() { return loop_; }
  Records& records() { return records_; }

  /// The time of the run at which this turn of the loop began.
  TimePoint now() const { return loop_.now() - begun_; }
  /// The time of the run at this very moment. Records carry it: with the turn's time, what is read late in a
  /// turn would seem to come before what another process saw first.
  TimePoint stamp() const { return loop_.from_steady(EventLoop::steady_now()) - begun_; }
  /// Runs `due` at a time of the run, in place of what the deadline stood for.
  void at(EventLoop::Deadline& deadline, TimePoint when, EventLoop::DueCallback due) {
    loop_.schedule(deadline, begun_ + when, std::move(due));
  }
  /// Runs `due` at a time of the run.
  void once(TimePoint when, EventLoop::DueCallback due);
  /// Records what has been seen at this moment.
  void record(Seen kind, const std::string& id, long a = 0, long b = 0, long c = 0) {
    records_.add(stamp(), kind, id, a, b, c);
  }
  /// Records, once, that the process had no descriptor left.
  void report_descriptors_exhausted();

 protected:
  virtual void prepare() = 0;  // throws std::runtime_error where a port is taken
  virtual bool prepared() { return true; }
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
  bool await_beginning();

  ParentChannel parent_;
  TimePoint begun_ = kNever;
  EventLoop::Deadline lateness_check_;
  Duration worst_lateness_ = 0;
  bool descriptors_exhausted_ = false;
};

int run_endpoints(const Scenario& scenario, const Plan& plan, const LoopbackAddresses& addresses,
                  ParentChannel parent, double for_s);
/// The endpoints and their list by themselves, for whatever program asks them; 127.net.1.1:8500 is the list
/// of node 0.
int run_endpoints_alone(const Scenario& scenario, const Plan& plan, int net, double for_s,
                        const std::string& file);
int run_clients(const Scenario& scenario, const Plan& plan, const LoopbackAddresses& addresses,
                ParentChannel parent, double for_s);

}  // namespace dapplewharf::emulator
