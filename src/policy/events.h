// Input of the load-balancing policy: what happened since the last call, one small struct for each kind of
// event. Producers are the node (src/node), the simulator's adapter (src/sim_adapter) and the emulator
// (src/emulator). Plain values that own their strings; times are monotonic and in ticks of 0.1 ms
// (base/time.h).
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"

namespace dapplewharf {

enum class EndpointState { healthy, draining, removed };

/// One endpoint as the endpoint list service describes it.
struct EndpointEntry {
  std::string host;  // the endpoint's id
  std::string zone;
  std::int64_t cell = 0;
  EndpointState state = EndpointState::healthy;
  double size = 1;        // relative capacity; with load-following weights: what is left of it
  TimePoint started = 0;  // 0: long ago
  std::string kind{};     // machine type; endpoints of one type have one size
};

/// How a connection attempt, an established connection or a health check ended.
enum class Outcome {
  succeeded,
  error,            // the endpoint answered with an error
  rejected,         // the endpoint refused the request by its own word
  timed_out,        // sent, and not answered in time
  connect_failed,   // the request never reached the endpoint
  connection_lost,  // the connection broke after the request was sent
  cancelled,        // ended by this node or by the client
  not_sent,         // this machine could not send; says nothing of the endpoint
  withdrawn         // dropped before its first byte: the endpoint was announced as draining meanwhile
};

/// The name of an outcome for logs, for example "timed_out".
[[nodiscard]] const char* name_of(Outcome outcome);

/// The endpoint list as this node last held it, before the service has been asked.
struct EndpointsCached {
  std::vector<EndpointEntry> endpoints;
};

/// The complete endpoint list; whatever it does not name has been removed.
struct EndpointsSnapshot {
  std::vector<EndpointEntry> endpoints;
};

/// The entries of the endpoint list that changed.
struct EndpointsUpdate {
  std::vector<EndpointEntry> endpoints;
};

/// A call to the endpoint list service failed, or its watch broke.
struct EndpointWatchFailed {};

/// This node shuts down soon; its connections have to migrate.
struct ShutdownStarted {
  TimePoint answer_by = 0;  // when every request must have been answered; 0: no such limit
};

/// What is known of a client's request, whether it is new or stood before this node started.
struct RequestAttributes {
  std::string id;
  std::string traffic_type;
  std::string tenant;
  std::optional<std::int64_t> client_key;      // session affinity key
  std::optional<std::int64_t> affinity_group;  // requests of one group share work at an endpoint
  TimePoint deadline = 0;                      // when the client gives up
  bool is_mid_connection = false;              // resumes a connection whose endpoint holds its state
  bool is_migrated = false;                    // the client comes back after a migration or a break
  bool is_retry = false;                       // the client repeats a request by itself
};

/// A client wants a connection.
struct RequestReceived {
  RequestAttributes request;
};

/// A connection that stood at an endpoint when this node started.
struct ConnectionAdopted {
  RequestAttributes request;
  std::string endpoint;
  bool is_pending = false;  // the endpoint has not confirmed it yet
};

/// An attempt has become an established connection.
struct AttemptEstablished {
  std::string request_id;
  std::string endpoint;
  int attempt = 0;  // 0: the request's first
  Duration setup_time = 0;
};

/// An attempt, or the connection that it became, has ended.
struct AttemptEnded {
  std::string request_id;
  std::string endpoint;
  int attempt = 0;
  Outcome outcome = Outcome::succeeded;
  Duration duration = 0;
  bool is_final = false;  // no further attempt may follow
};

/// The load of a connection has changed.
struct LoadReported {
  std::string request_id;
  std::string endpoint;
  double work = 0;  // microseconds of processor time a second
};

/// How long messages take at an endpoint.
struct LatencyReported {
  std::string request_id;  // a connection that stands there; empty where none of this node's does
  std::string endpoint;
  double latency = 0;  // ticks of 0.1 ms, with fractions
};

/// A client's message on an established connection has been unanswered for a while.
struct RequestStalled {
  std::string request_id;
  std::string endpoint;
  Duration unanswered_for = 0;
};

/// The client closed its connection or cancelled its request.
struct ClientDisconnected {
  std::string request_id;
};

/// A timer set by SetTimer has expired.
struct TimerFired {
  int timer = 0;
};

/// A health check that the policy asked for has ended.
struct HealthCheckEnded {
  std::string endpoint;
  Outcome outcome = Outcome::succeeded;
  Duration duration = 0;
  std::vector<double> report;  // figures that the endpoint reports of itself; Settings says which is its load
};

/// What other nodes hold at an endpoint, as they said by gossip.
struct GossipReceived {
  std::string endpoint;
  std::optional<double> connections_elsewhere;  // nothing: no longer known
};

using PolicyEvent = std::variant<EndpointsCached, EndpointsSnapshot, EndpointsUpdate, EndpointWatchFailed,
                                 ShutdownStarted, RequestReceived, ConnectionAdopted, AttemptEstablished,
                                 AttemptEnded, LoadReported, LatencyReported, RequestStalled,
                                 ClientDisconnected, TimerFired, HealthCheckEnded, GossipReceived>;

}  // namespace dapplewharf
