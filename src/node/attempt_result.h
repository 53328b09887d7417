// How an attempt on a host or a health check ended, and what that means for the decisions. Owns the mapping
// from what was seen on the socket to the outcome that the load balancer and the request ledger are given.
// Design: docs/design.md.
#pragma once
#include "policy/events.h"

namespace dapplewharf {

/// How far an attempt had come when it ended.
enum class AttemptProgress {
  not_connected,
  partly_written,  ///< connected; some of the request may have been sent
  written,         ///< the last byte of the request has been handed to the system
  established      ///< the host has answered UP
};

/// What ended an attempt or the connection that it became.
enum class TerminationReason {
  no_descriptor,      ///< this process has no descriptor left to spend
  local_failure,      ///< this machine could not connect for now
  timed_out,          ///< the host did not answer in time
  connection_broken,  ///< refused or reset
  closed,             ///< the host closed in an orderly way without an answer
  busy,               ///< the host answered BUSY
  error,              ///< the host answered ERR
  malformed_answer,   ///< the host's answer is not part of the protocol
  completed,          ///< the host ended the connection with BYE, or answered a health check
  migrated,           ///< the host ended the connection with MOVE
  client_gone,        ///< the client ended its side first
  withdrawn,          ///< no longer permitted by the time its first byte could be sent
  cancelled           ///< ended by this node
};

/// The end of an attempt, as seen on its socket.
struct AttemptResult {
  AttemptProgress progress = AttemptProgress::not_connected;
  TerminationReason reason = TerminationReason::connection_broken;
};

/// The outcome that the load balancer is told for `result`.
[[nodiscard]] Outcome outcome_of(AttemptResult result);

/// Names for the log, in snake case.
[[nodiscard]] const char* name_of(AttemptProgress progress);
[[nodiscard]] const char* name_of(TerminationReason reason);

}  // namespace dapplewharf
