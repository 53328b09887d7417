// The messages that the parts of the policy (EndpointSet, Endpoint, EndpointSelector, RequestTable) post to
// each other: one small struct for each kind of message and one variant for each addressee. Also
// PolicyContext, which all parts share: the time, the settings, the random generator, the mailboxes and the
// actions of the current call. Contains no decisions.
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

/// The endpoint list contains this endpoint.
struct EndpointListed {
  EndpointEntry entry;
  FleetStatistics fleet;
  // Connections of all nodes at the endpoint, derived from its weight if weights follow load; nothing:
  // unknown.
  std::optional<double> connections_all_nodes;
  bool is_new = false;  // not in any earlier list, and this list is not the first
};

/// The complete endpoint list no longer contains this endpoint.
struct EndpointUnlisted {};

/// The time for which this endpoint asked to be woken up has come.
struct EndpointWakeUp {
  FleetStatistics fleet;
};

/// The freshness of the endpoint list has changed; PolicyContext::list_freshness has the new one.
struct ListFreshnessObserved {
  FleetStatistics fleet;
  std::optional<TimePoint> possible_start_at;  // as in EndpointListFreshnessChanged
};

/// The endpoints that may take a request, and which of them is asked next.
struct CandidateList {
  std::string request_id;
  TimePoint deadline = 0;
  bool is_mid_connection = false;
  std::shared_ptr<const std::vector<std::string>> endpoints;  // in the order in which they are asked
  std::size_t next_index = 0;                                 // in endpoints; all before it have been asked
  int passed_over_count = 0;  // endpoints that declined after a failed health check or a report of high load
  FleetStatistics fleet;
};

/// Asks an endpoint to take a request. Answered with Admitted or Declined.
struct AdmissionRequest {
  CandidateList candidates;
};

/// This endpoint has a connection that was established before this node started.
struct ConnectionRestored {};

/// An attempt at this endpoint has become an established connection.
struct AttemptSucceeded {
  bool counts_as_success = true;  // false: the setup took too long, which counts as a failure
};

/// An attempt at this endpoint, or the connection that it became, has ended.
struct AttemptFinished {
  Outcome outcome = Outcome::succeeded;
  bool was_established = false;
};

/// The message latency at this endpoint, in ticks of 0.1 ms with fractions.
struct LatencyObserved {
  double latency = 0;
};

/// The number of connections of all other nodes at this endpoint; nothing: unknown.
struct GossipObserved {
  std::optional<double> connections_elsewhere;
};

using EndpointMessage = std::variant<EndpointListed, EndpointUnlisted, EndpointWakeUp, ListFreshnessObserved,
                                     AdmissionRequest, ConnectionRestored, AttemptSucceeded, AttemptFinished,
                                     LatencyObserved, GossipObserved, HealthCheckEnded>;

// --- to the endpoint set and the selector ---

/// An endpoint's status has changed.
struct EndpointStatusChanged {
  std::string endpoint;
  EndpointStatus status;
};

/// Weights have been frozen, or are no longer frozen.
struct WeightsFreezeChanged {
  bool frozen = false;
};

/// What the selection for a request depends on, besides the endpoints' status.
struct SelectionQuery {
  RequestAttributes request;
  std::vector<std::string> tried_endpoints;  // endpoints of the request's earlier attempts
  std::set<std::string> affinity_endpoints;  // where this node has connections of the request's group
  int open_group_connections = 0;            // this node's connections of the request's group
  // An endpoint that may have run the request. A repeat is safe only at endpoints that know this endpoint's
  // idempotency keys, as deduplication_scope says; empty: the request may be sent to any endpoint.
  std::string deduplicating_endpoint;
  DeduplicationScope deduplication_scope = DeduplicationScope::cell;
  bool is_capacity_short = false;  // some request recently found no endpoint during a surge
};

/// Asks for the endpoints that may take a request. Answered with CandidateList.
struct SelectEndpoints {
  std::shared_ptr<const SelectionQuery> query;
  FleetStatistics fleet;  // filled in by the endpoint set
};

using EndpointSetMessage = std::variant<EndpointsCached, EndpointsSnapshot, EndpointsUpdate,
                                        EndpointWatchFailed, EndpointListFreshnessChanged, ShutdownStarted,
                                        TimerFired, EndpointStatusChanged, SelectEndpoints>;
using SelectorMessage = std::variant<EndpointStatusChanged, WeightsFreezeChanged, SelectEndpoints>;

// --- to the request table ---

/// The endpoint takes the request and already counts the attempt among its open connections.
struct Admitted {
  std::string request_id;
  std::string endpoint;
};

/// The endpoint does not take the request; the next candidate is to be asked.
struct Declined {
  CandidateList candidates;
};

/// Connections are to migrate off one endpoint, or off all endpoints.
struct MigrateConnections {
  std::string endpoint;                // empty: all endpoints
  double migration_share = 0;          // of the affinity groups (or clients) at the endpoint, from 0 to 1
  int migration_budget = 0;            // connections that may migrate within a second
  bool keeps_groups_together = false;  // connections of one affinity group migrate together
  bool is_endpoint_leaving = false;    // the endpoint drains or has been removed
};

using RequestTableMessage =
    std::variant<ShutdownStarted, RequestReceived, ConnectionAdopted, AttemptEstablished, AttemptEnded,
                 LoadReported, LatencyReported, RequestStalled, ClientDisconnected, CandidateList, Admitted,
                 Declined, MigrateConnections>;

/// The messages for one addressee. A posted message reaches the inbox only with the next call of deliver(),
/// so that no message is added to an inbox while it is being read.
template <class Message>
struct Mailbox {
  std::vector<Message> posted;
  std::vector<Message> inbox;

  /// Moves the posted messages to the end of the inbox.
  void deliver() {
    std::move(posted.begin(), posted.end(), std::back_inserter(inbox));
    posted.clear();
  }
};

/// State that all parts of the policy share.
struct PolicyContext {
  Settings settings;
  RandomGenerator random;
  TimePoint now = 0;
  ListFreshness list_freshness = ListFreshness::current;
  std::vector<PolicyAction> actions{};                                         // of the current call
  std::vector<std::pair<std::string, EndpointMessage>> posted_to_endpoints{};  // with the endpoint's id
  Mailbox<EndpointSetMessage> endpoint_set{};
  Mailbox<SelectorMessage> selector{};
  Mailbox<RequestTableMessage> request_table{};

  // The templates construct the variant in place, without a copy of the message or action.
  template <class Action>
  void add_action(Action&& action) {
    actions.emplace_back(std::forward<Action>(action));
  }
  // Whether new work waits for the endpoint list.
  [[nodiscard]] bool awaits_list() const { return list_freshness == ListFreshness::awaiting; }
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
