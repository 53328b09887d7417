// The rules by which failed calls are classified. Design: docs/outdated-lists.md.
#include "node/discovery_call_failure.h"

namespace dapplewharf {
namespace {

// A call that fails within this time has failed at once.
constexpr Duration kImmediateFailure = 100 * kMs;

bool is_immediate(const FailedDiscoveryCall& call) {
  return call.duration < call.request_delay + kImmediateFailure;
}

ListCallFailure classify_unusable_answer(const FailedDiscoveryCall& call) {
  return is_immediate(call) ? ListCallFailure::unusable : ListCallFailure::unanswered;
}

ListCallFailure classify_rejection(const FailedDiscoveryCall& call) {
  return is_immediate(call) ? ListCallFailure::rejected : ListCallFailure::rejected_late;
}

ListCallFailure classify_broken_connection(const FailedDiscoveryCall& call) {
  if (call.has_received) {
    return classify_unusable_answer(call);
  }
  if (!call.has_sent_request) {
    return is_immediate(call) ? ListCallFailure::unavailable : ListCallFailure::unanswered;
  }
  if (needs_delayed_request(call)) {
    return ListCallFailure::inconclusive;
  }
  return classify_rejection(call);
}

}  // namespace

bool needs_delayed_request(const FailedDiscoveryCall& call) {
  return call.end == DiscoveryCallEnd::connection_broken && call.has_sent_request && !call.has_received &&
         call.request_delay == 0 && is_immediate(call);
}

ListCallFailure classify_call_failure(const FailedDiscoveryCall& call) {
  switch (call.end) {
    case DiscoveryCallEnd::connection_broken:
      return classify_broken_connection(call);
    case DiscoveryCallEnd::overloaded:
      return classify_rejection(call);
    case DiscoveryCallEnd::refused:
      return classify_unusable_answer(call);
    case DiscoveryCallEnd::idle_closed:
    case DiscoveryCallEnd::local_failure:
    case DiscoveryCallEnd::overdue:
      break;
  }
  return ListCallFailure::inconclusive;
}

}  // namespace dapplewharf
