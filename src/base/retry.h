// Retries an operation that may fail because of a transient error of the system. It blocks its caller between
// attempts, so it is meant for the start of a process. See docs/architecture.md.
#pragma once
#include <chrono>
#include <thread>

namespace dapplewharf {

/// The result of one attempt; `retry` is a transient error.
enum class StepResult { succeeded, retry, failed };

/// How often and in which interval an operation is attempted.
struct RetrySchedule {
  int max_attempts = 1;                ///< including the first one
  std::chrono::milliseconds delay{0};  ///< between two attempts
};

/// Calls `step(attempt)`, with attempts counted from 1, until it succeeds, fails or has been called
/// `max_attempts` times.
/// @return whether an attempt succeeded.
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
