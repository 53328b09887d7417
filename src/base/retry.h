// Repeats a step that a passing failure of the system may stop, with a pause between. Blocks its caller, so
// it is for the start of a process only. Owns nothing. Design: docs/architecture.md.
#pragma once
#include <chrono>
#include <thread>

namespace dapplewharf {

/// What one run of a step came to.
enum class StepResult { succeeded, retry, failed };

struct RetrySchedule {
  int max_attempts = 1;                ///< runs in all
  std::chrono::milliseconds delay{0};  ///< between two runs
};

/// Runs `step(attempt)`, counted from 1, until it succeeds, fails or has run `max_attempts` times.
/// @return whether it succeeded.
template <class Step>
bool retry_blocking(const RetrySchedule& schedule, Step step) {
  for (int attempt = 1;; ++attempt) {
    const StepResult result = step(attempt);
    if (result != StepResult::retry || attempt >= schedule.max_attempts) {
      return result == StepResult::succeeded;
    }
    std::this_thread::sleep_for(schedule.delay);
  }
}

}  // namespace dapplewharf
