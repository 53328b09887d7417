// The auditor: the rules, counted from what hosts and clients saw and never from what a node says of itself.
// Owns the counts and the first few cases of each; never steers a run. Both drivers feed it the same calls,
// in the order of their times; times are tenths of a run's own clock.
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

enum class Answered { honoured, rejected, scrapped };
enum class Ended { by_client, by_host, moved, cut, node_lost };

struct Case {
  std::string id, what;
  TimePoint when = 0;
};

struct Found {  // of one rule
  int count = 0;
  std::vector<Case> first;
};

class Audit {
 public:
  // `slack`: by how much each limit is longer; 0 in virtual time.
  Audit(const Scenario& scenario, const Plan& plan, Duration slack);

  // `resumed`: it stood at its host before the run, and is to come up again there.
  void asked(const std::string& id, int node, int traffic, TimePoint when, bool resumed = false);
  void answered(const std::string& id, Answered answer, TimePoint when);
  void client_left(const std::string& id, TimePoint when);  // before its answer: nothing is owed any more
  void try_came(const std::string& id, int node, int host, TimePoint when);  // to the host, its first byte
  void try_ran(const std::string& id, int host);
  void try_over(const std::string& id, int host, bool may_have_run, TimePoint when);
  void told(int node, int host, bool leaving, TimePoint when);  // by the list
  void node_lost(int node, TimePoint when);                     // killed: what it had taken is owed nothing
  void node_stops(int node);                                    // told to end: it may move what it holds
  void node_new(int node);                                      // a fresh process knows no list yet
  void pushed(int host, double ratio, TimePoint when);
  void bytes(const std::string& id, bool same, TimePoint when);
  void ended(const std::string& id, Ended how, bool host_lives, TimePoint when);
  void finish(TimePoint when);

  struct Totals {
    int asked = 0, honoured = 0, rejected = 0, scrapped = 0, unanswered = 0, left = 0;
  };
  const Totals& totals() const { return totals_; }
  const Found& found(Rule rule) const { return found_[static_cast<int>(rule)]; }
  bool broken() const;
  double peak_push() const { return peak_push_; }
  int moved() const { return moved_; }
  int tries() const { return tries_; }

 private:
  struct Attempt {
    int host = 0;
    TimePoint since = 0;
    bool out = true, may_have_run = true;
  };
  struct Request {
    int node = 0, traffic = 0;
    TimePoint asked = 0;
    int answers = 0;
    bool owed = true, standing = false, resumed = false;
    std::vector<Attempt> tries;
  };
  void breach(Rule rule, const std::string& id, TimePoint when, std::string what);
  bool drops_repeats(const TrafficType& type, const Attempt& first, int host, TimePoint when) const;
  bool may_end_resumed(const Request& held, TimePoint when) const;
  void overdue(const std::string& id, Request& held, TimePoint when);
  TimePoint expiry(const Request& held) const;

  const Scenario& scenario_;
  const Plan& plan_;
  Duration slack_;
  std::unordered_map<std::string, Request> held_;
  std::map<std::pair<int, int>, TimePoint> leaving_;  // node and host: since when the node knows
  std::map<int, TimePoint> killed_;                   // nodes, and when; until a new process begins
  std::map<int, bool> stopping_;                      // nodes
  std::vector<TimePoint> fallen_;                     // by host: a breach is counted once for each cold start
  Found found_[kRules];
  Totals totals_;
  double peak_push_ = 0;
  int moved_ = 0, tries_ = 0;
};

}  // namespace dapplewharf::emulator
