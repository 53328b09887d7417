#include "emulator/live/gather.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace dapplewharf::emulator {
namespace {

constexpr Duration kLateVoid =
    200 * kMs;  // a rig that was held up for so long has seen nothing it can vouch for
constexpr Duration kHeardLater = 200 * kMs;  // what a host ends is seen by its client within this
constexpr std::size_t kLeastRows = 12;

double seconds(long tenths) {
  return static_cast<double>(tenths) / kSecond;
}

// Adds a span's value to the seconds it lies in.
void spread(Result& result, double value, long from, long to, double Second::*where) {
  for (long at = std::max(0L, from); at < to;) {
    const long next = std::min<long>(to, (at / kSecond + 1) * kSecond);
    result.second(seconds(at)).*where += value * seconds(next - at);
    at = next;
  }
}

// The part of a span that service is counted in.
double counted(const Scenario& scenario, long from, long to) {
  return std::max(0.0,
                  std::min(seconds(to), scenario.duration_s) - std::max(seconds(from), scenario.settle_s));
}

}  // namespace

std::vector<double> costs_of(const std::vector<std::vector<double>>& x, const std::vector<double>& y) {
  const std::size_t n = x.empty() ? 0 : x.front().size();
  std::vector<double> out(n, 0);
  std::set<std::size_t> kept;
  for (std::size_t i = 0; i < n; ++i) {
    kept.insert(i);
  }
  while (!kept.empty()) {  // a cost that comes out below nothing is left out, and the rest worked out anew
    const std::vector<std::size_t> at(kept.begin(), kept.end());
    const std::size_t m = at.size();
    std::vector<std::vector<double>> a(m, std::vector<double>(m + 1, 0));
    for (std::size_t row = 0; row < x.size(); ++row) {
      for (std::size_t i = 0; i < m; ++i) {
        for (std::size_t j = 0; j < m; ++j) {
          a[i][j] += x[row][at[i]] * x[row][at[j]];
        }
        a[i][m] += x[row][at[i]] * y[row];
      }
    }
    bool sound = true;
    for (std::size_t i = 0; i < m && sound; ++i) {
      std::size_t best = i;
      for (std::size_t j = i; j < m; ++j) {
        if (std::abs(a[j][i]) > std::abs(a[best][i])) {
          best = j;
        }
      }
      std::swap(a[i], a[best]);
      sound = std::abs(a[i][i]) > 1e-9;
      for (std::size_t j = 0; j < m && sound; ++j) {
        if (j == i) {
          continue;
        }
        const double by = a[j][i] / a[i][i];
        for (std::size_t k = i; k <= m; ++k) {
          a[j][k] -= by * a[i][k];
        }
      }
    }
    std::fill(out.begin(), out.end(), 0);
    std::size_t worst = n;
    for (std::size_t i = 0; i < m && sound; ++i) {
      out[at[i]] = a[i][m] / a[i][i];
      if (out[at[i]] < 0 && (worst == n || out[at[i]] < out[worst])) {
        worst = at[i];
      }
    }
    if (sound && worst == n) {
      return out;
    }
    kept.erase(sound ? worst : at.back());
    std::fill(out.begin(), out.end(), 0);
  }
  return out;
}

