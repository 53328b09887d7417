// Retries of an operation that fails.
#include "base/retry.h"

#include <gtest/gtest.h>

using namespace dapplewharf;

TEST(Retry, StopsAtSuccessAtFailureOrAfterTheLastAttempt) {
  int attempts = 0;
  const auto succeeds_if_second_attempt_gives = [&](StepResult second_result) {
    attempts = 0;
    return retry_blocking({.max_attempts = 3}, [&](int attempt) {
      EXPECT_EQ(attempt, ++attempts);
      return attempt == 2 ? second_result : StepResult::retry;
    });
  };
  EXPECT_TRUE(succeeds_if_second_attempt_gives(StepResult::succeeded));
  EXPECT_EQ(attempts, 2);
  EXPECT_FALSE(succeeds_if_second_attempt_gives(StepResult::failed));
  EXPECT_EQ(attempts, 2);
  EXPECT_FALSE(succeeds_if_second_attempt_gives(StepResult::retry));
  EXPECT_EQ(attempts, 3);
}
