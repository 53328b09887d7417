// Steps that are run again.
#include "base/retry.h"

#include <gtest/gtest.h>

using namespace dapplewharf;

TEST(Retry, RunsAStepUntilItSucceedsFailsOrHasHadAllItsAttempts) {
  int runs = 0;
  const auto until = [&](StepResult last) {
    runs = 0;
    return retry_blocking({.max_attempts = 3}, [&](int attempt) {
      EXPECT_EQ(attempt, ++runs);
      return attempt == 2 ? last : StepResult::retry;
    });
  };
  EXPECT_TRUE(until(StepResult::succeeded));
  EXPECT_EQ(runs, 2);
  EXPECT_FALSE(until(StepResult::failed));
  EXPECT_EQ(runs, 2);
  EXPECT_FALSE(until(StepResult::retry));
  EXPECT_EQ(runs, 3);
}
