// Discovery: one call at a time for the list or for its changes, and the watch kept on as long as it is
// answered, also over a move to another place. Owns that one connection and the version of the list; never
// decides when to begin a watch anew: a loss is told and left to the node.
#pragma once
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <vector>

#include "base/counters.h"
#include "base/loop.h"
#include "base/socket.h"
#include "words.h"

namespace dapplewharf {

struct List {
  bool whole = false;
  std::int64_t version = 0;
  std::vector<Listing> listings;
  std::map<std::string, std::string> addresses;  // of the hosts named
};

// When hosts started, from Unix time to the loop's clock. What came once keeps its place on that clock, so
// that a step of the machine's clock is not taken for a restart of every host.
class Starts {
 public:
  Tenths place(const std::string& host, double unix_ms, Tenths now, Tenths unix_now);

 private:
  std::map<std::string, std::pair<double, Tenths>> known_;
};

// Throws where the JSON is not a list.
List list_of(const nlohmann::json& from, Starts& starts, Tenths now, Tenths unix_now);

class Discovery {
 public:
  struct Heard {
    std::function<void(const List&)> listed;
    std::function<void()> lost;
  };
  Discovery(Loop& loop, Counters& counters, std::string address, const Limits& limits, Heard heard);

  void knows(std::int64_t version) { version_ = version, anew_ = false; }
  void watch();  // from here on, until it is lost
  void fetch();  // the whole list, once
  // Another place from now on: what is out at the old one is given up, the list there is asked for whole.
  void move_to(const std::string& address);

  Starts starts;

 private:
  void call(const std::string& target, Tenths patience);
  void next();
  void dial_out();
  void ready();
  void answered(const std::string& body, bool closes);
  void broken(bool may_be_stale);
  void hang_up();

  Loop& loop_;
  Counters& counters_;
  std::string address_;
  const Limits& limits_;
  Heard heard_;
  std::int64_t version_ = 0;
  bool watching_ = false, fetching_ = false;  // wanted
  bool anew_ = true;                          // nothing is known of this place yet
  bool out_ = false, stale_ = false;          // a call is out; on a connection that served an earlier one
  Tenths called_at_ = 0;
  Socket socket_;
  Ticket watched_;
  Loop::Deadline deadline_;
  bool connected_ = false;
  std::string request_, in_;
  std::size_t sent_ = 0;
};

}  // namespace dapplewharf
