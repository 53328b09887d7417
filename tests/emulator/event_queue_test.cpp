// The simulated clock and the order of events.
#include "emulator/sim/event_queue.h"

#include <gtest/gtest.h>

namespace dapplewharf::emulator {
namespace {

Index client_of(const SimEvent& event) {
  return std::get<ClientArrives>(event).client;
}

TEST(EventQueue, OrdersByTimeThenByScheduling) {
  EventQueue queue;
  queue.schedule(20, ClientArrives{3});
  queue.schedule(10, ClientArrives{1});
  queue.schedule(10, ClientArrives{2});
  EXPECT_EQ(client_of(queue.take_next()), 1u);
  EXPECT_EQ(client_of(queue.take_next()), 2u);
  EXPECT_EQ(queue.now(), 10);
  EXPECT_EQ(client_of(queue.take_next()), 3u);
  EXPECT_EQ(queue.now(), 20);
}

TEST(EventQueue, ATimeInThePastCountsAsNow) {
  EventQueue queue;
  queue.schedule(30, ClientArrives{1});
  queue.take_next();
  queue.schedule(30, ClientArrives{2});
  queue.schedule(5, ClientArrives{3});
  EXPECT_EQ(client_of(queue.take_next()), 2u) << "it was scheduled first";
  EXPECT_EQ(client_of(queue.take_next()), 3u);
  EXPECT_EQ(queue.now(), 30);
}

TEST(EventQueue, HasAnEventUntilATimeOnlyIfOneIsDueByThen) {
  EventQueue queue;
  EXPECT_FALSE(queue.has_event_until(100));
  queue.schedule(50, ClientArrives{1});
  EXPECT_FALSE(queue.has_event_until(49));
  EXPECT_TRUE(queue.has_event_until(50));
}

}  // namespace
}  // namespace dapplewharf::emulator
