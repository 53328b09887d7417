#include "emulator/live/gather.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace dapplewharf::emulator {
namespace {

/// A rig whose event loops ran later than this has wrong times in its records, so its run is void.
constexpr Duration kMaxRigLateness = 200 * kMs;
/// A client notices within this that an endpoint or a killed node has closed its connection.
constexpr Duration kCloseNoticeDelay = 200 * kMs;
constexpr std::size_t kMinSamples = 12;  // for an estimate of costs

double to_seconds(long ticks) {
  return static_cast<double>(ticks) / kSecond;
}

/// Adds a value per second to each second of the run between two times, in ticks.
void add_value(Result& result, double value_per_s, long from, long to, double Second::*total) {
  for (long start = std::max(0L, from); start < to;) {
    const long end = std::min<long>(to, (start / kSecond + 1) * kSecond);
    result.second_at(to_seconds(start)).*total += value_per_s * to_seconds(end - start);
    start = end;
  }
}

/// How many seconds between two times, in ticks, lie in the part of the run for which service is computed.
double counted_seconds(const Scenario& scenario, long from, long to) {
  return std::max(
      0.0, std::min(to_seconds(to), scenario.duration_s) - std::max(to_seconds(from), scenario.settle_s));
}

}  // namespace

std::vector<double> estimate_costs(const std::vector<std::vector<double>>& work,
                                   const std::vector<double>& totals) {
  const std::size_t kinds = work.empty() ? 0 : work.front().size();
  std::vector<double> costs(kinds, 0);
  std::set<std::size_t> kept;
  for (std::size_t i = 0; i < kinds; ++i) {
    kept.insert(i);
  }
  // As long as an estimate is negative, the most negative one is set to 0 and the rest are estimated
  // again.
  while (!kept.empty()) {
    const std::vector<std::size_t> kept_kinds(kept.begin(), kept.end());
    const std::size_t count = kept_kinds.size();
    std::vector<std::vector<double>> equations(count, std::vector<double>(count + 1, 0));
    for (std::size_t row = 0; row < work.size(); ++row) {
      for (std::size_t i = 0; i < count; ++i) {
        for (std::size_t j = 0; j < count; ++j) {
          equations[i][j] += work[row][kept_kinds[i]] * work[row][kept_kinds[j]];
        }
        equations[i][count] += work[row][kept_kinds[i]] * totals[row];
      }
    }
    bool solvable = true;
    for (std::size_t i = 0; i < count && solvable; ++i) {
      std::size_t pivot = i;
      for (std::size_t j = i; j < count; ++j) {
        if (std::abs(equations[j][i]) > std::abs(equations[pivot][i])) {
          pivot = j;
        }
      }
      std::swap(equations[i], equations[pivot]);
      solvable = std::abs(equations[i][i]) > 1e-9;
      for (std::size_t j = 0; j < count && solvable; ++j) {
        if (j == i) {
          continue;
        }
        const double factor = equations[j][i] / equations[i][i];
        for (std::size_t k = i; k <= count; ++k) {
          equations[j][k] -= factor * equations[i][k];
        }
      }
    }
    std::fill(costs.begin(), costs.end(), 0);
    std::size_t most_negative = kinds;
    for (std::size_t i = 0; i < count && solvable; ++i) {
      costs[kept_kinds[i]] = equations[i][count] / equations[i][i];
      if (costs[kept_kinds[i]] < 0 &&
          (most_negative == kinds || costs[kept_kinds[i]] < costs[most_negative])) {
        most_negative = kept_kinds[i];
      }
    }
    if (solvable && most_negative == kinds) {
      return costs;
    }
    kept.erase(solvable ? most_negative : kept_kinds.back());
    std::fill(costs.begin(), costs.end(), 0);
  }
  return costs;
}

