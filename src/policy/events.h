// Input of the load-balancing policy: one struct for each kind of event that has happened since the last
// call. The node (src/node), the simulator's adapter (src/sim_adapter) and the emulator (src/emulator)
// produce them. Events are plain values that own their strings; times are monotonic and in ticks of 0.1 ms
// (base/time.h).
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"
#include "policy/endpoint_list_freshness.h"

namespace dapplewharf {

enum class EndpointState { healthy, draining, removed };

/// One endpoint as the endpoint list service describes it.
struct EndpointEntry {
  std::string id;
  std::string zone;
  std::int64_t cell = 0;
  EndpointState state = EndpointState::healthy;
  // Capacity relative to a standard endpoint; if weights follow load, only the part of that capacity that is
  // not in use.
  double size = 1;
  TimePoint started_at = 0;    // 0: unknown, or long before the list was read
  std::string machine_type{};  // endpoints of one type have the same capacity
};

/// How a connection attempt, an established connection or a health check ended.
enum class Outcome {
  succeeded,
  error,            // the endpoint answered with an error
  rejected,         // the endpoint answered that it refuses the request
  timed_out,        // sent, but not answered in time
  connect_failed,   // no connection to the endpoint; the request was not sent
  connection_lost,  // the connection broke after the request was sent
  cancelled,        // ended by this node or by the client
  not_sent,         // a local fault kept this machine from sending; tells nothing about the endpoint
  withdrawn         // given up before its first byte, because the endpoint was announced as draining
};

/// The name of an outcome for logs, for example "timed_out".
[[nodiscard]] const char* name_of(Outcome outcome);

/// The endpoint list that this node held before it last stopped; the list service has not been called yet.
struct EndpointsCached {
  std::vector<EndpointEntry> endpoints;
};

/// The complete endpoint list; endpoints that it does not name have been removed.
struct EndpointsSnapshot {
  std::vector<EndpointEntry> endpoints;
};

/// The entries of the endpoint list that changed.
struct EndpointsUpdate {
  std::vector<EndpointEntry> endpoints;
};

/// A call to the endpoint list service failed, or the watch on it broke.
struct EndpointWatchFailed {};

/// The freshness of the endpoint list has changed. Without such an event the list counts as current.
struct EndpointListFreshnessChanged {
  ListFreshness freshness = ListFreshness::current;
  // The latest time at which an endpoint may have started that the list describes as older; nothing if the
  // list is to be relied on.
  std::optional<TimePoint> possible_start_at;
};

/// This node shuts down soon; its connections have to migrate.
struct ShutdownStarted {
  TimePoint answer_deadline = 0;  // by when every request must have been answered; 0: no limit
};

/// The attributes of a client's request, or of an adopted connection: one that was open before this node
/// started.
struct RequestAttributes {
  std::string id;
  std::string traffic_type;
  std::string tenant;
  std::optional<std::int64_t> client_key;      // session affinity key
  std::optional<std::int64_t> affinity_group;  // requests of one group cost less work at the same endpoint
  TimePoint deadline = 0;                      // when the client gives up
  bool is_mid_connection = false;              // resumes a connection whose state an endpoint holds
  bool is_migrated = false;  // the client reconnects after a migration or a broken connection
  bool is_retry = false;     // the client repeats an earlier request of its own accord
};

/// A client wants a connection.
struct RequestReceived {
  RequestAttributes request;
};

/// A connection that was open at an endpoint before this node started.
struct ConnectionAdopted {
  RequestAttributes request;
  std::string endpoint;
  bool is_pending = false;  // the endpoint has not confirmed it yet
};

/// An attempt has become an established connection.
struct AttemptEstablished {
  std::string request_id;
  std::string endpoint;
  int attempt = 0;  // index among the request's attempts, from 0
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
  double work_us_per_s = 0;  // microseconds of processor time a second
};

/// How long messages take at an endpoint.
struct LatencyReported {
  std::string request_id;  // a connection to the endpoint; empty if this node has none
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
  std::vector<double> reported_values;  // reported by the endpoint; Settings::load_value_index names its load
};

/// How many connections other nodes hold at an endpoint, as they reported by gossip.
struct GossipReceived {
  std::string endpoint;
  std::optional<double> connections_elsewhere;  // absent: no longer known
};

using PolicyEvent =
    std::variant<EndpointsCached, EndpointsSnapshot, EndpointsUpdate, EndpointWatchFailed,
                 EndpointListFreshnessChanged, ShutdownStarted, RequestReceived, ConnectionAdopted,
                 AttemptEstablished, AttemptEnded, LoadReported, LatencyReported, RequestStalled,
                 ClientDisconnected, TimerFired, HealthCheckEnded, GossipReceived>;

}  // namespace dapplewharf
