// The auditor checks the rules of the protocol from what clients and endpoints observed, never from what a
// node reports of itself. It counts the violations of each rule and keeps the first few; it never influences
// a run. The simulated and the live driver call the same functions, in the order of their times. Times are
// ticks of 0.1 ms since the run began.
#pragma once
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "emulator/model/plan.h"

namespace dapplewharf::emulator {

enum class Rule { final_answer, effect_twice, drain_kept, cold_pushed, bytes_changed, cut_off };
inline constexpr int kRules = 6;
extern const char* const kRuleNames[kRules];

/// What a client's final answer says.
enum class RequestOutcome { succeeded, rejected, failed };

/// How an established connection ended.
enum class ConnectionEnd { by_client, by_endpoint, migrated, cut, node_killed };

/// One violation of a rule.
struct Finding {
  std::string id;  // of the request, or of the endpoint for cold_pushed
  std::string description;
  TimePoint when = 0;
};

/// The violations of one rule.
struct RuleFindings {
  int count = 0;
  std::vector<Finding> first_findings;
};

class Audit {
 public:
  /// @param slack by how much each limit is extended, in ticks; 0 in virtual time.
  Audit(const Scenario& scenario, const Plan& plan, Duration slack);

  /// A client has sent a request.
  /// @param resumed the connection was open at its endpoint before the run and has to be established there
  /// again.
  void on_request_sent(const std::string& id, int node, int traffic, TimePoint when, bool resumed = false);
  void on_answer_received(const std::string& id, RequestOutcome outcome, TimePoint when);
  /// A client has left before its answer.
  void on_client_left(const std::string& id, TimePoint when);
  /// An endpoint has received the first byte of an attempt.
  void on_attempt_received(const std::string& id, int node, int endpoint, TimePoint when);
  /// An endpoint has begun to execute the request of an attempt.
  void on_attempt_executed(const std::string& id, int endpoint);
  void on_attempt_ended(const std::string& id, int endpoint, bool may_have_run, TimePoint when);
  /// The endpoint list has reported an endpoint to a node.
  void on_endpoint_reported(int node, int endpoint, bool leaving, TimePoint when);
  /// A node was killed: no answer is due any more for what it held.
  void on_node_killed(int node, TimePoint when);
  /// A node was told to shut down: it may migrate what it holds.
  void on_node_shutting_down(int node);
  /// A node's process has started; it knows no endpoint list yet.
  void on_node_started(int node);
  /// A cold endpoint was given load.
  /// @param ratio of its load to the load under which it falls over.
  void on_cold_load(int endpoint, double ratio, TimePoint when);
  /// A line has come back to its client.
  /// @param same whether its bytes are those that were sent.
  void on_line_compared(const std::string& id, bool same, TimePoint when);
  void on_connection_ended(const std::string& id, ConnectionEnd end, bool endpoint_alive, TimePoint when);
  /// The run is over: reports each request whose answer is overdue.
  void finish(TimePoint when);

  struct Totals {
    int requests = 0;
    int succeeded = 0;
    int rejected = 0;
    int failed = 0;
    int unanswered = 0;
    int abandoned = 0;  // by clients that left before their answer
  };
  const Totals& totals() const { return totals_; }
  const RuleFindings& findings(Rule rule) const { return findings_[static_cast<int>(rule)]; }
  bool has_violations() const;
  /// The highest ratio of a cold endpoint's load to the load under which it falls over.
  double peak_cold_load_ratio() const { return peak_cold_load_ratio_; }
  int connections_migrated() const { return connections_migrated_; }
  int attempts() const { return attempts_; }

 private:
  struct Attempt {
    int endpoint = 0;
    TimePoint received_at = 0;
    bool in_progress = true;
    bool may_have_run = true;
  };
  struct Request {
    int node = 0;
    int traffic = 0;
    TimePoint sent_at = 0;
    int answers = 0;
    bool answer_due = true;
    bool established = false;
    bool resumed = false;
    std::vector<Attempt> attempts;
  };
  void report_violation(Rule rule, const std::string& id, TimePoint when, std::string description);
  bool may_repeat(const TrafficType& type, const Attempt& first, int endpoint, TimePoint when) const;
  bool may_fail_resumed(const Request& request, TimePoint when) const;
  void report_unanswered(const std::string& id, Request& request, TimePoint when);
  TimePoint answer_deadline(const Request& request) const;

  const Scenario& scenario_;
  const Plan& plan_;
  Duration slack_;
  std::unordered_map<std::string, Request> requests_;
  std::map<std::pair<int, int>, TimePoint> leaving_since_;  // by node and endpoint: since when the node knows
  std::map<int, TimePoint> killed_at_;                      // by node, until a new process starts
  std::map<int, bool> shutting_down_;                       // by node
  std::vector<TimePoint> last_overload_;  // by endpoint: a violation is counted once for each cold start
  RuleFindings findings_[kRules];
  Totals totals_;
  double peak_cold_load_ratio_ = 0;
  int connections_migrated_ = 0, attempts_ = 0;
};

}  // namespace dapplewharf::emulator
