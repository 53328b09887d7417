// The state that the parts of a simulated run share: endpoints, nodes, clients, connections, the clock, the
// network and the results so far. See docs/emulator.md.
#pragma once
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "emulator/model/host.h"
#include "emulator/report/result.h"
#include "emulator/sim/event_queue.h"
#include "emulator/sim/network_links.h"
#include "emulator/sim/policy.h"

namespace dapplewharf::emulator {

/// Time from the order to stop until a node exits.
constexpr Duration kNodeShutdownTime = 3600 * kMs;
/// The interval in which service is measured.
constexpr Duration kServiceStep = 100 * kMs;

struct SimulatedEndpoint {
  SimulatedEndpoint(const Scenario& scenario, const Plan& plan, const PlannedHost& planned)
      : model(scenario, plan, planned) {}

  HostModel model;
  EndpointCondition condition = EndpointCondition::up;
  bool draining = false;
  bool listed = true;
  bool failed_while_cold = false;      // it failed under too many setups while cold, and does not return
  double failing_share = 0;            // of requests that it answers with an error
  int hang_faults = 0;                 // active ones, which block its setups
  std::string drain_pace;              // by its stored name
  TimePoint started = 0;               // 0: before the run
  TimePoint condition_since = 0;       // when it fell silent, vanished or went down
  std::optional<TimePoint> setup_due;  // when its setup queue is processed next
  int incarnation = 0;
  std::map<HostModel::SetupId, Index> setups;  // connections that are being set up
  std::vector<Index> established;              // connections, in the order in which they were established
  std::vector<int> served;                     // connected clients, by the node's zone and the traffic type
  int open_connections = 0;
  std::deque<double> health_check_ms;                // of the last minute, one per second
  EndpointState published = EndpointState::healthy;  // by the endpoint list service
};

struct SimulatedNode {
  std::unique_ptr<Policy> policy;  // null while its process is not running
  int zone = 0;
  int incarnation = 0;
  bool alive = true;
  bool stopping = false;
  bool in_front = true;  // the front sends clients to it
  bool watches_list = false;
  TimePoint list_requested = 0;  // when it last asked for the list
  TimePoint stop_requested = 0;
  std::vector<int> established;             // connections, by endpoint
  std::vector<bool> slow_endpoints;         // by endpoint: whether the last report named its latency
  std::vector<PolicyEvent> pending_events;  // for its policy
  bool policy_running = false;
};

struct SimulatedClient {
  bool started = false;
  bool finished = false;  // no longer needs a connection
  bool connected = false;
  bool waiting = false;   // its request has no answer at the client yet
  bool answered = false;  // the node has decided the answer
  int request_number = 0;
  int failures = 0;  // in a row
  int attempts = 0;  // of the current request
  std::string request_id;
  std::optional<Index> node;
  std::optional<Index> connection;
  int node_incarnation = 0;
  TimePoint request_sent = 0;
};

/// An attempt, and the connection that it establishes.
struct SimulatedConnection {
  Index client;
  Index node;
  Index endpoint;
  std::optional<int> attempt_number;  // none: the duplicate that a defective node sends
  int request_number;
  int endpoint_incarnation;
  int node_incarnation;
  TimePoint started;
  bool line_sent = false;
  bool closed = false;  // at the node
  bool at_endpoint = false;
  bool established_at_endpoint = false;
  bool established_at_node = false;
  double load = 0;  // as the endpoint counts it
  std::optional<HostModel::SetupId> setup{};
};

struct SimulatedHealthCheck {
  Index node;
  Index endpoint;
  int node_incarnation;
  int endpoint_incarnation;
  TimePoint started;
  bool ended = false;
};

/// The shared state; its parts are public, as all simulators read and change them.
class SimulationState {
 public:
  /// @param scenario must outlive the state.
  /// @param policy_name one of policy_names().
  SimulationState(const Scenario& scenario, std::uint64_t seed, const std::string& policy_name);

  TimePoint now() const { return queue.now(); }
  /// Schedules an event for a time of the run.
  void schedule(TimePoint when, SimEvent event) { queue.schedule(when, event); }

  const Session& session(Index client) const { return plan.sessions[client]; }
  const TrafficType& traffic_type(Index client) const;
  int zone_of_endpoint(Index endpoint) const { return plan.hosts[endpoint].zone; }
  std::string request_id(const SimulatedConnection& connection) const;
  /// The index of an endpoint by its name in the endpoint list.
  std::optional<Index> find_endpoint(const std::string& name) const;
  /// The client whose request is in flight or whose connection is established under this id.
  std::optional<Index> find_request(const std::string& request_id) const;
  /// The position in SimulatedEndpoint::served.
  std::size_t served_position(int node_zone, std::size_t traffic) const;

  /// Whether the process that opened a connection still runs.
  bool node_runs(const SimulatedConnection& connection) const;
  bool is_up(Index endpoint) const { return endpoints[endpoint].condition == EndpointCondition::up; }

  Duration draw_node_delay(Index node, Index endpoint);
  bool is_cut(Index node, Index endpoint) const;
  bool responses_lost(Index node, Index endpoint) const;

  /// Whether the node's deliberate defect occurs now; it occurs at one of kDefectInterval opportunities.
  bool defect_occurs(NodeDefect kind);

  /// The measurements of the current second.
  Second& current_second();

  const Scenario& scenario;
  const std::uint64_t seed;
  const std::string policy_name;
  const NodeDefect defect;
  const Plan plan;
  const TimePoint end;  // of the time in which clients arrive
  Audit audit;
  EventQueue queue;
  NetworkLinks network;
  Result result;
  std::vector<SimulatedEndpoint> endpoints;
  std::vector<SimulatedNode> nodes;
  std::vector<SimulatedClient> clients;
  std::vector<SimulatedConnection> connections;
  std::vector<SimulatedHealthCheck> health_checks;
  std::vector<int> clients_in_session;              // by traffic type
  std::unordered_map<std::string, Index> requests;  // clients, by the id of a request or its connection
  double shortest_message_objective_ms;

 private:
  std::unordered_map<std::string, Index> endpoints_by_name_;
  int defect_opportunities_ = 0;
};

}  // namespace dapplewharf::emulator
