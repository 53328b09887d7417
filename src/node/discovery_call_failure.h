// What the end of a failed call to discovery tells of the service. An overloaded discovery has changes that
// count as known to this node, one that is down has none, and both may answer 503 or reset a connection, so
// it matters when a call has ended. Pure. Design: docs/outdated-lists.md.
#pragma once
#include "base/time.h"
#include "node/discovery_connection.h"
#include "policy/endpoint_list_freshness.h"

namespace dapplewharf {

/// A call that has ended without a list.
struct FailedDiscoveryCall {
  DiscoveryCallEnd end = DiscoveryCallEnd::connection_broken;
  bool has_sent_request = false;
  bool has_received = false;   ///< bytes of an answer
  Duration duration = 0;       ///< from the start of the call
  Duration request_delay = 0;  ///< from the establishment of the connection until the request was sent
};

/// Classifies the failure.
[[nodiscard]] ListCallFailure classify_call_failure(const FailedDiscoveryCall& call);

/// Whether the connection was reset so soon that it may not have been because of the request. A call whose
/// request is sent with a delay tells.
[[nodiscard]] bool needs_delayed_request(const FailedDiscoveryCall& call);

}  // namespace dapplewharf
