// EndpointDiscovery: one call at a time for the list or for its changes, and the watch kept on as long as it
// is answered, also over a move to another place or a silence. Owns that one connection and the version of
// the list. While what was missed counts as told soon it asks again by itself; any other loss is told, and
// when to begin a watch anew after one is left to the node.
#pragma once
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <vector>

#include "base/counters.h"
#include "base/event_loop.h"
#include "base/random.h"
#include "base/socket.h"
#include "policy/words.h"

namespace dapplewharf {

struct EndpointSnapshot {
  bool whole = false;
  std::int64_t version = 0;
  std::vector<EndpointEntry> listings;
  std::map<std::string, std::string> addresses;  // of the hosts named
};

// When hosts started, from Unix time to the loop's clock. What came once keeps its place on that clock, so
// that a step of the machine's clock is not taken for a restart of every host.
class Incarnations {
 public:
  Tenths place(const std::string& host, double unix_ms, Tenths now, Tenths unix_now);

 private:
  std::map<std::string, std::pair<double, Tenths>> known_;
};

// Throws where the JSON is not a list.
EndpointSnapshot list_of(const nlohmann::json& from, Incarnations& starts, Tenths now, Tenths unix_now);

class EndpointDiscovery {
 public:
  struct Heard {
    std::function<void(const EndpointSnapshot&)> listed;
    std::function<void()> lost;
  };
  EndpointDiscovery(EventLoop& loop, Counters& counters, std::string address, const Limits& limits,
                    std::uint64_t seed, Heard heard);

  void knows(std::int64_t version) { version_ = version, anew_ = false; }
  void watch();  // from here on, until it is lost
  void fetch();  // the whole list, once
  // Another place from now on: what is out at the old one is given up, the list there is asked for whole.
  void move_to(const std::string& address);

  Incarnations starts;

 private:
  void call(const std::string& target, bool waits);
  void next();
  void dial_out();
  void ready();
  void answered(const std::string& body, bool closes);
  void broken(bool may_be_stale);
  void hang_up();

  EventLoop& loop_;
  Counters& counters_;
  std::string address_;
  const Limits& limits_;
  Heard heard_;
  RandomGenerator chance_;
  std::int64_t version_ = 0;
  bool watching_ = false, fetching_ = false;  // wanted
  bool anew_ = true;                          // nothing is known of this place yet
  bool out_ = false, stale_ = false;          // a call is out; on a connection that served an earlier one
  bool hung_ = false, hung_now_ = false;      // a watch has, and nothing was heard since; in this very call
  Tenths called_at_ = 0;
  Tenths owed_by_ = 0;  // when what was missed counts as told; 0: nothing was
  Socket socket_;
  Handle watched_;
  EventLoop::Deadline deadline_;
  bool connected_ = false;
  std::string request_, in_;
  std::size_t sent_ = 0;
};

}  // namespace dapplewharf
