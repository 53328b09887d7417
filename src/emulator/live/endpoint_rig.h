// The state that the parts of the endpoints' process share: the emulated endpoints, the connections to them
// and the cut links. Owns the sockets; makes no decisions. See docs/emulator.md.
#pragma once
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/slot_map.h"
#include "base/socket.h"
#include "emulator/live/rig_process.h"
#include "emulator/model/host.h"
#include "emulator/model/zone_cuts.h"
#include "policy/events.h"

namespace dapplewharf::emulator {

class EndpointConnections;
class EndpointFaults;
class EndpointListeners;
class EndpointListServer;

struct Listener {
  Socket socket;
  Handle watched;
  std::vector<Socket> queue_fillers;  // connections that keep the accept queue full
};

/// A connection of a node to an endpoint.
struct EndpointConnection {
  enum class Phase { fresh, opening, established, closing };

  Socket socket;
  Handle watched;
  int endpoint = 0;
  int node = 0;
  int incarnation = 0;  // of the endpoint
  Phase phase = Phase::fresh;
  std::string received;
  std::string unsent;
  std::string request_id;
  std::size_t session = 0;  // in the plan, once the request line has come
  double load = 0;
  std::optional<HostModel::SetupId> setup;
  bool may_have_run = false;
  bool close_when_sent = false;
  bool half_closed = false;
  bool end_recorded = false;
  EventLoop::Deadline load_change;
};

/// An emulated endpoint on sockets.
struct EmulatedEndpoint {
  EmulatedEndpoint(const Scenario& scenario, const Plan& plan, const PlannedHost& planned)
      : model(scenario, plan, planned) {}

  HostModel model;
  EndpointCondition condition = EndpointCondition::up;
  bool draining = false;
  bool listed = true;
  bool overwhelmed = false;    // was overloaded while cold; stays down
  double failing_share = 0;    // of requests
  double resetting_share = 0;  // of requests
  int hang_faults = 0;         // that suspend its setups now
  int incarnation = 0;
  int open_connections = 0;
  std::string drain_pace;                            // as the scenario names it
  EndpointState published = EndpointState::healthy;  // by the endpoint list server
  double started_unix_ms = 0;                        // 0: before the run
  std::map<HostModel::SetupId, Handle> setups;       // connections that are being set up
  std::vector<Handle> established;  // connections, in the order in which they were established
  EventLoop::Deadline setup_due;
  std::vector<Listener> listeners;  // by node
};

struct EndpointRig {
  explicit EndpointRig(RigProcess& process);

  EmulatedEndpoint& endpoint(int index) { return *endpoints[static_cast<std::size_t>(index)]; }
  const EmulatedEndpoint& endpoint(int index) const { return *endpoints[static_cast<std::size_t>(index)]; }
  const PlannedHost& planned(int index) const { return plan.hosts[static_cast<std::size_t>(index)]; }
  const Session& session(const EndpointConnection& connection) const {
    return plan.sessions[connection.session];
  }
  int endpoint_count() const { return static_cast<int>(endpoints.size()); }
  int node_count() const { return static_cast<int>(scenario.node_count); }

  /// Whether an endpoint and a node are in different zones.
  bool crosses_zones(int endpoint, int node) const;
  bool is_cut(int endpoint, int node) const;
  bool responses_lost(int endpoint, int node) const;

  /// The connections to an endpoint; the returned list stays valid while they are closed.
  std::vector<Handle> connections_to(int endpoint);

  RigProcess& process;
  const Scenario& scenario;
  const Plan& plan;
  ZoneCuts cuts;
  std::vector<std::unique_ptr<EmulatedEndpoint>> endpoints;
  SlotMap<EndpointConnection> connections;
};

/// References to the parts of the endpoints' process, all owned by it.
struct EndpointRigParts {
  EndpointRig& rig;
  EndpointListeners& listeners;
  EndpointConnections& connections;
  EndpointFaults& faults;
  EndpointListServer& list_server;
};

}  // namespace dapplewharf::emulator
