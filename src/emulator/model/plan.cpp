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

constexpr double kExhaustedRetryDelayMs = 5000;  // of a client that has used up its quick retries
constexpr double kMinDrainS = 4;                 // of a host, where hosts drain one after another
constexpr double kImmediateRetryDelayMs = 5;     // of a client that retries at once

// Draws an index with probabilities in proportion to the items' shares.
template <class Items>
std::size_t draw_by_share(RandomStream& stream, const Items& items) {
  double sum = 0;
  for (const auto& item : items) {
    sum += item.share;
  }
  double position = stream.next_fraction() * sum;
  for (std::size_t i = 0; i < items.size(); ++i) {
    if ((position -= items[i].share) < 0) {
      return i;
    }
  }
  return items.size() - 1;
}

// Draws a share of the numbers below `count`, in ascending order.
std::vector<int> draw_indices(RandomStream& stream, int count, double share) {
  std::vector<int> all(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    all[static_cast<std::size_t>(i)] = i;
  }
  const auto selected = static_cast<std::size_t>(std::lround(share * count));
  for (std::size_t i = 0; i < selected; ++i) {
    std::swap(all[i], all[i + stream.index(all.size() - i)]);
  }
  all.resize(selected);
  std::sort(all.begin(), all.end());
  return all;
}

