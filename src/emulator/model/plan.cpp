#include "emulator/model/plan.h"

#include <spdlog/fmt/fmt.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstring>

#include "emulator/model/chance.h"

namespace dapplewharf::emulator {
namespace {

constexpr double kLongWait = 5000;  // ms, of a client whose tries are used up
constexpr double kLeastDrain = 4;   // s, that a host drains before the next is half through
constexpr double kAtOnce = 5;       // ms, of one that comes again at once

template <class Things>
std::size_t drawn(RandomStream& stream, const Things& things) {
  double sum = 0;
  for (const auto& thing : things) {
    sum += thing.share;
  }
  double at = stream.next_fraction() * sum;
  for (std::size_t i = 0; i < things.size(); ++i) {
    if ((at -= things[i].share) < 0) {
      return i;
    }
  }
  return things.size() - 1;
}

std::vector<int> some_of(RandomStream& stream, int count, double share) {
  std::vector<int> all(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    all[static_cast<std::size_t>(i)] = i;
  }
  const auto wanted = static_cast<std::size_t>(std::lround(share * count));
  for (std::size_t i = 0; i < wanted; ++i) {
    std::swap(all[i], all[i + stream.index(all.size() - i)]);
  }
  all.resize(wanted);
  std::sort(all.begin(), all.end());
  return all;
}

struct Digest {
  std::string bytes;
  void add(const std::string& text) { bytes += text, bytes += '\n'; }
  void add(double value) { bytes.append(reinterpret_cast<const char*>(&value), sizeof value); }
  template <class EndpointSnapshot>
  void add_all(const EndpointSnapshot& list) {
    for (const auto& one : list) {
      add(static_cast<double>(one));
    }
    add(-0.5);
  }
};

}  // namespace

std::string to_hex(std::uint64_t value) {
  char text[20];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
  return text;
}

std::string request_id_of(const Session& session, int attempt) {
  return to_hex(XXH64(&attempt, sizeof attempt, session.seed));
}

Plan make_plan(const Scenario& scenario, std::uint64_t seed) {
  Plan plan;
  const int zones = static_cast<int>(scenario.zones.size());
  RandomStream of_hosts(seed, "hosts");
  const auto add_host = [&](double join_time_s) {
    PlannedHost host;
    const auto number = plan.hosts.size();
    host.kind = static_cast<int>(drawn(of_hosts, scenario.host_kinds));
    const HostKind& kind = scenario.host_kinds[static_cast<std::size_t>(host.kind)];
    host.id = fmt::format("h{}-{}", number, to_hex(XXH64(&number, sizeof number, seed)).substr(0, 6));
    host.zone = static_cast<int>(number) % zones;
    host.cores = kind.cores;
    host.speed = kind.speed * of_hosts.log_normal_factor(scenario.speed_spread);
    host.nominal_size = kind.cores * kind.speed;
    host.join_time_s = join_time_s;
    plan.hosts.push_back(host);
  };
  for (int i = 0; i < static_cast<int>(scenario.host_count); ++i) {
    add_host(0);
  }

  RandomStream fault_draws(seed, "troubles");
  for (const Fault& fault : scenario.faults) {
    PlannedFault planned{fault, fault.hosts, fault.nodes};
    if (targets_hosts(fault.kind) && planned.hosts.empty()) {
      planned.hosts = some_of(fault_draws, static_cast<int>(scenario.host_count), fault.share);
    }
    if (targets_nodes(fault.kind) && planned.nodes.empty()) {
      planned.nodes = some_of(fault_draws, static_cast<int>(scenario.node_count), fault.share);
    }
    if (fault.kind == FaultKind::scale_out) {
      for (int i = 0; i < static_cast<int>(fault.magnitude); ++i) {
        planned.hosts.push_back(static_cast<int>(plan.hosts.size()));
        add_host(fault.start_s + fault.duration_s * i / fault.magnitude);
      }
    }
    plan.faults.push_back(std::move(planned));
  }

  std::vector<double> sizes;  // of groups, Zipf
  double all = 0;
  for (int i = 0; i < static_cast<int>(scenario.group_count); ++i) {
    sizes.push_back(all += 1 / std::pow(i + 1, scenario.group_skew));
  }
  RandomStream of_groups(seed, "groups");
  std::vector<int> zone_of_group;
  std::vector<int> tenant_of_group;
  for (std::size_t i = 0; i < sizes.size(); ++i) {
    zone_of_group.push_back(static_cast<int>(of_groups.index(static_cast<std::size_t>(zones))));
    tenant_of_group.push_back(
        scenario.tenants.empty() ? -1 : static_cast<int>(drawn(of_groups, scenario.tenants)));
  }
  double share = 0;
  double mean_life = 0;
  double load = 0;
  for (const TrafficType& type : scenario.traffic_types) {
    share += type.share;
    mean_life += type.share * type.mean_lifetime_s;
    load += type.share * type.load * type.mean_lifetime_s;
  }
  mean_life /= share;
  plan.mean_load = load / share / mean_life;
  RandomStream of_clients(seed, "clients");
  const auto add_session = [&](double arrival_s) {
    Session session;
    const std::uint64_t number = plan.sessions.size();
    session.seed = XXH64(&number, sizeof number, seed ^ 0x5e551047);
    session.arrival_s = arrival_s;
    session.traffic = static_cast<int>(drawn(of_clients, scenario.traffic_types));
    const TrafficType& type = scenario.traffic_types[static_cast<std::size_t>(session.traffic)];
    session.lifetime_s = std::max(0.5, of_clients.exponential(type.mean_lifetime_s));
    for (const Fault& fault : scenario.faults) {  // a hush: nobody comes and nobody goes
      if (const double ends = arrival_s + session.lifetime_s; fault.kind == FaultKind::quiet_period &&
                                                              ends >= fault.start_s &&
                                                              ends < fault.start_s + fault.duration_s) {
        session.lifetime_s += fault.start_s + fault.duration_s - ends;
      }
    }
    session.load = type.load * of_clients.log_normal_factor(scenario.load_spread);
    const double at = of_clients.next_fraction() * all;
    if (!sizes.empty()) {
      session.group = static_cast<int>(std::lower_bound(sizes.begin(), sizes.end(), at) - sizes.begin());
      session.zone = zone_of_group[static_cast<std::size_t>(session.group)];
      session.tenant = tenant_of_group[static_cast<std::size_t>(session.group)];
    } else {
      session.zone = static_cast<int>(of_clients.index(static_cast<std::size_t>(zones)));
      if (!scenario.tenants.empty()) {
        session.tenant = static_cast<int>(drawn(of_clients, scenario.tenants));
      }
    }
    session.honours_retry_after = of_clients.next_fraction() < scenario.retry_after_honoured_share;
    const double leaves = of_clients.next_fraction();
    const double when = of_clients.next_fraction();
    if (leaves < scenario.early_leave_share) {
      session.patience_ms = type.expiry_ms * (0.2 + 0.7 * when);
    }
    plan.sessions.push_back(session);
  };
  for (int i = 0; i < static_cast<int>(scenario.initial_clients); ++i) {
    add_session(scenario.ramp_s * of_clients.next_fraction());
  }
  const double usual =
      scenario.arrivals_per_s < 0 ? scenario.initial_clients / mean_life : scenario.arrivals_per_s;
  double most = 1;
  for (const Fault& fault : scenario.faults) {
    if (fault.kind == FaultKind::burst) {
      most *= fault.magnitude;
    }
  }
  RandomStream of_arrivals(seed, "arrivals");
  for (double at = scenario.ramp_s; usual > 0;) {
    at += of_arrivals.exponential(1 / (usual * most));
    if (at >= scenario.duration_s) {
      break;
    }
    double here = 1;
    for (const Fault& fault : scenario.faults) {
      const bool on = at >= fault.start_s && at < fault.start_s + fault.duration_s;
      if (fault.kind == FaultKind::burst && on) {
        here *= fault.magnitude;
      }
      if (fault.kind == FaultKind::quiet_period && on) {
        here = 0;
      }
    }
    if (of_arrivals.next_fraction() * most < here) {
      add_session(at);
    }
  }
  std::stable_sort(plan.sessions.begin(), plan.sessions.end(),
                   [](const Session& a, const Session& b) { return a.arrival_s < b.arrival_s; });

  Digest digest;
  digest.add(static_cast<double>(scenario.node_count));
  for (const PlannedHost& host : plan.hosts) {
    digest.add(host.id);
    for (const double one : {host.cores, host.speed, host.nominal_size, host.join_time_s}) {
      digest.add(one);
    }
  }
  for (const Session& one : plan.sessions) {
    digest.add(to_hex(one.seed));
    for (const double figure : {one.arrival_s, one.lifetime_s, one.load, one.patience_ms, 1.0 * one.traffic,
                                1.0 * one.tenant, 1.0 * one.group, 1.0 * one.zone}) {
      digest.add(figure);
    }
  }
  for (const PlannedFault& one : plan.faults) {
    digest.add(one.fault.name);
    for (const double figure : {one.fault.start_s, one.fault.duration_s, one.fault.magnitude}) {
      digest.add(figure);
    }
    digest.add_all(one.hosts), digest.add_all(one.nodes);
  }
  plan.hash = to_hex(XXH64(digest.bytes.data(), digest.bytes.size(), 0));
  return plan;
}

double drain_duration_s(const Fault& fault) {
  if (fault.interval_s <= 0) {
    return fault.duration_s;
  }
  return std::min(fault.duration_s, std::max(kLeastDrain, 2 * fault.interval_s));
}

double connection_load_at(const Scenario& scenario, const Session& session, double since_s) {
  const auto epoch = static_cast<std::uint64_t>(std::max(0.0, since_s) / scenario.load_change_interval_s);
  if (scenario.load_swing == 0) {
    return session.load;
  }
  const double radius = std::sqrt(-2 * std::log(1 - stable_fraction(session.seed, 2 * epoch)));
  const double normal = radius * std::cos(6.283185307179586 * stable_fraction(session.seed, 2 * epoch + 1));
  return session.load *
         std::exp(scenario.load_swing * normal - scenario.load_swing * scenario.load_swing / 2);
}

double retry_delay_ms(const Scenario& scenario, const Session& session, Reply got, double retry_after_ms,
                      int failures, std::uint64_t attempt) {
  const double chance = 0.5 + stable_fraction(session.seed, 0xa9a10000 + attempt);  // 0.5 to 1.5
  if (got == Reply::disconnected || got == Reply::migrated) {
    return scenario.reconnect_delay_ms * chance;
  }
  if (got == Reply::rejected && retry_after_ms > 0 && session.honours_retry_after) {
    return retry_after_ms;
  }
  if (failures > scenario.max_quick_retries || scenario.backoff == "none") {
    return kLongWait * chance;
  }
  if (scenario.backoff == "at_once") {
    return kAtOnce;
  }
  return scenario.backoff_ms * chance * std::pow(2, std::min(failures - 1, 6));
}

}  // namespace dapplewharf::emulator
