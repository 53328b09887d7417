// How an attempt or a health check ended, as seen on its socket, and the mapping from that result to the
// outcome that is reported to the load balancer and the request ledger. Design: docs/design.md.
#pragma once
#include "policy/events.h"

namespace dapplewharf {

/// How far an attempt had progressed when it ended.
enum class AttemptProgress {
  not_connected,
  partly_written,  ///< connected; some of the request may have been sent
  written,         ///< the last byte of the request has been passed to the kernel
  established      ///< the host has answered UP
};

/// What ended an attempt or the connection established by it.
enum class TerminationReason {
  no_descriptor,      ///< this process has no descriptor left for an attempt
  local_failure,      ///< connecting failed on this machine, perhaps temporarily
  timed_out,          ///< the host did not answer in time
  connection_broken,  ///< refused or reset
  closed,             ///< the host closed the connection in an orderly way without an answer
  busy,               ///< the host answered BUSY
  error,              ///< the host answered ERR
  malformed_answer,   ///< the host's answer does not conform to the protocol
  completed,          ///< the host ended the connection with BYE, or answered a health check
  migrated,           ///< the host ended the connection with MOVE
  client_gone,        ///< the client closed its side first
  withdrawn,          ///< no longer permitted when its first byte could have been sent
  cancelled           ///< ended by this node
};

/// How an attempt ended, as seen on its socket.
struct AttemptResult {
  AttemptProgress progress = AttemptProgress::not_connected;
  TerminationReason reason = TerminationReason::connection_broken;
};

/// Returns the outcome that is reported to the load balancer for `result`.
[[nodiscard]] Outcome outcome_of(AttemptResult result);

/// Returns the name in snake case, for the log.
[[nodiscard]] const char* name_of(AttemptProgress progress);
[[nodiscard]] const char* name_of(TerminationReason reason);

}  // namespace dapplewharf
