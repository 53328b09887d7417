// Tests of the limit on attempts in flight while a shared dependency fails.
#include "policy/adaptive_attempt_limit.h"

#include <gtest/gtest.h>

#include "policy/constants.h"

using namespace dapplewharf;

TEST(AdaptiveAttemptLimit, TakesEffectOnceMostEndpointsFailAndExpires) {
  AdaptiveAttemptLimit limit;
  TimePoint now = kSecond;
  EXPECT_FALSE(limit.record_setup("a", false, 9, now));
  EXPECT_FALSE(limit.record_setup("b", false, 9, now));
  EXPECT_FALSE(limit.shared_dependency_fails(now))
      << "two failing endpoints don't point to a shared dependency";
  EXPECT_TRUE(limit.record_setup("c", false, 9, now));
  EXPECT_TRUE(limit.shared_dependency_fails(now));
  EXPECT_FALSE(limit.forbids_attempt(4, now));
  EXPECT_TRUE(limit.forbids_attempt(5, now));
  now += kFleetConditionLifetime;
  EXPECT_FALSE(limit.is_active(now));
  EXPECT_FALSE(limit.forbids_attempt(100, now));
}

TEST(AdaptiveAttemptLimit, SharedDependencyFailsOnlyIfMoreThanHalfOfTheEndpointsFail) {
  AdaptiveAttemptLimit limit;
  for (const char* endpoint : {"a", "b", "c", "d"}) {
    limit.record_setup(endpoint, true, 1, kSecond);
  }
  for (const char* endpoint : {"a", "b", "e"}) {
    limit.record_setup(endpoint, false, 1, kSecond);
  }
  EXPECT_TRUE(limit.shared_dependency_fails(kSecond)) << "three of five endpoints fail";
  AdaptiveAttemptLimit half_failing;
  for (const char* endpoint : {"a", "b", "c"}) {
    half_failing.record_setup(endpoint, true, 1, kSecond);
  }
  for (const char* endpoint : {"d", "e", "f"}) {
    half_failing.record_setup(endpoint, false, 1, kSecond);
  }
  EXPECT_FALSE(half_failing.shared_dependency_fails(kSecond)) << "three of six endpoints fail";
}
