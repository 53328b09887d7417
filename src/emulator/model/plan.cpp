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
std::size_t drawn(Stream& stream, const Things& things) {
  double sum = 0;
  for (const auto& thing : things) {
    sum += thing.share;
  }
  double at = stream.share() * sum;
  for (std::size_t i = 0; i < things.size(); ++i) {
    if ((at -= things[i].share) < 0) {
      return i;
    }
  }
  return things.size() - 1;
}

std::vector<int> some_of(Stream& stream, int count, double share) {
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

std::string hex(std::uint64_t value) {
  char text[20];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
  return text;
}

std::string id_of(const Session& session, int attempt) {
  return hex(XXH64(&attempt, sizeof attempt, session.seed));
}

Plan plan_of(const Scenario& scenario, std::uint64_t seed) {
  Plan plan;
  const int zones = static_cast<int>(scenario.zones.size());
  Stream of_hosts(seed, "hosts");
  const auto add_host = [&](double joins_s) {
    PlannedHost host;
    const auto number = plan.hosts.size();
    host.kind = static_cast<int>(drawn(of_hosts, scenario.kinds));
    const HostKind& kind = scenario.kinds[static_cast<std::size_t>(host.kind)];
    host.id = fmt::format("h{}-{}", number, hex(XXH64(&number, sizeof number, seed)).substr(0, 6));
    host.zone = static_cast<int>(number) % zones;
    host.cores = kind.cores;
    host.speed = kind.speed * of_hosts.around_one(scenario.speed_spread);
    host.size = kind.cores * kind.speed;
    host.joins_s = joins_s;
    plan.hosts.push_back(host);
  };
  for (int i = 0; i < static_cast<int>(scenario.hosts); ++i) {
    add_host(0);
  }

  Stream fault_draws(seed, "troubles");
  for (const Fault& fault : scenario.faults) {
    PlannedFault planned{fault, fault.hosts, fault.nodes};
    if (names_hosts(fault.kind) && planned.hosts.empty()) {
      planned.hosts = some_of(fault_draws, static_cast<int>(scenario.hosts), fault.share);
    }
    if (names_nodes(fault.kind) && planned.nodes.empty()) {
      planned.nodes = some_of(fault_draws, static_cast<int>(scenario.nodes), fault.share);
    }
    if (fault.kind == FaultKind::grow) {
      for (int i = 0; i < static_cast<int>(fault.size); ++i) {
        planned.hosts.push_back(static_cast<int>(plan.hosts.size()));
        add_host(fault.at_s + fault.for_s * i / fault.size);
      }
    }
    plan.faults.push_back(std::move(planned));
  }

  std::vector<double> sizes;  // of groups, Zipf
  double all = 0;
  for (int i = 0; i < static_cast<int>(scenario.groups); ++i) {
    sizes.push_back(all += 1 / std::pow(i + 1, scenario.group_skew));
  }
  Stream of_groups(seed, "groups");
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
  for (const Traffic& type : scenario.traffic) {
    share += type.share;
    mean_life += type.share * type.life_s;
    load += type.share * type.load * type.life_s;
  }
  mean_life /= share;
  plan.mean_load = load / share / mean_life;
  Stream of_clients(seed, "clients");
  const auto add_session = [&](double arrive_s) {
    Session session;
    const std::uint64_t number = plan.sessions.size();
    session.seed = XXH64(&number, sizeof number, seed ^ 0x5e551047);
    session.arrive_s = arrive_s;
    session.traffic = static_cast<int>(drawn(of_clients, scenario.traffic));
    const Traffic& type = scenario.traffic[static_cast<std::size_t>(session.traffic)];
    session.life_s = std::max(0.5, of_clients.exponential(type.life_s));
    for (const Fault& fault : scenario.faults) {  // a hush: nobody comes and nobody goes
      if (const double ends = arrive_s + session.life_s;
          fault.kind == FaultKind::hush && ends >= fault.at_s && ends < fault.at_s + fault.for_s) {
        session.life_s += fault.at_s + fault.for_s - ends;
      }
    }
    session.load = type.load * of_clients.around_one(scenario.load_spread);
    const double at = of_clients.share() * all;
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
    session.honours = of_clients.share() < scenario.honour;
    const double leaves = of_clients.share();
    const double when = of_clients.share();
    if (leaves < scenario.leave) {
      session.patience_ms = type.expiry_ms * (0.2 + 0.7 * when);
    }
    plan.sessions.push_back(session);
  };
  for (int i = 0; i < static_cast<int>(scenario.standing); ++i) {
    add_session(scenario.ramp_s * of_clients.share());
  }
  const double usual = scenario.arrivals_per_s < 0 ? scenario.standing / mean_life : scenario.arrivals_per_s;
  double most = 1;
  for (const Fault& fault : scenario.faults) {
    if (fault.kind == FaultKind::burst) {
      most *= fault.size;
    }
  }
  Stream of_arrivals(seed, "arrivals");
  for (double at = scenario.ramp_s; usual > 0;) {
    at += of_arrivals.exponential(1 / (usual * most));
    if (at >= scenario.duration_s) {
      break;
    }
    double here = 1;
    for (const Fault& fault : scenario.faults) {
      const bool on = at >= fault.at_s && at < fault.at_s + fault.for_s;
      if (fault.kind == FaultKind::burst && on) {
        here *= fault.size;
      }
      if (fault.kind == FaultKind::hush && on) {
        here = 0;
      }
    }
    if (of_arrivals.share() * most < here) {
      add_session(at);
    }
  }
  std::stable_sort(plan.sessions.begin(), plan.sessions.end(),
                   [](const Session& a, const Session& b) { return a.arrive_s < b.arrive_s; });

  Digest digest;
  digest.add(static_cast<double>(scenario.nodes));
  for (const PlannedHost& host : plan.hosts) {
    digest.add(host.id);
    for (const double one : {host.cores, host.speed, host.size, host.joins_s}) {
      digest.add(one);
    }
  }
  for (const Session& one : plan.sessions) {
    digest.add(hex(one.seed));
    for (const double figure : {one.arrive_s, one.life_s, one.load, one.patience_ms, 1.0 * one.traffic,
                                1.0 * one.tenant, 1.0 * one.group, 1.0 * one.zone}) {
      digest.add(figure);
    }
  }
  for (const PlannedFault& one : plan.faults) {
    digest.add(one.fault.name);
    for (const double figure : {one.fault.at_s, one.fault.for_s, one.fault.size}) {
      digest.add(figure);
    }
    digest.add_all(one.hosts), digest.add_all(one.nodes);
  }
  plan.hash = hex(XXH64(digest.bytes.data(), digest.bytes.size(), 0));
  return plan;
}

double drain_lasts_s(const Fault& fault) {
  if (fault.every_s <= 0) {
    return fault.for_s;
  }
  return std::min(fault.for_s, std::max(kLeastDrain, 2 * fault.every_s));
}

double load_at(const Scenario& scenario, const Session& session, double since_s) {
  const auto epoch = static_cast<std::uint64_t>(std::max(0.0, since_s) / scenario.change_s);
  if (scenario.swing == 0) {
    return session.load;
  }
  const double radius = std::sqrt(-2 * std::log(1 - fixed_share(session.seed, 2 * epoch)));
  const double normal = radius * std::cos(6.283185307179586 * fixed_share(session.seed, 2 * epoch + 1));
  return session.load * std::exp(scenario.swing * normal - scenario.swing * scenario.swing / 2);
}

double comes_again_ms(const Scenario& scenario, const Session& session, Reply got, double told_ms,
                      int failures, std::uint64_t attempt) {
  const double chance = 0.5 + fixed_share(session.seed, 0xa9a10000 + attempt);  // 0.5 to 1.5
  if (got == Reply::cut || got == Reply::moved) {
    return scenario.rejoin_ms * chance;
  }
  if (got == Reply::busy && told_ms > 0 && session.honours) {
    return told_ms;
  }
  if (failures > scenario.retries || scenario.backoff == "none") {
    return kLongWait * chance;
  }
  if (scenario.backoff == "at_once") {
    return kAtOnce;
  }
  return scenario.backoff_ms * chance * std::pow(2, std::min(failures - 1, 6));
}

}  // namespace dapplewharf::emulator