// Collects the bytes that the hash of a plan is computed from.
struct Digest {
  std::string bytes;
  void add(const std::string& text) { bytes += text, bytes += '\n'; }
  void add(double value) { bytes.append(reinterpret_cast<const char*>(&value), sizeof value); }
  template <class Values>
  void add_all(const Values& values) {
    for (const auto value : values) {
      add(static_cast<double>(value));
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
  RandomStream host_draws(seed, "hosts");
  const auto add_host = [&](double join_time_s) {
    PlannedHost host;
    const auto number = plan.hosts.size();
    host.kind = static_cast<int>(draw_by_share(host_draws, scenario.host_kinds));
    const HostKind& kind = scenario.host_kinds[static_cast<std::size_t>(host.kind)];
    host.id = fmt::format("h{}-{}", number, to_hex(XXH64(&number, sizeof number, seed)).substr(0, 6));
    host.zone = static_cast<int>(number) % zones;
    host.cores = kind.cores;
    host.speed = kind.speed * host_draws.log_normal_factor(scenario.speed_spread);
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
      planned.hosts = draw_indices(fault_draws, static_cast<int>(scenario.host_count), fault.share);
    }
    if (targets_nodes(fault.kind) && planned.nodes.empty()) {
      planned.nodes = draw_indices(fault_draws, static_cast<int>(scenario.node_count), fault.share);
    }
    if (fault.kind == FaultKind::scale_out) {
      for (int i = 0; i < static_cast<int>(fault.magnitude); ++i) {
        planned.hosts.push_back(static_cast<int>(plan.hosts.size()));
        add_host(fault.start_s + fault.duration_s * i / fault.magnitude);
      }
    }
    plan.faults.push_back(std::move(planned));
  }

  std::vector<double> cumulative_sizes;  // of groups, with a Zipf distribution
  double size_sum = 0;
  for (int i = 0; i < static_cast<int>(scenario.group_count); ++i) {
    cumulative_sizes.push_back(size_sum += 1 / std::pow(i + 1, scenario.group_skew));
  }
  RandomStream group_draws(seed, "groups");
  std::vector<int> zone_of_group;
  std::vector<int> tenant_of_group;
  for (std::size_t i = 0; i < cumulative_sizes.size(); ++i) {
    zone_of_group.push_back(static_cast<int>(group_draws.index(static_cast<std::size_t>(zones))));
    tenant_of_group.push_back(
        scenario.tenants.empty() ? -1 : static_cast<int>(draw_by_share(group_draws, scenario.tenants)));
  }
  double total_share = 0;
  double mean_lifetime_s = 0;
  double load = 0;
  for (const TrafficType& type : scenario.traffic_types) {
    total_share += type.share;
    mean_lifetime_s += type.share * type.mean_lifetime_s;
    load += type.share * type.load * type.mean_lifetime_s;
  }
  mean_lifetime_s /= total_share;
  plan.mean_load = load / total_share / mean_lifetime_s;
  RandomStream client_draws(seed, "clients");
  const auto add_session = [&](double arrival_s) {
    Session session;
    const std::uint64_t number = plan.sessions.size();
    session.seed = XXH64(&number, sizeof number, seed ^ 0x5e551047);
    session.arrival_s = arrival_s;
    session.traffic = static_cast<int>(draw_by_share(client_draws, scenario.traffic_types));
    const TrafficType& type = scenario.traffic_types[static_cast<std::size_t>(session.traffic)];
    session.lifetime_s = std::max(0.5, client_draws.exponential(type.mean_lifetime_s));
    for (const Fault& fault : scenario.faults) {  // no session ends in a quiet period
      if (const double ends = arrival_s + session.lifetime_s; fault.kind == FaultKind::quiet_period &&
                                                              ends >= fault.start_s &&
                                                              ends < fault.start_s + fault.duration_s) {
        session.lifetime_s += fault.start_s + fault.duration_s - ends;
      }
    }
    session.load = type.load * client_draws.log_normal_factor(scenario.load_spread);
    const double group_position = client_draws.next_fraction() * size_sum;
    if (!cumulative_sizes.empty()) {
      session.group = static_cast<int>(
          std::lower_bound(cumulative_sizes.begin(), cumulative_sizes.end(), group_position) -
          cumulative_sizes.begin());
      session.zone = zone_of_group[static_cast<std::size_t>(session.group)];
      session.tenant = tenant_of_group[static_cast<std::size_t>(session.group)];
    } else {
      session.zone = static_cast<int>(client_draws.index(static_cast<std::size_t>(zones)));
      if (!scenario.tenants.empty()) {
        session.tenant = static_cast<int>(draw_by_share(client_draws, scenario.tenants));
      }
    }
    session.honours_retry_after = client_draws.next_fraction() < scenario.retry_after_honoured_share;
    const double leave_draw = client_draws.next_fraction();
    const double patience_draw = client_draws.next_fraction();
    if (leave_draw < scenario.early_leave_share) {
      session.patience_ms = type.expiry_ms * (0.2 + 0.7 * patience_draw);
    }
    plan.sessions.push_back(session);
  };
  for (int i = 0; i < static_cast<int>(scenario.initial_clients); ++i) {
    add_session(scenario.ramp_s * client_draws.next_fraction());
  }
  const double base_rate =
      scenario.arrivals_per_s < 0 ? scenario.initial_clients / mean_lifetime_s : scenario.arrivals_per_s;
  double max_factor = 1;
  for (const Fault& fault : scenario.faults) {
    if (fault.kind == FaultKind::burst) {
      max_factor *= fault.magnitude;
    }
  }
  RandomStream arrival_draws(seed, "arrivals");
  for (double at = scenario.ramp_s; base_rate > 0;) {
    at += arrival_draws.exponential(1 / (base_rate * max_factor));
    if (at >= scenario.duration_s) {
      break;
    }
    double factor = 1;
    for (const Fault& fault : scenario.faults) {
      const bool on = at >= fault.start_s && at < fault.start_s + fault.duration_s;
      if (fault.kind == FaultKind::burst && on) {
        factor *= fault.magnitude;
      }
      if (fault.kind == FaultKind::quiet_period && on) {
        factor = 0;
      }
    }
    if (arrival_draws.next_fraction() * max_factor < factor) {
      add_session(at);
    }
  }
  std::stable_sort(plan.sessions.begin(), plan.sessions.end(),
                   [](const Session& a, const Session& b) { return a.arrival_s < b.arrival_s; });

  Digest digest;
  digest.add(static_cast<double>(scenario.node_count));
  for (const PlannedHost& host : plan.hosts) {
    digest.add(host.id);
    for (const double value : {host.cores, host.speed, host.nominal_size, host.join_time_s}) {
      digest.add(value);
    }
  }
  for (const Session& session : plan.sessions) {
    digest.add(to_hex(session.seed));
    for (const double value :
         {session.arrival_s, session.lifetime_s, session.load, session.patience_ms, 1.0 * session.traffic,
          1.0 * session.tenant, 1.0 * session.group, 1.0 * session.zone}) {
      digest.add(value);
    }
  }
  for (const PlannedFault& planned : plan.faults) {
    digest.add(planned.fault.name);
    for (const double value : {planned.fault.start_s, planned.fault.duration_s, planned.fault.magnitude}) {
      digest.add(value);
    }
    digest.add_all(planned.hosts), digest.add_all(planned.nodes);
  }
  plan.hash = to_hex(XXH64(digest.bytes.data(), digest.bytes.size(), 0));
  return plan;
}

double drain_duration_s(const Fault& fault) {
  if (fault.interval_s <= 0) {
    return fault.duration_s;
  }
  return std::min(fault.duration_s, std::max(kMinDrainS, 2 * fault.interval_s));
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

double retry_delay_ms(const Scenario& scenario, const Session& session, Reply reply, double retry_after_ms,
                      int failures, std::uint64_t attempt) {
  const double jitter = 0.5 + stable_fraction(session.seed, 0xa9a10000 + attempt);  // from 0.5 to 1.5
  if (reply == Reply::disconnected || reply == Reply::migrated) {
    return scenario.reconnect_delay_ms * jitter;
  }
  if (reply == Reply::rejected && retry_after_ms > 0 && session.honours_retry_after) {
    return retry_after_ms;
  }
  if (failures > scenario.max_quick_retries || scenario.backoff == "none") {
    return kExhaustedRetryDelayMs * jitter;
  }
  if (scenario.backoff == "at_once") {
    return kImmediateRetryDelayMs;
  }
  return scenario.backoff_ms * jitter * std::pow(2, std::min(failures - 1, 6));
}

}  // namespace dapplewharf::emulator
