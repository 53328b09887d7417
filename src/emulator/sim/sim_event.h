// The events of a simulated run, each a struct with the objects that it concerns. `EventQueue` orders them
// and `Simulation` passes each to the part that handles it. See docs/emulator.md.
#pragma once
#include <cstdint>
#include <variant>

#include "emulator/model/plan.h"
#include "policy/events.h"

namespace dapplewharf::emulator {

/// The position of an endpoint, node, client, connection, health check or fault in its list.
using Index = std::uint32_t;

// Events of clients. `request_number` tells a client's requests apart; an event of an earlier one is stale.

/// A client that has no connection asks for one.
struct ClientArrives {
  Index client;
};
/// A client's request reaches its node.
struct RequestArrives {
  Index client;
  int request_number;
};
/// The deadline of a request and the grace time after it have passed.
struct RequestDeadlinePasses {
  Index client;
  int request_number;
};
/// An impatient client closes its request before the deadline.
struct ClientLeavesEarly {
  Index client;
  int request_number;
};
/// A client no longer needs a connection.
struct SessionEnds {
  Index client;
};
/// A node's final answer reaches its client.
struct AnswerArrives {
  Index client;
  int request_number;
  Reply reply;
  std::int64_t retry_after_ms;
};

// Events of attempts and of the connections that they establish.

/// The node has written the request line to the endpoint.
struct RequestLineSent {
  Index connection;
};
/// The request line reaches the endpoint.
struct RequestLineArrives {
  Index connection;
};
/// An attempt fails because of the network or because its endpoint refuses it.
struct AttemptFails {
  Index connection;
  Outcome outcome;
};
struct AttemptTimesOut {
  Index connection;
};
/// The endpoint's confirmation that the connection is established reaches the node.
struct EstablishedArrives {
  Index connection;
};
/// The endpoint's refusal or error reaches the node.
struct AttemptResultArrives {
  Index connection;
  Outcome outcome;
};
/// The closing of a connection reaches its endpoint.
struct CloseArrives {
  Index connection;
};
struct ConnectionLoadChanges {
  Index connection;
};

// Events of endpoints. An event of an earlier incarnation is stale.

/// The next connection setup in an endpoint's queue may be complete.
struct SetupWorkDue {
  Index endpoint;
  int incarnation;
};
struct DrainBegins {
  Index fault;
  Index endpoint;
};
/// A draining endpoint migrates the next part of its connections.
struct DrainStep {
  Index endpoint;
  int incarnation;
};
struct EndpointRestarts {
  Index endpoint;
  int incarnation;
};
/// An endpoint that the plan adds during the run starts.
struct EndpointJoins {
  Index endpoint;
};

// Events of nodes.

struct PolicyTimerFires {
  Index node;
  int timer;
  int incarnation;
};
struct HealthCheckArrives {
  Index health_check;
};
struct HealthCheckEnds {
  Index health_check;
  Outcome outcome;
};
struct NodeRestarts {
  Index node;
};
/// A node that was told to stop has ended.
struct NodeExits {
  Index node;
  int incarnation;
};
/// The front checks whether a node accepts clients.
struct FrontChecksNode {
  Index node;
};
/// The front stops sending clients to a node.
struct FrontRemovesNode {
  Index node;
};

// Events of the endpoint list service.

struct EndpointListArrives {
  Index node;
  int incarnation;
  bool watch;
};
struct EndpointListFails {
  Index node;
  int incarnation;
};
/// From now on a node that polls the list counts as notified of a leaving endpoint.
struct PollingNodeIsNotified {
  Index node;
  Index endpoint;
};
/// The service learns of an endpoint's state and notifies the nodes that watch.
struct EndpointStatePublished {
  Index endpoint;
  int incarnation;
  EndpointState state;
};

// Events of faults.

struct FaultBegins {
  Index fault;
};
struct FaultEnds {
  Index fault;
};
/// Another program on the hosts starts or stops using its share of their cores.
struct NeighbourLoadChanges {
  Index fault;
  bool active;
};

// Events of the measurements.

/// The service of the last interval is measured.
struct ServiceMeasured {};
/// Nodes report message latencies and requests without an answer to their policies.
struct NodeReportsDue {};

using SimEvent = std::variant<ClientArrives, RequestArrives, RequestDeadlinePasses, ClientLeavesEarly,
                              SessionEnds, AnswerArrives, RequestLineSent, RequestLineArrives, AttemptFails,
                              AttemptTimesOut, EstablishedArrives, AttemptResultArrives, CloseArrives,
                              ConnectionLoadChanges, SetupWorkDue, DrainBegins, DrainStep, EndpointRestarts,
                              EndpointJoins, PolicyTimerFires, HealthCheckArrives, HealthCheckEnds,
                              NodeRestarts, NodeExits, FrontChecksNode, FrontRemovesNode, EndpointListArrives,
                              EndpointListFails, PollingNodeIsNotified, EndpointStatePublished, FaultBegins,
                              FaultEnds, NeighbourLoadChanges, ServiceMeasured, NodeReportsDue>;

}  // namespace dapplewharf::emulator
