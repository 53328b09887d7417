// What this node has done with each request, and the check of every step on its way to the sockets against
// the rules of docs/design.md ("The four rules") that concern one request:
//   - One final answer, then silence: a request gets exactly one unless its client has gone; no attempt
//     starts after it, after the deadline or while another attempt is in flight.
//   - No effect twice: what may have run is repeated only where the repeat is dropped (retry_policy.h).
//   - Drains: nothing new goes to an endpoint that leaves.
// The fourth rule, on endpoints in slow start, is kept by the decisions alone.
// The ledger stands behind the decisions (LoadBalancer, ReconnectPolicy): what it refuses is not done, and
// its caller counts and logs the violation. Owns the record of attempts by request id; pure, with the
// caller's clock in ticks of 0.1 ms. Design: docs/design.md.
#pragma once
#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "policy/retry_policy.h"

namespace dapplewharf {

enum class FinalAnswer { up, busy, error, move };

/// The rule that a step would have broken.
enum class Violation {
  unknown_request,
  already_answered,
  client_gone,
  past_deadline,
  attempt_in_flight,
  may_have_run,  // an earlier attempt may have run, and a repeat would not be dropped
  endpoint_leaving,
};

/// The text of a violation for logs, for example "client gone".
[[nodiscard]] const char* name_of(Violation violation);

/// The record of all requests that this node holds. Every check returns nothing when the step is allowed.
class RequestLedger {
 public:
  /// Begins the record of a request.
  /// @param deadline when its client has stopped waiting.
  void open(const std::string& id, const RepeatRule& rule, TimePoint deadline);
  /// The client of this request has closed its connection.
  void client_left(const std::string& id);
  /// Brings all deadlines forward to this one at the latest, because the process ends then.
  void expire_by(TimePoint deadline);

  /// Whether an attempt may be started.
  /// @param allowed_by_list the endpoint is neither draining nor removed, or may be sent this all the same.
  [[nodiscard]] std::optional<Violation> check_attempt(const std::string& id, const EndpointLocation& target,
                                                       bool allowed_by_list, TimePoint now) const;
  /// Whether the attempt in flight may send its first byte: connecting may have taken so long that what
  /// allowed the attempt no longer holds.
  [[nodiscard]] std::optional<Violation> check_send(const std::string& id, bool allowed_by_list,
                                                    TimePoint now) const;
  /// An attempt has been started.
  void begun(const std::string& id, const EndpointLocation& target, TimePoint now);
  /// The latest attempt has ended.
  void ended(const std::string& id, bool may_have_run);

  /// Whether a final answer may be given. `up` and `move` follow an established attempt; `busy` says that a
  /// repeat is harmless.
  [[nodiscard]] std::optional<Violation> check_answer(const std::string& id, FinalAnswer answer) const;
  /// The final answer has been given.
  void answered(const std::string& id);

  /// Ends the record of a request.
  /// @return whether it was owed an answer that nobody gave.
  bool close(const std::string& id);
  [[nodiscard]] std::size_t size() const { return requests_.size(); }

 private:
  struct Record {
    RepeatRule rule;
    TimePoint deadline = 0;
    bool answered = false;
    bool client_gone = false;
    std::vector<Attempt> attempts;
  };
  /// What stands against an attempt of this request because its client awaits no answer any more.
  [[nodiscard]] static std::optional<Violation> check_awaits_answer(const Record& request);

  std::unordered_map<std::string, Record> requests_;
};

}  // namespace dapplewharf
