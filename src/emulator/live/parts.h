// The rig's parts, each a process of its own: hosts with their list service, and clients with their front.
// Both are played from the same plan by the same model as the simulated driver, on loopback sockets and in
// real time.
#pragma once
#include <functional>
#include <string>

#include "base/event_loop.h"
#include "base/socket.h"
#include "emulator/live/record.h"
#include "emulator/model/plan.h"

namespace dapplewharf::emulator {

// Where everybody listens. `net` tells runs side by side apart: 127.net.0.0/16.
struct LoopbackAddresses {
  int net = 64;
  bool anybody = false;  // hosts take clients that the plan does not know
  std::string node(int node) const;
  std::string host(int host, int node) const;  // as that node is told
  std::string list(int node) const;
  bool take(Socket& held) const;  // false: another run has it
};

// What a part and its parent say to each other: the part writes 'r' once it is ready and reads the run's
// beginning as eight bytes of the shared clock; it ends by itself and leaves its records in `file`.
struct ParentChannel {
  int ready = -1, go = -1;
  std::string file;
};

class Part {  // what both parts share: the loop, the beginning, lateness
 public:
  Part(const Scenario& scenario, const Plan& plan, const LoopbackAddresses& addresses, ParentChannel parent);
  virtual ~Part() = default;
  int run(double for_s);  // the process's exit code

 protected:
  virtual void prepare() = 0;  // throws std::runtime_error where a port is taken
  virtual bool prepared() { return true; }
  virtual void begin() = 0;
  virtual void end() {}
  Tenths now() const { return loop_.now() - begun_; }  // of the run, as this turn has it
  // Of the run, this very moment. Danger: what a turn reads late on is newer than the turn, and would seem to
  // come before what another process saw first.
  Tenths stamp() const { return loop_.of_steady(EventLoop::steady_now()) - begun_; }
  // At a time of the run.
  void at(EventLoop::Deadline& deadline, Tenths when, EventLoop::Due due) {
    loop_.at(deadline, begun_ + when, std::move(due));
  }
  void once(Tenths when, EventLoop::Due due);
  void starves();  // says once that no descriptor was left
  static Tenths from_s(double s) { return static_cast<Tenths>(s * kSecond); }
  static Tenths from_ms(double ms) { return static_cast<Tenths>(ms * kMs); }

  const Scenario& scenario_;
  const Plan& plan_;
  const LoopbackAddresses& addresses_;
  EventLoop loop_;
  Records records_;

 private:
  void beat();
  ParentChannel parent_;
  Tenths begun_ = INT64_MAX / 2;
  EventLoop::Deadline beat_;
  Tenths late_ = 0;
  bool starved_ = false;
};

int run_hosts(const Scenario& scenario, const Plan& plan, const LoopbackAddresses& addresses,
              ParentChannel parent, double for_s);
// The hosts and their list by themselves, for whatever program asks them; 127.net.1.1:8500 is the list of
// node 0.
int run_hosts_alone(const Scenario& scenario, const Plan& plan, int net, double for_s,
                    const std::string& file);
int run_clients(const Scenario& scenario, const Plan& plan, const LoopbackAddresses& addresses,
                ParentChannel parent, double for_s);

}  // namespace dapplewharf::emulator
