// Sums of the work recently sent to an endpoint.
#include "policy/sent_work_window.h"

#include <gtest/gtest.h>

using namespace dapplewharf;

TEST(SentWorkWindow, SumsOnlyWorkWithinTheSpan) {
  SentWorkWindow window;
  window.add(1000, 1);
  window.add(2000, 1);
  EXPECT_DOUBLE_EQ(window.sum_within(2000, 1000, 0), 1)
      << "an entry exactly as old as the span is not included";
  EXPECT_DOUBLE_EQ(window.sum_within(2000, 1000.5, 0), 2);
}

TEST(SentWorkWindow, SkipsEntriesBelowTheMinimumWork) {
  SentWorkWindow window;
  window.add(1000, 0.1);
  window.add(1000, 1);
  EXPECT_DOUBLE_EQ(window.sum_within(1000, kSecond, 0), 1.1);
  EXPECT_DOUBLE_EQ(window.sum_within(1000, kSecond, 1), 1);
}

TEST(SentWorkWindow, KeepsTheLatestFourHundredEntries) {
  SentWorkWindow window;
  for (int i = 0; i < 500; ++i) {
    window.add(i, 1);
  }
  EXPECT_DOUBLE_EQ(window.sum_within(500, kSecond, 1), 400);
}