Result make_result(const Scenario& scenario, const Plan& plan, std::uint64_t seed, RunRecords run_records) {
  Result result;
  result.driver = "live", result.policy = "node", result.seed = seed;
  result.set_run(scenario, plan);
  auto& records = run_records.records;
  // Among records of the same time, a client's request is sorted first and what the client receives last.
  const auto rank = [](RecordKind kind) {
    return kind == RecordKind::request_sent                                              ? 0
           : kind == RecordKind::answer_received || kind == RecordKind::connection_ended ? 2
                                                                                         : 1;
  };
  std::stable_sort(records.begin(), records.end(), [&](const Record& a, const Record& b) {
    return a.when != b.when ? a.when < b.when : rank(a.kind) < rank(b.kind);
  });

  std::map<std::string, TimePoint> closed_by_endpoint;  // by request
  std::map<std::string, int> endpoint_of;               // by request
  std::map<std::string, int> node_of;                   // by request
  std::map<int, std::vector<std::pair<TimePoint, bool>>> endpoint_up;
  std::map<int, std::vector<TimePoint>> node_kills;
  for (const Record& record : records) {
    if (record.kind == RecordKind::endpoint_closed_connection) {
      closed_by_endpoint.emplace(record.id, record.when);
    }
    if (record.kind == RecordKind::attempt_executed) {
      endpoint_of[record.id] = static_cast<int>(record.a);
    }
    if (record.kind == RecordKind::request_sent) {
      node_of[record.id] = static_cast<int>(record.a);
    }
    if (record.kind == RecordKind::endpoint_state) {
      endpoint_up[static_cast<int>(record.a)].emplace_back(record.when, record.b != 0);
    }
    if (record.kind == RecordKind::node_killed) {
      node_kills[static_cast<int>(record.a)].push_back(record.when);
    }
  }
  const auto is_endpoint_alive = [&](const std::string& id, TimePoint when) {
    if (const auto closed = closed_by_endpoint.find(id);
        closed != closed_by_endpoint.end() && closed->second <= when + kCloseNoticeDelay) {
      return false;
    }
    bool up = true;
    if (const auto endpoint = endpoint_of.find(id); endpoint != endpoint_of.end()) {
      for (const auto& [since, is_up] : endpoint_up[endpoint->second]) {
        if (since <= when) {
          up = is_up;
        }
      }
    }
    return up;
  };
  const auto was_node_killed = [&](const std::string& id, TimePoint when) {
    const auto node = node_of.find(id);
    if (node == node_of.end()) {
      return false;
    }
    for (const TimePoint killed_at : node_kills[node->second]) {
      if (when >= killed_at - kCloseNoticeDelay && when <= killed_at + kCloseNoticeDelay) {
        return true;
      }
    }
    return false;
  };

  bool descriptors_exhausted = false;
  Audit audit(scenario, plan, static_cast<Duration>(scenario.timing_slack_ms * kMs));
  std::vector<std::vector<Duration>> setups(static_cast<std::size_t>(scenario.node_count));
  std::vector<std::vector<Duration>> lines = setups;
  for (const Record& record : records) {
    Second& second = result.second_at(to_seconds(record.when));
    const int a = static_cast<int>(record.a);
    const int b = static_cast<int>(record.b);
    switch (record.kind) {
      case RecordKind::request_sent:
        audit.on_request_sent(record.id, a, b, record.when, record.c != 0), ++second.requests;
        setups[static_cast<std::size_t>(a)].push_back(record.when);
        break;
      case RecordKind::answer_received: {
        const auto reply = static_cast<Reply>(record.a);
        audit.on_answer_received(record.id,
                                 reply == Reply::established ? RequestOutcome::succeeded
                                 : reply == Reply::rejected  ? RequestOutcome::rejected
                                                             : RequestOutcome::failed,
                                 record.when);
        ++(reply == Reply::established ? second.succeeded
           : reply == Reply::rejected  ? second.rejected
                                       : second.failed);
        break;
      }
      case RecordKind::client_gave_up:
        audit.on_client_left(record.id, record.when);
        break;
      case RecordKind::connection_ended: {
        const ConnectionEnd end = record.a == 0                             ? ConnectionEnd::by_client
                                  : record.a == 1                           ? ConnectionEnd::migrated
                                  : was_node_killed(record.id, record.when) ? ConnectionEnd::node_killed
                                                                            : ConnectionEnd::cut;
        audit.on_connection_ended(record.id, end, is_endpoint_alive(record.id, record.when), record.when);
        if (end == ConnectionEnd::migrated) {
          ++second.migrated;
        } else if (end != ConnectionEnd::by_client) {
          ++second.cut;
        }
        break;
      }
      case RecordKind::line_compared:
        audit.on_line_compared(record.id, record.a != 0, record.when);
        break;
      case RecordKind::value_requested:
      case RecordKind::value_served: {
        const double value = scenario.traffic_types[static_cast<std::size_t>(a)].value;
        const bool is_served = record.kind == RecordKind::value_served;
        add_value(result, value, record.b, record.c,
                  is_served ? &Second::value_served : &Second::value_requested);
        (is_served ? result.value_served : result.value_requested) +=
            value * counted_seconds(scenario, record.b, record.c);
        break;
      }
      case RecordKind::established_clients:
        second.established_connections = static_cast<double>(record.a);
        break;
      case RecordKind::line_returned:
        second.message_latency.add(static_cast<double>(record.b) / kMs),
            result.message_latency.add(static_cast<double>(record.b) / kMs);
        lines[static_cast<std::size_t>(a)].push_back(record.when);
        break;
      case RecordKind::setup_finished:
        second.setup_latency.add(static_cast<double>(record.b) / kMs),
            result.setup_latency.add(static_cast<double>(record.b) / kMs);
        break;
      case RecordKind::attempt_received:
        if (plan.zone_of_node(a, scenario) != plan.hosts[static_cast<std::size_t>(b)].zone) {
          ++result.cross_zone_attempts;
        }
        audit.on_attempt_received(record.id, a, b, record.when);
        break;
      case RecordKind::attempt_executed:
        audit.on_attempt_executed(record.id, a);
        break;
      case RecordKind::attempt_ended:
        audit.on_attempt_ended(record.id, a, record.b != 0, record.when);
        break;
      case RecordKind::cold_load:
        audit.on_cold_load(a, static_cast<double>(record.b) / 1000, record.when);
        break;
      case RecordKind::endpoint_reported:
        audit.on_endpoint_reported(a, b, record.c != 0, record.when);
        break;
      case RecordKind::open_connections:
        second.connections_by_endpoint.resize(plan.hosts.size());
        second.connections_by_endpoint[static_cast<std::size_t>(a)] = b;
        break;
      case RecordKind::health_check:
        ++result.health_checks;
        break;
      case RecordKind::node_killed:
        audit.on_node_killed(a, record.when);
        break;
      case RecordKind::node_shutting_down:
        audit.on_node_shutting_down(a);
        break;
      case RecordKind::node_started:
        audit.on_node_started(a);
        break;
      case RecordKind::event_loop_late:
        result.rig_lateness_ms = std::max(result.rig_lateness_ms, static_cast<double>(record.a) / kMs);
        break;
      case RecordKind::descriptors_exhausted:
        descriptors_exhausted = true;
        break;
      case RecordKind::endpoint_closed_connection:
      case RecordKind::endpoint_state:
        break;
    }
  }
  audit.finish(records.empty() ? 0 : records.back().when);
  result.take_findings(audit);
  if (descriptors_exhausted) {
    result.void_reason =
        "the rig ran out of descriptors, so its endpoints and clients failed requests that they should have "
        "served";
  }
  if (result.rig_lateness_ms * kMs > static_cast<double>(kMaxRigLateness)) {
    result.void_reason = "the event loops of the rig ran up to " +
                         std::to_string(static_cast<long>(result.rig_lateness_ms)) +
                         " ms late, so the times in its records are wrong";
  }

  for (std::size_t n = 0; n < run_records.samples.size(); ++n) {
    NodeFigures& figures = result.nodes.emplace_back();
    const auto& samples = run_records.samples[n];
    std::vector<std::vector<double>> work;
    std::vector<double> cpu_s;
    const auto count_between = [](const std::vector<TimePoint>& times, TimePoint from, TimePoint to) {
      return static_cast<double>(std::lower_bound(times.begin(), times.end(), to) -
                                 std::lower_bound(times.begin(), times.end(), from));
    };
    for (std::size_t i = 0; i < samples.size(); ++i) {
      figures.rss_kib_max = std::max(figures.rss_kib_max, samples[i].rss_kib);
      figures.descriptors_max = std::max(figures.descriptors_max, samples[i].descriptors);
      if (i == 0 || samples[i].cpu_s < samples[i - 1].cpu_s) {
        continue;  // the node was started again
      }
      const TimePoint from = samples[i - 1].when;
      const TimePoint to = samples[i].when;
      work.push_back(
          {count_between(setups[n], from, to), count_between(lines[n], from, to), to_seconds(to - from)});
      cpu_s.push_back(samples[i].cpu_s - samples[i - 1].cpu_s);
      figures.cpu_s += cpu_s.back();
    }
    figures.setups = static_cast<int>(setups[n].size());
    figures.lines = static_cast<double>(lines[n].size());
    if (work.size() < kMinSamples) {
      continue;
    }
    const std::vector<double> costs = estimate_costs(work, cpu_s);
    figures.cpu_us_per_setup = costs[0] * 1e6, figures.cpu_us_per_line = costs[1] * 1e6,
    figures.idle_cpu_share = costs[2];
  }
  return result;
}

}  // namespace dapplewharf::emulator
