// Tests of the auditor: each rule, kept and violated.
#include "emulator/audit/audit.h"

#include <gtest/gtest.h>

#include <tuple>

#include "small_world.h"

namespace dapplewharf::emulator {
namespace {

struct AuditedWorld : World {
  Audit audit{scenario, plan, 0};
  int violations(Rule rule) const { return audit.findings(rule).count; }
  /// Plays one attempt from its first byte to its end.
  void run_attempt(int endpoint, bool may_have_run = true) {
    audit.on_attempt_received("x", 0, endpoint, now);
    audit.on_attempt_executed("x", endpoint);
    audit.on_attempt_ended("x", endpoint, may_have_run, now);
  }
  TimePoint now = 10;
};

TEST(Audit, OneAnswerBeforeTheDeadlineIsNoViolation) {
  AuditedWorld world;
  world.audit.on_request_sent("x", 0, 0, 0);
  world.run_attempt(0);
  world.audit.on_answer_received("x", RequestOutcome::succeeded, 20);
  world.audit.on_connection_ended("x", ConnectionEnd::migrated, true, 30);
  world.audit.finish(100 * kSecond);
  EXPECT_FALSE(world.audit.has_violations());
  EXPECT_EQ(world.audit.connections_migrated(), 1);
}

TEST(Audit, ReportsAnswersThatAreMissingLateDuplicateOrUnrequested) {
  AuditedWorld world;
  world.audit.on_request_sent("x", 0, 0, 0);
  world.audit.finish(4 * kSecond);
  EXPECT_EQ(world.violations(Rule::final_answer), 1);
  world.audit.on_request_sent("y", 0, 0, 0);
  world.audit.on_answer_received("y", RequestOutcome::rejected, 4 * kSecond);
  EXPECT_EQ(world.violations(Rule::final_answer), 2) << "late";
  world.audit.on_answer_received("y", RequestOutcome::rejected, 4 * kSecond);
  EXPECT_EQ(world.violations(Rule::final_answer), 3) << "duplicate";
  world.audit.on_answer_received("z", RequestOutcome::succeeded, 1);
  world.audit.on_attempt_received("z", 0, 0, 1);
  EXPECT_EQ(world.violations(Rule::final_answer), 5) << "unrequested";
  world.audit.on_attempt_received("y", 0, 0, 1);
  EXPECT_EQ(world.violations(Rule::final_answer), 6) << "an attempt after the answer";
}

TEST(Audit, NoAnswerIsDueAfterTheClientLeftOrItsNodeWasKilled) {
  AuditedWorld world;
  world.audit.on_request_sent("x", 0, 0, 0);
  world.audit.on_client_left("x", kSecond);
  world.audit.on_request_sent("y", 1, 0, 0);
  world.audit.on_node_killed(1, kSecond);
  world.audit.finish(100 * kSecond);
  EXPECT_FALSE(world.audit.has_violations());
  EXPECT_EQ(world.audit.totals().abandoned, 1);
  world.audit.on_request_sent("z", 1, 0, 0);
  world.audit.on_node_killed(1, 5 * kSecond);
  EXPECT_EQ(world.violations(Rule::final_answer), 1) << "overdue before its node was killed";
  world.audit.on_request_sent("sent during the kill", 1, 0, 5 * kSecond + 10);
  world.audit.on_request_sent("later", 1, 0, 6 * kSecond);
  world.audit.finish(200 * kSecond);
  EXPECT_EQ(world.violations(Rule::final_answer), 2) << "only the request sent during the kill is excused";
}

TEST(Audit, ReportsRequestsThatMayHaveRunTwice) {
  for (const auto& [traffic, second_host, ran, expected] :
       {std::tuple(0, 1, true, 0), std::tuple(1, 1, true, 1), std::tuple(1, 1, false, 0),
        std::tuple(2, 0, true, 0), std::tuple(2, 1, true, 1) /* another zone */}) {
    AuditedWorld world;
    world.audit.on_request_sent("x", 0, traffic, 0);
    world.run_attempt(0, ran);
    world.now = 20;
    world.run_attempt(second_host);
    EXPECT_EQ(world.violations(Rule::effect_twice), expected) << traffic << " " << second_host << " " << ran;
  }
  AuditedWorld late_repeat;
  late_repeat.audit.on_request_sent("x", 0, 2, 0);
  late_repeat.run_attempt(0);
  late_repeat.now += 6 * kSecond;
  late_repeat.run_attempt(0);
  EXPECT_EQ(late_repeat.violations(Rule::effect_twice), 1) << "after the repeat window";
  AuditedWorld concurrent;
  concurrent.audit.on_request_sent("x", 0, 0, 0);
  concurrent.audit.on_attempt_received("x", 0, 0, 1);
  concurrent.audit.on_attempt_received("x", 0, 1, 2);
  EXPECT_EQ(concurrent.violations(Rule::effect_twice), 1) << "two attempts in progress";
  AuditedWorld rejected;
  rejected.audit.on_request_sent("x", 0, 1, 0);
  rejected.run_attempt(0);
  rejected.audit.on_answer_received("x", RequestOutcome::rejected, 30);
  EXPECT_EQ(rejected.violations(Rule::effect_twice), 1)
      << "a rejection tells the client that it may safely repeat";
}

TEST(Audit, ReportsAttemptsAtALeavingEndpointAfterTheDrainGrace) {
  AuditedWorld world;
  world.audit.on_endpoint_reported(0, 1, true, 0);
  world.audit.on_endpoint_reported(0, 1, true, 5 * kSecond);  // the first report counts
  world.audit.on_request_sent("x", 0, 0, 0);
  world.audit.on_attempt_received("x", 0, 1, 1500 * kMs);
  EXPECT_EQ(world.violations(Rule::drain_kept), 0);
  world.audit.on_attempt_ended("x", 1, false, 1501 * kMs);
  world.audit.on_attempt_received("x", 0, 1, 1500 * kMs + 1);
  EXPECT_EQ(world.violations(Rule::drain_kept), 1);
  world.audit.on_endpoint_reported(0, 1, false, 6 * kSecond);
  world.audit.on_request_sent("y", 0, 0, 9 * kSecond);
  world.audit.on_attempt_received("y", 0, 1, 9 * kSecond);
  world.audit.on_request_sent("z", 1, 0, 9 * kSecond);
  world.audit.on_attempt_received("z", 1, 1, 9 * kSecond);
  EXPECT_EQ(world.violations(Rule::drain_kept), 1)
      << "the endpoint is back, and the other node had no report";
}

TEST(Audit, ReportsAnOverloadOfAColdEndpointOnce) {
  AuditedWorld world;
  world.audit.on_cold_load(0, 0.9, 1);
  EXPECT_FALSE(world.audit.has_violations());
  world.audit.on_cold_load(0, 1.2, 2), world.audit.on_cold_load(0, 1.3, 3);
  EXPECT_EQ(world.violations(Rule::cold_pushed), 1);
  EXPECT_DOUBLE_EQ(world.audit.peak_cold_load_ratio(), 1.3);
}

TEST(Audit, ReportsALineThatCameBackChanged) {
  AuditedWorld world;
  world.audit.on_line_compared("x", true, 1), world.audit.on_line_compared("x", false, 1);
  EXPECT_EQ(world.violations(Rule::bytes_changed), 1);
}

TEST(Audit, ReportsAConnectionThatWasCutWhileItsEndpointWasUp) {
  for (const auto& [end, endpoint_alive, expected] :
       {std::tuple(ConnectionEnd::cut, true, 1), std::tuple(ConnectionEnd::cut, false, 0),
        std::tuple(ConnectionEnd::by_endpoint, true, 0), std::tuple(ConnectionEnd::node_killed, true, 0),
        std::tuple(ConnectionEnd::by_client, true, 0)}) {
    AuditedWorld world;
    world.audit.on_request_sent("x", 0, 0, 0);
    world.audit.on_answer_received("x", RequestOutcome::succeeded, 1);
    world.audit.on_connection_ended("x", end, endpoint_alive, 2);
    EXPECT_EQ(world.violations(Rule::cut_off), expected);
  }
}

}  // namespace
}  // namespace dapplewharf::emulator
