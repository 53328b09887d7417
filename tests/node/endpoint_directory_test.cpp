// The effect of endpoint lists on whether endpoints may be used.
#include "node/endpoint_directory.h"

#include <gtest/gtest.h>

using namespace dapplewharf;

namespace {

EndpointSnapshot list_with(const std::string& host, EndpointState state) {
  EndpointSnapshot list;
  EndpointEntry entry;
  entry.id = host;
  entry.zone = "near";
  entry.state = state;
  list.entries.push_back(entry);
  list.addresses[host] = "127.0.0.1:1";
  return list;
}

}  // namespace

TEST(EndpointDirectory, DrainingAndRemovedEndpointsMayNotBeUsed) {
  EndpointDirectory endpoints;
  EXPECT_TRUE(endpoints.permits("a", EndpointUse::new_request)) << "no list has named it";
  endpoints.apply(list_with("a", EndpointState::healthy), "near");
  EXPECT_TRUE(endpoints.permits("a", EndpointUse::new_request));
  for (const EndpointState state : {EndpointState::draining, EndpointState::removed}) {
    EXPECT_EQ(endpoints.apply(list_with("a", state), "near"), std::vector<std::string>{"a"});
    EXPECT_FALSE(endpoints.permits("a", EndpointUse::new_request));
    EXPECT_FALSE(endpoints.permits("a", EndpointUse::reconnect));
    EXPECT_TRUE(endpoints.apply(list_with("a", EndpointState::healthy), "near").empty());
    EXPECT_TRUE(endpoints.permits("a", EndpointUse::new_request));
  }
}

TEST(EndpointDirectory, WithOnlyDrainingBindingARemovedEndpointMayBeUsed) {
  EndpointDirectory endpoints;
  endpoints.set_only_draining_binds(true);
  endpoints.apply(list_with("a", EndpointState::removed), "near");
  EXPECT_TRUE(endpoints.permits("a", EndpointUse::new_request));
  endpoints.apply(list_with("b", EndpointState::draining), "near");
  EXPECT_FALSE(endpoints.permits("b", EndpointUse::new_request));
  endpoints.apply(list_with("b", EndpointState::removed), "near");
  EXPECT_FALSE(endpoints.permits("b", EndpointUse::new_request))
      << "a draining endpoint stays draining when it is removed";
  EXPECT_TRUE(endpoints.permits("b", EndpointUse::reconnect));
}

TEST(EndpointDirectory, CompleteListRemovesEndpointsThatItDoesNotName) {
  EndpointDirectory endpoints;
  endpoints.apply(list_with("a", EndpointState::healthy), "near");
  EndpointSnapshot complete = list_with("b", EndpointState::healthy);
  EXPECT_TRUE(endpoints.apply(complete, "near").empty());
  complete.is_complete = true;
  EXPECT_EQ(endpoints.apply(complete, "near"), std::vector<std::string>{"a"});
  EXPECT_FALSE(endpoints.permits("a", EndpointUse::new_request));
  EXPECT_EQ(endpoints.address("b"), "127.0.0.1:1");
  EXPECT_EQ(endpoints.location("b").zone, "near");
  EXPECT_EQ(endpoints.location("c").zone, "");
}
