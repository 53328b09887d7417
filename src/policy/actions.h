// Output of the load-balancing policy: what its caller is to do, in order, one small struct for each kind of
// action. Plain values that own their strings; times are in ticks of 0.1 ms (base/time.h).
#pragma once
#include <string>
#include <variant>

#include "base/time.h"

namespace dapplewharf {

/// Open a connection to the endpoint for the request; give it up after the timeout.
struct StartAttempt {
  std::string request_id;
  std::string endpoint;
  Duration timeout = 0;
};

/// Cancel the request's attempt that is in flight.
struct CancelAttempt {
  std::string request_id;
  int attempt = 0;
};

/// Final answer: rejected, repeating the request is harmless.
struct RejectRequest {
  std::string request_id;
  Duration retry_after = 0;  // when the client is to come back; 0: it is not told
};

/// Final answer: failed, the request may have taken effect.
struct FailRequest {
  std::string request_id;
};

/// Tell the client of an established connection to reconnect, and close the connection.
struct MigrateConnection {
  std::string request_id;
  std::string endpoint;  // where the connection stands
};

/// Send a health check to the endpoint.
struct CheckHealth {
  std::string endpoint;
};

/// Report TimerFired with this number after the delay. Timers are never cancelled.
struct SetTimer {
  int timer = 0;
  Duration delay = 0;
};

/// Subscribe to changes of the endpoint list; the complete list comes first.
struct WatchEndpoints {};

/// Ask for the endpoint list once.
struct FetchEndpoints {};

/// Write a line to the decision log.
struct LogMessage {
  std::string text;
};

using PolicyAction = std::variant<StartAttempt, CancelAttempt, RejectRequest, FailRequest, MigrateConnection,
                                  CheckHealth, SetTimer, WatchEndpoints, FetchEndpoints, LogMessage>;

}  // namespace dapplewharf
