// The names of the counters, and the output with the former names.
#include "base/counters.h"

#include <gtest/gtest.h>

#include <set>

using namespace dapplewharf;

TEST(Counters, EachHasAUniqueNameAndADescription) {
  std::set<std::string> names;
  for (const CounterDescription& counter : kCounterTable) {
    EXPECT_TRUE(names.insert(counter.name).second) << counter.name;
    EXPECT_NE(std::string(counter.meaning), "") << counter.name;
    Counters counters;
    counters.*counter.value = 7;
    EXPECT_NE((counters.format() + " ").find(std::string(" ") + counter.name + "=7 "), std::string::npos);
    EXPECT_NE(
        (counters.format_with_former_names() + " ").find(std::string(" ") + counter.former_name + "=7 "),
        std::string::npos);
  }
  EXPECT_EQ(sizeof(Counters), kCounterTable.size() * sizeof(std::uint64_t))
      << "a counter is missing from kCounterTable";
}

TEST(Counters, TheLineWithFormerNamesKeepsItsForm) {
  EXPECT_EQ(Counters().format_with_former_names(),
            "counters taken-in accepted=0 greeted=0 attachments=0 handed-over=0 malformed=0 evicted=0 "
            "lists=0 lists-lost=0 reloads=0 reloads-refused=0"
            " | sent tries=0 written=0 probes=0 list-calls=0 bytes-to-hosts=0 bytes-to-clients=0"
            " | tries up=0 error=0 turned-away=0 unanswered=0 not-connected=0 lost=0 ended=0 cancelled=0"
            " not-sent=0 withdrawn=0 | answered honoured=0 rejected=0 scrapped=0 moved=0 left=0 overdue=0 "
            "no-descriptor=0 | words told=0 heard=0 passed=0"
            " | faults accept-failures=0 local-failures=0 reattached=0 violations=0");
}
