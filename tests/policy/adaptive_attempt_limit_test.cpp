// The limit on attempts in flight while a shared dependency fails.
#include "policy/adaptive_attempt_limit.h"

#include <gtest/gtest.h>

#include "policy/constants.h"

using namespace dapplewharf;

TEST(AdaptiveAttemptLimit, HalvesOnceMostEndpointsFailAndEndsByItself) {
  AdaptiveAttemptLimit limit;
  TimePoint now = kSecond;
  EXPECT_FALSE(limit.record_setup("a", false, 9, now));
  EXPECT_FALSE(limit.record_setup("b", false, 9, now));
  EXPECT_FALSE(limit.shared_dependency_fails(now)) << "two endpoints may fail by themselves";
  EXPECT_TRUE(limit.record_setup("c", false, 9, now));
  EXPECT_TRUE(limit.shared_dependency_fails(now));
  EXPECT_FALSE(limit.forbids_attempt(4, now));
  EXPECT_TRUE(limit.forbids_attempt(5, now));
  now += kFleetConditionLifetime;
  EXPECT_FALSE(limit.is_active(now));
  EXPECT_FALSE(limit.forbids_attempt(100, now));
}

TEST(AdaptiveAttemptLimit, AFewFailuresAmongGoodEndpointsAreTheirOwn) {
  AdaptiveAttemptLimit limit;
  for (const char* endpoint : {"a", "b", "c", "d"}) {
    limit.record_setup(endpoint, true, 1, kSecond);
  }
  for (const char* endpoint : {"a", "b", "e"}) {
    limit.record_setup(endpoint, false, 1, kSecond);
  }
  EXPECT_TRUE(limit.shared_dependency_fails(kSecond)) << "three of five";
  AdaptiveAttemptLimit even;
  for (const char* endpoint : {"a", "b", "c"}) {
    even.record_setup(endpoint, true, 1, kSecond);
  }
  for (const char* endpoint : {"d", "e", "f"}) {
    even.record_setup(endpoint, false, 1, kSecond);
  }
  EXPECT_FALSE(even.shared_dependency_fails(kSecond)) << "three of six";
}