Result result_of(const Scenario& scenario, const Plan& plan, std::uint64_t seed, Gathered gathered) {
  Result result;
  result.driver = "live", result.policy = "node", result.seed = seed;
  result.begin(scenario, plan);
  auto& records = gathered.records;
  // At one time a question goes first and what a client gets last.
  const auto turn = [](Seen kind) {
    return kind == Seen::asked ? 0 : kind == Seen::reply || kind == Seen::ended ? 2 : 1;
  };
  std::stable_sort(records.begin(), records.end(), [&](const Record& a, const Record& b) {
    return a.when != b.when ? a.when < b.when : turn(a.kind) < turn(b.kind);
  });

  std::map<std::string, TimePoint> host_ended;
  std::map<std::string, int> at_host;
  std::map<std::string, int> at_node;
  std::map<int, std::vector<std::pair<TimePoint, bool>>> host_was;
  std::map<int, std::vector<TimePoint>> lost;
  for (const Record& one : records) {
    if (one.kind == Seen::host_ended) {
      host_ended.emplace(one.id, one.when);
    }
    if (one.kind == Seen::try_ran) {
      at_host[one.id] = static_cast<int>(one.a);
    }
    if (one.kind == Seen::asked) {
      at_node[one.id] = static_cast<int>(one.a);
    }
    if (one.kind == Seen::host_is) {
      host_was[static_cast<int>(one.a)].emplace_back(one.when, one.b != 0);
    }
    if (one.kind == Seen::node_lost) {
      lost[static_cast<int>(one.a)].push_back(one.when);
    }
  }
  const auto host_lives = [&](const std::string& id, TimePoint when) {
    if (const auto by_host = host_ended.find(id);
        by_host != host_ended.end() && by_host->second <= when + kHeardLater) {
      return false;
    }
    bool up = true;
    if (const auto host = at_host.find(id); host != at_host.end()) {
      for (const auto& [since, is_up] : host_was[host->second]) {
        if (since <= when) {
          up = is_up;
        }
      }
    }
    return up;
  };
  const auto node_died = [&](const std::string& id, TimePoint when) {
    const auto node = at_node.find(id);
    if (node == at_node.end()) {
      return false;
    }
    for (const TimePoint at : lost[node->second]) {
      if (when >= at - kHeardLater && when <= at + kHeardLater) {
        return true;
      }
    }
    return false;
  };

  bool starved = false;
  Audit audit(scenario, plan, static_cast<Duration>(scenario.timing_slack_ms * kMs));
  std::vector<std::vector<Duration>> setups(static_cast<std::size_t>(scenario.node_count));
  std::vector<std::vector<Duration>> lines = setups;
  for (const Record& one : records) {
    Second& second = result.second(seconds(one.when));
    const int a = static_cast<int>(one.a);
    const int b = static_cast<int>(one.b);
    switch (one.kind) {
      case Seen::asked:
        audit.asked(one.id, a, b, one.when, one.c != 0), ++second.asked;
        setups[static_cast<std::size_t>(a)].push_back(one.when);
        break;
      case Seen::reply: {
        const auto reply = static_cast<Reply>(one.a);
        audit.answered(one.id,
                       reply == Reply::established ? Answered::honoured
                       : reply == Reply::rejected  ? Answered::rejected
                                                   : Answered::scrapped,
                       one.when);
        ++(reply == Reply::established ? second.honoured
           : reply == Reply::rejected  ? second.rejected
                                       : second.scrapped);
        break;
      }
      case Seen::gave_up:
        audit.client_left(one.id, one.when);
        break;
      case Seen::ended: {
        const Ended how = one.a == 0                    ? Ended::by_client
                          : one.a == 1                  ? Ended::moved
                          : node_died(one.id, one.when) ? Ended::node_lost
                                                        : Ended::cut;
        audit.ended(one.id, how, host_lives(one.id, one.when), one.when);
        if (how == Ended::moved) {
          ++second.moved;
        } else if (how != Ended::by_client) {
          ++second.cut;
        }
        break;
      }
      case Seen::bytes:
        audit.bytes(one.id, one.a != 0, one.when);
        break;
      case Seen::wanted:
      case Seen::served: {
        const double value = scenario.traffic_types[static_cast<std::size_t>(a)].value;
        const bool served = one.kind == Seen::served;
        spread(result, value, one.b, one.c, served ? &Second::served : &Second::wanted);
        (served ? result.served : result.wanted) += value * counted(scenario, one.b, one.c);
        break;
      }
      case Seen::standing:
        second.standing = static_cast<double>(one.a);
        break;
      case Seen::line:
        second.message.add(static_cast<double>(one.b) / kMs),
            result.message.add(static_cast<double>(one.b) / kMs);
        lines[static_cast<std::size_t>(a)].push_back(one.when);
        break;
      case Seen::set_up:
        second.setup.add(static_cast<double>(one.b) / kMs),
            result.setup.add(static_cast<double>(one.b) / kMs);
        break;
      case Seen::try_came:
        if (plan.zone_of_node(a, scenario) != plan.hosts[static_cast<std::size_t>(b)].zone) {
          ++result.crossings;
        }
        audit.try_came(one.id, a, b, one.when);
        break;
      case Seen::try_ran:
        audit.try_ran(one.id, a);
        break;
      case Seen::try_over:
        audit.try_over(one.id, a, one.b != 0, one.when);
        break;
      case Seen::pushed:
        audit.pushed(a, static_cast<double>(one.b) / 1000, one.when);
        break;
      case Seen::told:
        audit.told(a, b, one.c != 0, one.when);
        break;
      case Seen::open:
        second.open.resize(plan.hosts.size());
        second.open[static_cast<std::size_t>(a)] = b;
        break;
      case Seen::probe:
        ++result.probes;
        break;
      case Seen::node_lost:
        audit.node_lost(a, one.when);
        break;
      case Seen::node_stops:
        audit.node_stops(a);
        break;
      case Seen::node_new:
        audit.node_new(a);
        break;
      case Seen::late:
        result.late_ms = std::max(result.late_ms, static_cast<double>(one.a) / kMs);
        break;
      case Seen::starved:
        starved = true;
        break;
      case Seen::host_ended:
      case Seen::host_is:
        break;
    }
  }
  audit.finish(records.empty() ? 0 : records.back().when);
  result.take(audit);
  if (starved) {
    result.void_because = "the rig ran out of descriptors, so it turned away what it should have served";
  }
  if (result.late_ms * kMs > static_cast<double>(kLateVoid)) {
    result.void_because = "the rig was held up for " + std::to_string(static_cast<long>(result.late_ms)) +
                          " ms, so what it saw of others is no evidence";
  }

  for (std::size_t n = 0; n < gathered.samples.size(); ++n) {
    NodeFigures& figures = result.nodes.emplace_back();
    const auto& samples = gathered.samples[n];
    std::vector<std::vector<double>> x;
    std::vector<double> y;
    const auto between = [](const std::vector<TimePoint>& times, TimePoint from, TimePoint to) {
      return static_cast<double>(std::lower_bound(times.begin(), times.end(), to) -
                                 std::lower_bound(times.begin(), times.end(), from));
    };
    for (std::size_t i = 0; i < samples.size(); ++i) {
      figures.rss_kib_max = std::max(figures.rss_kib_max, samples[i].rss_kib);
      figures.descriptors_max = std::max(figures.descriptors_max, samples[i].descriptors);
      if (i == 0 || samples[i].cpu_s < samples[i - 1].cpu_s) {
        continue;  // a new process
      }
      const TimePoint from = samples[i - 1].when;
      const TimePoint to = samples[i].when;
      x.push_back({between(setups[n], from, to), between(lines[n], from, to), seconds(to - from)});
      y.push_back(samples[i].cpu_s - samples[i - 1].cpu_s);
      figures.cpu_s += y.back();
    }
    figures.setups = static_cast<int>(setups[n].size());
    figures.lines = static_cast<double>(lines[n].size());
    if (x.size() < kLeastRows) {
      continue;
    }
    const std::vector<double> costs = costs_of(x, y);
    figures.cpu_us_per_setup = costs[0] * 1e6, figures.cpu_us_per_line = costs[1] * 1e6,
    figures.idle_cpu_share = costs[2];
  }
  return result;
}

}  // namespace dapplewharf::emulator
