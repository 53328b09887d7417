// The plan of a run: the hosts, clients and faults that a scenario and a seed give, all drawn before the run
// starts. Simulated and live runs and all policies thus meet the same conditions, and the same seed gives the
// same plan on any machine. A plan does not change during a run.
#pragma once
#include <string>
#include <vector>

#include "emulator/model/scenario.h"

namespace dapplewharf::emulator {

/// A host with its endpoint.
struct PlannedHost {
  std::string id;
  int zone = 0;
  int kind = 0;  ///< index into Scenario::host_kinds
  double cores = 1;
  double speed = 1;         ///< the true speed of a core
  double nominal_size = 1;  ///< cores x speed of its kind, as the endpoint list reports it
  double join_time_s = 0;   ///< over 0: a fault `grow` adds it then, as a cold endpoint
};

/// The time for which one client needs a connection.
struct Session {
  std::uint64_t seed = 0;  ///< of the draws for this client
  double arrival_s = 0;    ///< when the client first asks for a connection
  double lifetime_s = 0;   ///< until it needs none any more
  double load = 1;         ///< in mean connections
  int traffic = 0;         ///< index into Scenario::traffic_types
  int tenant = -1;         ///< index into Scenario::tenants; -1: none
  int group = -1;          ///< affinity group; -1: none
  int zone = 0;
  bool honours_retry_after = false;  ///< it retries when the rejection asked for it
  double patience_ms = 0;  ///< it closes its first request after this time; 0: it waits for the deadline
};

struct PlannedFault {
  Fault fault;
  std::vector<int> hosts;  ///< that the fault affects, by index
  std::vector<int> nodes;  ///< that the fault affects, by index
};

struct Plan {
  std::vector<PlannedHost> hosts;
  std::vector<Session> sessions;  ///< in the order of their arrivals
  std::vector<PlannedFault> faults;
  double mean_load = 1;  ///< the mean load of a connection over all traffic types
  std::string hash;      ///< of all of the above and the number of nodes

  /// Nodes are spread over the zones in turn.
  int zone_of_node(int node, const Scenario& scenario) const {
    return node % static_cast<int>(scenario.zones.size());
  }
};

Plan make_plan(const Scenario& scenario, std::uint64_t seed);

/// How long each host of a fault `drain` takes from the begin of its drain until its restart, in seconds.
/// Hosts that drain one after another take less than the duration of the fault.
double drain_duration_s(const Fault& fault);

/// The load of a connection, which changes during its session.
/// @param since_s seconds since the arrival of the session.
/// @return in mean connections.
double connection_load_at(const Scenario& scenario, const Session& session, double since_s);

/// How a request or a connection ended for its client.
enum class Reply {
  none,          ///< no answer until the deadline
  established,   ///< answered with UP
  rejected,      ///< answered with BUSY
  failed,        ///< any other answer
  disconnected,  ///< the connection was lost
  migrated       ///< the client was told to move
};

/// How long a client waits before its next request, in milliseconds.
/// @param retry_after_ms from the rejection; 0 if there was none.
/// @param failures in a row, including this one.
/// @param attempt the number of the request, which selects the random factor of the delay.
double retry_delay_ms(const Scenario& scenario, const Session& session, Reply reply, double retry_after_ms,
                      int failures, std::uint64_t attempt);

/// The id of a client's request, 16 hexadecimal digits.
std::string request_id_of(const Session& session, int attempt);

/// 16 hexadecimal digits.
std::string to_hex(std::uint64_t value);

}  // namespace dapplewharf::emulator
