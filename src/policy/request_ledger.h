// What this node has done with each request that it holds, and the one place that says whether an attempt may
// begin, a final answer may go out or a request may be closed now. It stands behind the decisions
// (LoadBalancer, ReconnectPolicy) and checks them against the four rules on their way to the sockets: what it
// refuses is not done, is counted as a violation and told, with the reason. Owns the record of attempts by
// request id; pure, with the caller's clock in tenths of a millisecond.
#pragma once
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "policy/retry_policy.h"

namespace dapplewharf {

enum class FinalAnswer { up, busy, error, move };

enum class Violation {
  none,
  unknown_request,
  already_answered,
  client_gone,
  past_deadline,
  attempt_out,
  effect_may_repeat,
  host_is_leaving,
};
const char* name_of(Violation refusal);

class RequestLedger {
 public:
  // `deadline`: when its client has stopped waiting.
  void open(const std::string& id, const RepeatRule& rule, Tenths deadline);
  void client_left(const std::string& id);
  void expire_by(Tenths deadline);  // no request is owed an answer later: the process ends

  // An attempt. `allowed_by_list`: the host is neither draining nor removed, or may be sent this all the
  // same.
  Violation may_begin(const std::string& id, const EndpointLocation& to, bool allowed_by_list,
                      Tenths now) const;
  // Just before the first byte of the attempt that is out: whether what allowed it still holds. Connecting
  // may have taken long.
  Violation may_send(const std::string& id, bool allowed_by_list, Tenths now) const;
  void begun(const std::string& id, const EndpointLocation& to, Tenths now);
  void ended(const std::string& id, bool may_have_run);

  // A final answer. `up` and `move` follow an attempt that stands; `busy` says that a repeat is harmless.
  Violation may_answer(const std::string& id, FinalAnswer answer) const;
  void answered(const std::string& id);

  // The request is no longer held. Returns whether it was owed an answer that nobody gave.
  bool close(const std::string& id);
  std::size_t size() const { return requests_.size(); }

 private:
  struct Attempt {
    EndpointLocation to;
    Tenths since = 0;
    bool out = true, may_have_run = true;
  };
  struct Request {
    RepeatRule rule;
    Tenths deadline = 0;
    bool answered = false, client_gone = false;
    std::vector<Attempt> attempts;
  };
  static Violation effect_allows(const Request& request, std::size_t attempts, const EndpointLocation& to,
                                 Tenths now);
  static bool repeat_is_dropped(const RepeatRule& rule, const Attempt& earlier, const EndpointLocation& to,
                                Tenths now);

  std::unordered_map<std::string, Request> requests_;
};

}  // namespace dapplewharf
