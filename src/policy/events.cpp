#include "policy/events.h"

namespace dapplewharf {

const char* name_of(Outcome outcome) {
  switch (outcome) {
    case Outcome::succeeded:
      return "succeeded";
    case Outcome::error:
      return "error";
    case Outcome::rejected:
      return "rejected";
    case Outcome::timed_out:
      return "timed_out";
    case Outcome::connect_failed:
      return "connect_failed";
    case Outcome::connection_lost:
      return "connection_lost";
    case Outcome::cancelled:
      return "cancelled";
    case Outcome::not_sent:
      return "not_sent";
    case Outcome::withdrawn:
      return "withdrawn";
  }
  return "unknown";
}

}  // namespace dapplewharf
