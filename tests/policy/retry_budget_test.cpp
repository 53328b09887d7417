// Tests of the retry budget, at the edges of its window.
#include "policy/retry_budget.h"

#include <gtest/gtest.h>

using namespace dapplewharf;

namespace {

const std::optional<RetryBudgetSettings> kSettings = RetryBudgetSettings{1, 0.5, kSecond};

}  // namespace

TEST(RetryBudget, ArrivalsAllowRetriesUntilTheyLeaveTheWindow) {
  RetryBudget budget;
  budget.record_arrival(kSettings, 0);
  budget.record_arrival(kSettings, 0);
  budget.record_retry(0);
  EXPECT_TRUE(budget.allows_retry(kSettings, kSecond - 1))
      << "two arrivals allow one retry more than the minimum";
  EXPECT_FALSE(budget.allows_retry(kSettings, kSecond)) << "the arrivals have expired, the retry has not";
  EXPECT_FALSE(budget.allows_retry(kSettings, kSecond + 1));
  EXPECT_TRUE(budget.allows_retry(kSettings, kSecond + 2));
}

TEST(RetryBudget, WithdrawnRetriesDoNotCountAndWithoutSettingsThereIsNoLimit) {
  RetryBudget budget;
  budget.record_retry(0);
  EXPECT_FALSE(budget.allows_retry(kSettings, 0));
  EXPECT_TRUE(budget.allows_retry(std::nullopt, 0));
  budget.withdraw_retry();
  EXPECT_TRUE(budget.allows_retry(kSettings, 0));
}
