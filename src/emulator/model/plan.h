// What a scenario and a seed make: hosts, clients and faults, all drawn before a run, so that both drivers
// and every policy meet the same evening. Owns nothing that changes; the same seed gives the same plan on any
// machine.
#pragma once
#include <string>
#include <vector>

#include "emulator/model/scenario.h"

namespace dapplewharf::emulator {

struct PlannedHost {
  std::string id;
  int zone = 0, kind = 0;
  double cores = 1, speed = 1, nominal_size = 1;  // speed is true, size nominal
  double join_time_s = 0;                         // after 0: with fault grow, cold
};

// One client's wish for a connection, from when it first comes until it needs it no more.
struct Session {
  std::uint64_t seed = 0;
  double arrival_s = 0, lifetime_s = 0, load = 1;  // load in mean connections
  int traffic = 0, tenant = -1, group = -1, zone = 0;
  bool honours_retry_after = false;  // comes back when told to
  double patience_ms = 0;            // leaves before its expiry; 0: does not
};

struct PlannedFault {
  Fault fault;
  std::vector<int> hosts, nodes;
};

struct Plan {
  std::vector<PlannedHost> hosts;
  std::vector<Session> sessions;  // by arrival
  std::vector<PlannedFault> faults;
  double mean_load = 1;  // of a connection
  std::string hash;      // of all of the above

  int zone_of_node(int node, const Scenario& scenario) const {
    return node % static_cast<int>(scenario.zones.size());
  }
};

Plan make_plan(const Scenario& scenario, std::uint64_t seed);

// How long each host of a drain is away: all of the span, or in a row with the others.
double drain_duration_s(const Fault& fault);

// A connection's load at a time of its session, in mean connections.
double connection_load_at(const Scenario& scenario, const Session& session, double since_s);

enum class Reply { none, established, rejected, failed, disconnected, migrated };  // what a client has got
// How long a client waits until it comes again, in ms. `failures`: in a row, this one included.
double retry_delay_ms(const Scenario& scenario, const Session& session, Reply got, double retry_after_ms,
                      int failures, std::uint64_t attempt);

std::string request_id_of(const Session& session, int attempt);  // of an attachment, 16 hexadecimal digits
std::string to_hex(std::uint64_t value);

}  // namespace dapplewharf::emulator
