#include "emulator/model/host.h"

#include <algorithm>
#include <cmath>

namespace dapplewharf::emulator {
namespace {

constexpr Duration kWarmUpStep = 20 * kMs;  // while a process warms up, its capacity is constant in each step
constexpr Duration kIdleInterval = 3600 * kSecond;
constexpr double kMinFreeShare = 0.04;   // a message on a full host takes 25 times as long as on an idle one
constexpr double kMinSetupShare = 0.15;  // of the capacity, available to setups even on a full host
constexpr double kDoublingSetupDelayS = 0.05;  // messages take twice as long while setups wait for so long
constexpr double kColdArrivalSlack = 2;        // setups that a cold process survives beyond its limit

double seconds(Duration duration) {
  return static_cast<double>(duration) / kSecond;
}

}  // namespace

HostModel::HostModel(const Scenario& scenario, const Plan& plan, const PlannedHost& planned)
    : cores_(planned.cores),
      speed_(planned.speed),
      connections_per_core_(scenario.connections_per_core),
      cold_capacity_share_(scenario.cold_capacity_share),
      message_s_(scenario.message_service_ms / 1000),
      health_check_s_(scenario.health_check_work_ms / 1000),
      work_per_group_(scenario.group_overhead * plan.mean_load / scenario.connections_per_core),
      cold_failure_multiple_(scenario.cold_failure_multiple),
      full_connections_(planned.cores * planned.speed * scenario.connections_per_core / plan.mean_load),
      max_queued_setups_(static_cast<std::size_t>(scenario.max_queued_setups)),
      warm_up_time_(static_cast<Duration>(scenario.warm_up_s * kSecond)),
      cold_failure_window_(static_cast<Duration>(scenario.cold_failure_window_ms * kMs)) {}

void HostModel::start(TimePoint now, bool is_cold) {
  now_ = now;
  started_ = is_cold ? now : -1;
  load_ = backlog_ = held_groups_ = 0;
  setup_work_added_ = setup_work_done_ = 0;
  connections_by_group_.clear(), queue_.clear(), cold_arrivals_.clear();
}

bool HostModel::is_cold() const {
  return started_ >= 0 && now_ - started_ < warm_up_time_;
}

double HostModel::warm_up_factor() const {
  if (!is_cold()) {
    return 1;
  }
  return cold_capacity_share_ +
         (1 - cold_capacity_share_) * seconds(now_ - started_) / seconds(warm_up_time_);
}

double HostModel::capacity() const {
  return cores_ * speed_ * warm_up_factor() * (1 - neighbour_share) / slowdown;
}

void HostModel::advance(TimePoint now) {
  while (now_ < now) {
    advance_step(is_cold() ? std::min(now, now_ + kWarmUpStep) : now);
  }
}

double HostModel::setup_capacity() const {
  return std::max(kMinSetupShare * capacity(), capacity() - load());
}

void HostModel::advance_step(TimePoint to) {
  const double span_s = seconds(to - now_);
  const double setup_work = std::min(setup_work_added_ - setup_work_done_, setup_capacity() * span_s);
  setup_work_done_ += setup_work;
  backlog_ = std::max(0.0, backlog_ + (load() - capacity()) * span_s + setup_work);
  now_ = to;
}

HostModel::SetupId HostModel::add_setup(double work) {
  setup_work_added_ += work;
  queue_.push_back({++last_setup_, setup_work_added_});
  return last_setup_;
}

std::vector<HostModel::SetupId> HostModel::take_completed_setups() {
  std::vector<SetupId> out;
  for (; !queue_.empty() && queue_.front().completed_at <= setup_work_done_ + 1e-9; queue_.pop_front()) {
    out.push_back(queue_.front().id);
  }
  return out;
}

void HostModel::cancel_setup(SetupId setup) {
  std::erase_if(queue_, [&](const QueuedSetup& queued) { return queued.id == setup; });
  if (queue_.empty()) {
    setup_work_added_ = setup_work_done_;  // an abandoned setup takes no more work
  }
}

TimePoint HostModel::next_advance() const {
  if (queue_.empty()) {
    return now_ + kIdleInterval;
  }
  const double wait_s =
      std::max(0.0, queue_.front().completed_at - setup_work_done_) / std::max(setup_capacity(), 1e-6);
  const auto wait = static_cast<Duration>(std::ceil(std::min(wait_s, 60.0) * kSecond));
  return now_ + std::max<Duration>(1, is_cold() ? std::min(wait, kWarmUpStep) : wait);
}

void HostModel::add_connection(double load, int group) {
  load_ += load / connections_per_core_;
  if (group >= 0 && ++connections_by_group_[group] == 1) {
    ++held_groups_;
  }
}

void HostModel::remove_connection(double load, int group) {
  load_ = std::max(0.0, load_ - load / connections_per_core_);
  if (group >= 0 && --connections_by_group_[group] == 0) {
    connections_by_group_.erase(group), --held_groups_;
  }
}

double HostModel::record_setup_arrival() {
  if (!is_cold()) {
    return 0;
  }
  cold_arrivals_.push_back(now_);
  while (now_ - cold_arrivals_.front() >= cold_failure_window_) {
    cold_arrivals_.pop_front();
  }
  const double limit = cold_failure_multiple_ * warm_up_factor() * full_connections_ *
                       seconds(cold_failure_window_) / seconds(warm_up_time_);
  return static_cast<double>(cold_arrivals_.size()) / (limit + kColdArrivalSlack);
}

double HostModel::backlog_s() const {
  return backlog_ / std::max(capacity(), 1e-6);
}

// How many times longer than on an idle core of speed 1 a message or health check takes.
double HostModel::service_time_factor() const {
  const double free_share = std::max(kMinFreeShare, 1 - load() / std::max(capacity(), 1e-6));
  const double core_speed = speed_ * warm_up_factor() * (1 - neighbour_share) / slowdown;
  const double setup_delay_s = (setup_work_added_ - setup_work_done_) / std::max(setup_capacity(), 1e-6);
  return (1 + std::min(1.0, setup_delay_s / kDoublingSetupDelayS)) / std::max(core_speed, 1e-6) / free_share;
}

double HostModel::mean_service_ms() const {
  return 1000 * message_s_ * service_time_factor();
}
double HostModel::health_check_ms() const {
  return 1000 * (health_check_s_ * service_time_factor() + backlog_s());
}

double HostModel::share_within(double goal_ms) const {
  const double time_left_ms = goal_ms - 1000 * backlog_s();
  return time_left_ms <= 0 ? 0 : 1 - std::exp(-time_left_ms / mean_service_ms());
}

double HostModel::delay_quantile_ms(double share) const {
  return 1000 * backlog_s() - mean_service_ms() * std::log(1 - share);
}

}  // namespace dapplewharf::emulator
