// The process of the emulated endpoints and their list server, on sockets. Owns the parts and hands each the
// run's beginning. See docs/emulator.md.
#include <unistd.h>

#include "emulator/live/endpoint_connections.h"
#include "emulator/live/endpoint_faults.h"
#include "emulator/live/endpoint_list_server.h"
#include "emulator/live/endpoint_listeners.h"
#include "emulator/live/endpoint_rig.h"

namespace dapplewharf::emulator {
namespace {

/// The endpoints run this much longer than the clients, which would otherwise record lost connections at the
/// end.
constexpr double kRunsAfterClientsS = 0.6;

class EndpointProcess : public RigProcess {
 public:
  using RigProcess::RigProcess;

 private:
  void prepare() override;
  void begin() override;
  void record_open_connections(TimePoint when);

  EndpointRig rig_{*this};
  EndpointRigParts parts_{.rig = rig_,
                          .listeners = listeners_,
                          .connections = connections_,
                          .faults = faults_,
                          .list_server = list_server_};
  EndpointListeners listeners_{parts_};
  EndpointConnections connections_{parts_};
  EndpointFaults faults_{parts_};
  EndpointListServer list_server_{parts_};
};

void EndpointProcess::prepare() {
  for (int index = 0; index < rig_.endpoint_count(); ++index) {
    if (rig_.endpoint(index).condition == EndpointCondition::up) {
      listeners_.open(index);
    }
  }
  list_server_.open();
}

void EndpointProcess::begin() {
  for (int index = 0; index < rig_.endpoint_count(); ++index) {
    EmulatedEndpoint& endpoint = rig_.endpoint(index);
    endpoint.model.start(now(), false);
    record(RecordKind::endpoint_state, "", index, endpoint.condition == EndpointCondition::up);
  }
  faults_.schedule_plan();
  record_open_connections(0);
}

void EndpointProcess::record_open_connections(TimePoint when) {
  for (int index = 0; index < rig_.endpoint_count(); ++index) {
    const EmulatedEndpoint& endpoint = rig_.endpoint(index);
    const bool down = endpoint.condition == EndpointCondition::down;
    record(RecordKind::open_connections, "", index,
           down ? 0 : static_cast<long>(endpoint.established.size()));
  }
  schedule_once(when + kSecond, [this, when] { record_open_connections(when + kSecond); });
}

}  // namespace

int run_endpoints(const Scenario& scenario, const Plan& plan, const LoopbackAddresses& addresses,
                  ParentChannel parent, double for_s) {
  return EndpointProcess(scenario, plan, addresses, std::move(parent)).run(for_s + kRunsAfterClientsS);
}

int run_endpoints_alone(const Scenario& scenario, const Plan& plan, int net, double for_s,
                        const std::string& file) {
  LoopbackAddresses addresses;
  addresses.net = net;
  addresses.accept_unknown_clients = true;
  int ready[2];
  int start[2];
  const TimePoint now = EventLoop::steady_now();
  if (pipe(ready) != 0 || pipe(start) != 0 || write(start[1], &now, sizeof now) != sizeof now) {
    return 1;
  }
  return run_endpoints(scenario, plan, addresses, {ready[1], start[0], file}, for_s);
}

}  // namespace dapplewharf::emulator
