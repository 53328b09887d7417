// The messages that the parts of the policy (EndpointSet, Endpoint, EndpointSelector, RequestTable) post to
// each other: one small struct for each kind, a variant for each addressee. Also the context that all parts
// share: the clock, the settings, the random generator, the mailboxes and the actions decided so far. No
// decisions.
#pragma once
#include <algorithm>
#include <cstdint>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/random.h"
#include "policy/actions.h"
#include "policy/endpoint_status.h"
#include "policy/events.h"
#include "policy/fleet_statistics.h"
#include "policy/settings.h"

namespace dapplewharf {

// --- to an endpoint ---

/// The endpoint list names this endpoint.
struct EndpointListed {
  EndpointEntry entry;
  FleetStatistics fleet;
  std::optional<double> connections;  // of all nodes, as its weight tells; nothing: untold
  bool is_new = false;                // to a list that was known before
};

/// The complete endpoint list does not name this endpoint any more.
struct EndpointUnlisted {};

/// Something that this endpoint wanted to be woken for may be due.
struct EndpointTick {
  FleetStatistics fleet;
};

/// The endpoints that may take a request, and how far they have been asked.
struct CandidateList {
  std::string request_id;
  TimePoint deadline = 0;
  bool is_mid_connection = false;
  std::shared_ptr<const std::vector<std::string>> endpoints;  // in the order in which they are asked
  std::size_t asked = 0;  // so many of them were, and the index of the next one
  int passed_over = 0;    // so many were checked and passed
  FleetStatistics fleet;
};

/// May this endpoint take the request? Answered with Admitted or Declined.
struct AdmissionRequest {
  CandidateList candidates;
};

/// A connection from before this node's start stands here.
struct ConnectionOpened {};

/// An attempt here has become an established connection.
struct AttemptSucceeded {
  bool in_time = true;
};

/// An attempt here, or the connection that it became, has ended.
struct AttemptFinished {
  Outcome outcome = Outcome::succeeded;
  bool was_established = false;
};

/// How long messages take here, in ticks of 0.1 ms with fractions.
struct LatencyObserved {
  double latency = 0;
};

/// What other nodes hold here.
struct GossipObserved {
  std::optional<double> connections_elsewhere;
};

using EndpointMessage =
    std::variant<EndpointListed, EndpointUnlisted, EndpointTick, AdmissionRequest, ConnectionOpened,
                 AttemptSucceeded, AttemptFinished, LatencyObserved, GossipObserved, HealthCheckEnded>;

// --- to the endpoint set and the selector ---

/// An endpoint's status has changed.
struct StatusChanged {
  std::string endpoint;
  EndpointStatus status;
};

/// Weights are frozen from now on, or free again.
struct WeightsFreezeChanged {
  bool frozen = false;
};

/// What the selector goes by, besides the endpoints' status.
struct SelectionQuery {
  RequestAttributes request;
  std::vector<std::string> tried;            // endpoints of earlier attempts
  std::set<std::string> affinity_endpoints;  // those that hold connections of its group
  int group_connections = 0;                 // connections of its group that stand here
  std::string deduplicating_endpoint;        // repeats are dropped around this endpoint only; empty: anywhere
  DeduplicationScope scope = DeduplicationScope::cell;
  bool shortage = false;  // some request found no endpoint a moment ago, during a surge
};

/// Which endpoints may take this request? Answered with CandidateList.
struct SelectEndpoints {
  std::shared_ptr<const SelectionQuery> query;
  FleetStatistics fleet;  // filled in by the endpoint set
};

using EndpointSetMessage =
    std::variant<EndpointsCached, EndpointsSnapshot, EndpointsUpdate, EndpointWatchFailed, ShutdownStarted,
                 TimerFired, StatusChanged, SelectEndpoints>;
using SelectorMessage = std::variant<StatusChanged, WeightsFreezeChanged, SelectEndpoints>;

// --- to the request table ---

/// The endpoint takes the request; its attempt is counted there already.
struct Admitted {
  std::string request_id;
  std::string endpoint;
};

/// The endpoint does not take the request; the next candidate is to be asked.
struct Declined {
  CandidateList candidates;
};

/// Connections are to migrate off an endpoint, or off all.
struct MigrateConnections {
  std::string endpoint;              // empty: off all endpoints
  double share = 0;                  // of the groups there
  int budget = 0;                    // connections that may migrate within a second
  bool whole_groups = false;         // connections of one group go together
  bool endpoint_is_leaving = false;  // it drains or is removed
};

using RequestTableMessage =
    std::variant<ShutdownStarted, RequestReceived, ConnectionAdopted, AttemptEstablished, AttemptEnded,
                 LoadReported, LatencyReported, RequestStalled, ClientDisconnected, CandidateList, Admitted,
                 Declined, MigrateConnections>;

/// Messages for one addressee. What is posted becomes readable when it is delivered, so that nobody posts
/// into the messages that are being read.
template <class Message>
struct Mailbox {
  std::vector<Message> posted;
  std::vector<Message> inbox;

  void deliver() {
    std::move(posted.begin(), posted.end(), std::back_inserter(inbox));
    posted.clear();
  }
};

/// What all parts of the policy use.
struct PolicyContext {
  Settings settings;
  RandomGenerator random;
  TimePoint now = 0;
  std::vector<PolicyAction> actions{};
  std::vector<std::pair<std::string, EndpointMessage>> posted_to_endpoints{};  // by the endpoint's id
  Mailbox<EndpointSetMessage> endpoint_set{};
  Mailbox<SelectorMessage> selector{};
  Mailbox<RequestTableMessage> request_table{};

  // Messages and actions are built in place.
  template <class One>
  void act(One&& action) {
    actions.emplace_back(std::forward<One>(action));
  }
  void log(std::string text) { actions.push_back(LogMessage{std::move(text)}); }
  template <class Message>
  void post_to_endpoint(const std::string& endpoint, Message&& message) {
    posted_to_endpoints.emplace_back(endpoint, std::forward<Message>(message));
  }
  template <class Message>
  void post_to_endpoint_set(Message&& message) {
    endpoint_set.posted.emplace_back(std::forward<Message>(message));
  }
  template <class Message>
  void post_to_selector(Message&& message) {
    selector.posted.emplace_back(std::forward<Message>(message));
  }
  template <class Message>
  void post_to_request_table(Message&& message) {
    request_table.posted.emplace_back(std::forward<Message>(message));
  }
};

}  // namespace dapplewharf
