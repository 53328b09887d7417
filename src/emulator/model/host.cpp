#include "emulator/model/host.h"

#include <algorithm>
#include <cmath>

namespace dapplewharf::emulator {
namespace {

constexpr Duration kStep = 20 * kMs;  // while a host warms up its speed is held for so long
constexpr Duration kFar = 3600 * kSecond;
constexpr double kLeastRoom = 0.04;  // a host that is full takes 25 times as long for a message
constexpr double kSetups = 0.15;     // of a host that set-ups have even when it is full
constexpr double kCrowded = 0.05;    // s of set-ups that wait: messages take twice as long beside them
constexpr double kChance = 2;        // connections of slack on the limit of a cold host

double seconds(Duration span) {
  return static_cast<double>(span) / kSecond;
}

}  // namespace

HostModel::HostModel(const Scenario& scenario, const Plan& plan, const PlannedHost& planned)
    : cores_(planned.cores),
      speed_(planned.speed),
      per_core_(scenario.connections_per_core),
      cold_from_(scenario.cold_capacity_share),
      message_s_(scenario.message_service_ms / 1000),
      probe_s_(scenario.health_check_work_ms / 1000),
      group_work_(scenario.group_overhead * plan.mean_load / scenario.connections_per_core),
      fall_multiple_(scenario.cold_failure_multiple),
      full_connections_(planned.cores * planned.speed * scenario.connections_per_core / plan.mean_load),
      queue_most_(static_cast<std::size_t>(scenario.max_queued_setups)),
      cold_time_(static_cast<Duration>(scenario.warm_up_s * kSecond)),
      fall_time_(static_cast<Duration>(scenario.cold_failure_window_ms * kMs)) {}

void HostModel::start(TimePoint now, bool is_cold) {
  now_ = now;
  started_ = is_cold ? now : -1;
  load_ = piled_ = groups_held_ = 0;
  come_ = done_ = 0;
  groups_.clear(), queue_.clear(), pushes_.clear();
}

bool HostModel::is_cold() const {
  return started_ >= 0 && now_ - started_ < cold_time_;
}

double HostModel::warm_up_factor() const {
  if (!is_cold()) {
    return 1;
  }
  return cold_from_ + (1 - cold_from_) * seconds(now_ - started_) / seconds(cold_time_);
}

double HostModel::capacity() const {
  return cores_ * speed_ * warm_up_factor() * (1 - neighbour_share) / slowdown;
}

void HostModel::advance(TimePoint now) {
  while (now_ < now) {
    step(is_cold() ? std::min(now, now_ + kStep) : now);
  }
}

double HostModel::left() const {
  return std::max(kSetups * capacity(), capacity() - load());
}

void HostModel::step(TimePoint to) {
  const double span = seconds(to - now_);
  const double set_up = std::min(come_ - done_, left() * span);
  done_ += set_up;
  piled_ = std::max(0.0, piled_ + (load() - capacity()) * span + set_up);
  now_ = to;
}

HostModel::SetupId HostModel::add_setup(double work) {
  come_ += work;
  queue_.push_back({++numbers_, come_});
  return numbers_;
}

std::vector<HostModel::SetupId> HostModel::take_completed_setups() {
  std::vector<SetupId> out;
  for (; !queue_.empty() && queue_.front().until <= done_ + 1e-9; queue_.pop_front()) {
    out.push_back(queue_.front().number);
  }
  return out;
}

void HostModel::cancel_setup(SetupId work) {
  std::erase_if(queue_, [&](const Waiting& one) { return one.number == work; });
  if (queue_.empty()) {
    come_ = done_;  // what nobody waits for is not begun
  }
}

TimePoint HostModel::next_advance() const {
  if (queue_.empty()) {
    return now_ + kFar;
  }
  const double wanted = std::max(0.0, queue_.front().until - done_) / std::max(left(), 1e-6);
  const auto wait = static_cast<Duration>(std::ceil(std::min(wanted, 60.0) * kSecond));
  return now_ + std::max<Duration>(1, is_cold() ? std::min(wait, kStep) : wait);
}

void HostModel::add_connection(double load, int group) {
  load_ += load / per_core_;
  if (group >= 0 && ++groups_[group] == 1) {
    ++groups_held_;
  }
}

void HostModel::remove_connection(double load, int group) {
  load_ = std::max(0.0, load_ - load / per_core_);
  if (group >= 0 && --groups_[group] == 0) {
    groups_.erase(group), --groups_held_;
  }
}

double HostModel::record_setup_arrival() {
  if (!is_cold()) {
    return 0;
  }
  pushes_.push_back(now_);
  while (now_ - pushes_.front() >= fall_time_) {
    pushes_.pop_front();
  }
  const double limit =
      fall_multiple_ * warm_up_factor() * full_connections_ * seconds(fall_time_) / seconds(cold_time_);
  return static_cast<double>(pushes_.size()) / (limit + kChance);
}

double HostModel::backlog_s() const {
  return piled_ / std::max(capacity(), 1e-6);
}

// How much longer than on an idle core of speed 1 anything takes.
double HostModel::stretch() const {
  const double room = std::max(kLeastRoom, 1 - load() / std::max(capacity(), 1e-6));
  const double pace = speed_ * warm_up_factor() * (1 - neighbour_share) / slowdown;
  const double waiting = (come_ - done_) / std::max(left(), 1e-6);
  return (1 + std::min(1.0, waiting / kCrowded)) / std::max(pace, 1e-6) / room;
}

double HostModel::mean_service_ms() const {
  return 1000 * message_s_ * stretch();
}
double HostModel::health_check_ms() const {
  return 1000 * (probe_s_ * stretch() + backlog_s());
}

double HostModel::share_within(double goal_ms) const {
  const double left = goal_ms - 1000 * backlog_s();
  return left <= 0 ? 0 : 1 - std::exp(-left / mean_service_ms());
}

double HostModel::delay_quantile_ms(double share) const {
  return 1000 * backlog_s() - mean_service_ms() * std::log(1 - share);
}

}  // namespace dapplewharf::emulator
