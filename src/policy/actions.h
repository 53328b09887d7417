// Output of the load-balancing policy: one struct for each kind of action, to be carried out by the caller in
// the order of the list. Actions are plain values that own their strings; times are in ticks of 0.1 ms
// (base/time.h).
#pragma once
#include <string>
#include <variant>

#include "base/time.h"

namespace dapplewharf {

/// Open a connection to the endpoint for the request, and end the attempt after the timeout.
struct StartAttempt {
  std::string request_id;
  std::string endpoint;
  Duration timeout = 0;
};

/// Cancel the request's attempt that is in flight.
struct CancelAttempt {
  std::string request_id;
  int attempt = 0;  // index among the request's attempts, from 0
};

/// Final answer: rejected. The client may repeat the request without harm.
struct RejectRequest {
  std::string request_id;
  Duration retry_after = 0;  // how long the client is to wait before it repeats; 0: the answer names no time
};

/// Final answer: failed. The request may have taken effect.
struct FailRequest {
  std::string request_id;
};

/// Tell the client of an established connection to reconnect, and close the connection.
struct MigrateConnection {
  std::string request_id;
  std::string endpoint;  // which holds the connection
};

/// Send a health check to the endpoint.
struct CheckHealth {
  std::string endpoint;
};

/// Pass TimerFired with this timer to the policy after the delay. Timers are never cancelled.
struct SetTimer {
  int timer = 0;
  Duration delay = 0;
};

/// Subscribe to changes of the endpoint list; the service sends the complete list first.
struct WatchEndpoints {};

/// Request the complete endpoint list once, without a subscription.
struct FetchEndpoints {};

/// Write a line to the decision log.
struct LogMessage {
  std::string text;
};

using PolicyAction = std::variant<StartAttempt, CancelAttempt, RejectRequest, FailRequest, MigrateConnection,
                                  CheckHealth, SetTimer, WatchEndpoints, FetchEndpoints, LogMessage>;

}  // namespace dapplewharf
