// The mapping from the result of an attempt to its outcome.
#include "node/attempt_result.h"

#include <gtest/gtest.h>

#include "policy/retry_policy.h"

using namespace dapplewharf;

TEST(AttemptResult, OnlyRejectedOrUnsentAttemptsCannotHaveRun) {
  for (const Outcome outcome :
       {Outcome::rejected, Outcome::connect_failed, Outcome::not_sent, Outcome::withdrawn}) {
    EXPECT_FALSE(may_have_run(outcome)) << name_of(outcome);
  }
  for (const Outcome outcome : {Outcome::succeeded, Outcome::error, Outcome::timed_out,
                                Outcome::connection_lost, Outcome::cancelled}) {
    EXPECT_TRUE(may_have_run(outcome)) << name_of(outcome);
  }
}

TEST(AttemptResult, MapsProgressAndReasonToOutcome) {
  for (const AttemptProgress progress : {AttemptProgress::not_connected, AttemptProgress::partly_written}) {
    for (const TerminationReason reason :
         {TerminationReason::connection_broken, TerminationReason::closed, TerminationReason::timed_out}) {
      EXPECT_EQ(outcome_of({progress, reason}), Outcome::connect_failed);
    }
  }
  EXPECT_EQ(outcome_of({AttemptProgress::written, TerminationReason::connection_broken}),
            Outcome::connection_lost);
  EXPECT_EQ(outcome_of({AttemptProgress::written, TerminationReason::timed_out}), Outcome::timed_out);
  EXPECT_EQ(outcome_of({AttemptProgress::written, TerminationReason::busy}), Outcome::rejected);
  EXPECT_EQ(outcome_of({AttemptProgress::not_connected, TerminationReason::no_descriptor}),
            Outcome::not_sent);
}
