// The steps of the recovery ramp and its cooldown (policy/recovery_ramp.h).
#include "policy/recovery_ramp.h"

#include <algorithm>
#include <cstddef>

namespace dapplewharf {
namespace {

constexpr double kWeightShares[] = {0.05, 0.20, 0.50, 1.00};  // by step
constexpr Duration kMinStepTime = kSecond;                    // several hurried health checks fit in
constexpr Duration kFirstCooldown = 2 * kSecond;
constexpr Duration kLongestCooldown = 3600 * kSecond;
constexpr Duration kFallRemembered = 60 * kSecond;
constexpr std::size_t kMostDoublings = 20;  // the shift below stays within 64 bits

}  // namespace

void RecoveryRamp::restart(TimePoint now) {
  step_ = 0;
  step_since_ = now;
}

void RecoveryRamp::restart_after_cooldown(TimePoint now) {
  std::erase_if(falls_, [now](TimePoint fell_at) { return now - fell_at > kFallRemembered; });
  const Duration cooldown = kFirstCooldown << std::min(falls_.size(), kMostDoublings);
  falls_.push_back(now);
  restart(now + std::min(cooldown, kLongestCooldown));
}

void RecoveryRamp::advance(TimePoint now) {
  ++step_;
  step_since_ = now;
}

TimePoint RecoveryRamp::next_step_at() const {
  return complete() ? kNever : step_since_ + kMinStepTime;
}

bool RecoveryRamp::complete() const {
  return step_ >= kLastStep;
}

double RecoveryRamp::share() const {
  return kWeightShares[step_];
}

}  // namespace dapplewharf
