// The mapping from the result of an attempt to its outcome, and the names for the log. Design:
// docs/design.md.
#include "node/attempt_result.h"

namespace dapplewharf {

Outcome outcome_of(AttemptResult result) {
  switch (result.reason) {
    case TerminationReason::withdrawn:
      return Outcome::withdrawn;
    case TerminationReason::no_descriptor:
    case TerminationReason::local_failure:
      return Outcome::not_sent;  // does not count against the endpoint
    case TerminationReason::client_gone:
    case TerminationReason::cancelled:
    case TerminationReason::migrated:
      return Outcome::cancelled;
    case TerminationReason::completed:
      return Outcome::succeeded;
    case TerminationReason::busy:
      return Outcome::rejected;
    case TerminationReason::error:
    case TerminationReason::malformed_answer:
      return Outcome::error;
    case TerminationReason::timed_out:
    case TerminationReason::connection_broken:
    case TerminationReason::closed:
      break;
  }
  if (result.progress < AttemptProgress::written) {
    return Outcome::connect_failed;  // the host cannot have read the whole request
  }
  return result.reason == TerminationReason::timed_out ? Outcome::timed_out : Outcome::connection_lost;
}

const char* name_of(AttemptProgress progress) {
  switch (progress) {
    case AttemptProgress::not_connected:
      return "not_connected";
    case AttemptProgress::partly_written:
      return "partly_written";
    case AttemptProgress::written:
      return "written";
    case AttemptProgress::established:
      return "established";
  }
  return "unknown";
}

const char* name_of(TerminationReason reason) {
  switch (reason) {
    case TerminationReason::no_descriptor:
      return "no_descriptor";
    case TerminationReason::local_failure:
      return "local_failure";
    case TerminationReason::timed_out:
      return "timed_out";
    case TerminationReason::connection_broken:
      return "connection_broken";
    case TerminationReason::closed:
      return "closed";
    case TerminationReason::busy:
      return "busy";
    case TerminationReason::error:
      return "error";
    case TerminationReason::malformed_answer:
      return "malformed_answer";
    case TerminationReason::completed:
      return "completed";
    case TerminationReason::migrated:
      return "migrated";
    case TerminationReason::client_gone:
      return "client_gone";
    case TerminationReason::withdrawn:
      return "withdrawn";
    case TerminationReason::cancelled:
      return "cancelled";
  }
  return "unknown";
}

}  // namespace dapplewharf
