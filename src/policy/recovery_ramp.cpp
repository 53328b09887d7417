// The steps of the recovery ramp and its cooldown (policy/recovery_ramp.h).
#include "policy/recovery_ramp.h"

#include <algorithm>
#include <cstddef>

namespace dapplewharf {
namespace {

constexpr double kWeightShares[] = {0.05, 0.20, 0.50, 1.00};  // by step
constexpr Duration kMinStepDuration = kSecond;  // long enough for several health checks of a suspect endpoint
constexpr Duration kFirstCooldown = 2 * kSecond;
constexpr Duration kMaxCooldown = 3600 * kSecond;
constexpr Duration kDegradationMemory = 60 * kSecond;
constexpr std::size_t kMaxCooldownDoublings = 20;  // keeps the shift below within 64 bits

}  // namespace

void RecoveryRamp::restart(TimePoint now) {
  step_ = 0;
  step_started_at_ = now;
}

void RecoveryRamp::restart_after_cooldown(TimePoint now) {
  std::erase_if(recent_degradations_,
                [now](TimePoint degraded_at) { return now - degraded_at > kDegradationMemory; });
  const Duration cooldown = kFirstCooldown << std::min(recent_degradations_.size(), kMaxCooldownDoublings);
  recent_degradations_.push_back(now);
  restart(now + std::min(cooldown, kMaxCooldown));
}

void RecoveryRamp::advance(TimePoint now) {
  ++step_;
  step_started_at_ = now;
}

TimePoint RecoveryRamp::next_step_at() const {
  return is_complete() ? kNever : step_started_at_ + kMinStepDuration;
}

bool RecoveryRamp::is_complete() const {
  return step_ >= kLastStep;
}

double RecoveryRamp::weight_share() const {
  return kWeightShares[step_];
}

}  // namespace dapplewharf
