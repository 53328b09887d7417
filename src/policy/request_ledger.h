// RequestLedger records the attempts and the final answer of each request of this node. It checks each
// attempt and each answer before it is sent. Of the four rules in docs/design.md it checks the three that
// concern a single request:
//   - One final answer: a request gets exactly one unless its client has disconnected. No attempt starts
//     after it, after the deadline or while another attempt is in flight.
//   - No effect twice: a request that may have run is repeated only at an endpoint that drops the repeat
//     (retry_policy.h).
//   - Drains: no new request is sent to an endpoint that drains or has been removed.
// The fourth rule, on endpoints in slow start, is not checked here; the policy's decisions alone keep it.
// The ledger checks the decisions of LoadBalancer and ReconnectPolicy once more: its caller does not carry
// out a step that violates a rule, but counts and logs the violation. Owns the records of attempts; reads no
// clock. Times are in ticks of 0.1 ms.
#pragma once
#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "policy/retry_policy.h"

namespace dapplewharf {

/// The final answers that the protocol defines: UP, BUSY, ERR and MOVE.
enum class FinalAnswer { up, busy, error, move };

/// Why a step is not allowed.
enum class Violation {
  unknown_request,
  already_answered,
  client_gone,
  past_deadline,
  attempt_in_flight,
  may_have_run,      // an earlier attempt may have run, and the endpoint would not drop the repeat
  endpoint_leaving,  // it drains or has been removed
};

/// The text of a violation for logs, for example "client gone".
[[nodiscard]] const char* name_of(Violation violation);

/// The records of all requests that this node holds. Every check returns nothing if the step is allowed.
class RequestLedger {
 public:
  /// Opens the record of a request.
  /// @param deadline when its client gives up.
  void open(const std::string& id, const RepeatRule& rule, TimePoint deadline);
  /// Records that the client of this request has disconnected.
  void record_client_disconnect(const std::string& id);
  /// Sets the deadline of every request that has a later one to this time, because the process ends then.
  void expire_by(TimePoint deadline);

  /// Whether an attempt may be started.
  /// @param is_allowed_by_list the endpoint is neither draining nor removed, or may still get this request.
  [[nodiscard]] std::optional<Violation> check_attempt(const std::string& id, const EndpointLocation& target,
                                                       bool is_allowed_by_list, TimePoint now) const;
  /// Whether the attempt in flight may send its first byte. This is checked again because connecting takes
  /// time, in which the deduplication window may end or the endpoint may start to drain.
  [[nodiscard]] std::optional<Violation> check_send(const std::string& id, bool is_allowed_by_list,
                                                    TimePoint now) const;
  /// Whether another attempt may follow one that starts now and is not answered within `timeout`.
  [[nodiscard]] bool may_repeat_after_timeout(const std::string& id, TimePoint now, Duration timeout) const;
  /// Records that an attempt has been started.
  void record_attempt_start(const std::string& id, const EndpointLocation& target, TimePoint now);
  /// Records that the latest attempt has ended.
  void record_attempt_end(const std::string& id, bool may_have_run);

  /// Whether a final answer may be sent. `up` and `move` follow an established attempt; `busy` tells the
  /// client that a repeat does no harm.
  [[nodiscard]] std::optional<Violation> check_answer(const std::string& id, FinalAnswer answer) const;
  /// Records that the final answer has been sent.
  void record_answer(const std::string& id);

  /// Closes the record of a request.
  /// @return whether its client is still waiting for the final answer.
  bool close(const std::string& id);
  [[nodiscard]] std::size_t size() const { return requests_.size(); }

 private:
  struct Record {
    RepeatRule rule;
    TimePoint deadline = 0;
    bool is_answered = false;
    bool is_client_gone = false;
    std::vector<Attempt> attempts;
  };
  /// Returns a violation if the client is not waiting for an answer any more.
  [[nodiscard]] static std::optional<Violation> check_client_is_waiting(const Record& request);

  std::unordered_map<std::string, Record> requests_;
};

}  // namespace dapplewharf
