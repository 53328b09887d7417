// The configurations of one machine together.
#include "config/machine_checks.h"

#include <gtest/gtest.h>

#include "configuration_fixtures.h"

namespace dapplewharf::config {
namespace {

TEST(Together, TwoSidecarsWithOnePortOrOneNameAreFound) {
  std::string other = kGood;
  std::string third = kGood;
  other.replace(other.find("\"application\""), 13, "\"other\"");
  third.replace(third.find("\"application\""), 13, "\"third\"");
  third.replace(third.find("127.0.0.1:8000"), 14, "0.0.0.0:8000");
  const std::vector<Document> documents{load_text(kGood, "a.dw"), load_text(other, "b.dw"),
                                        load_text(third, "c.dw"), load_text(kGood, "d.dw")};
  const auto found = check_machine(documents, 1e9, 1e15);
  ASSERT_EQ(found.size(), 4u);
  EXPECT_NE(found[0].diagnostic.what.find("claimed at a.dw:"), std::string::npos) << found[0].diagnostic.what;
  EXPECT_EQ(found[1].document, 2u) << "all addresses hold the port as well";
  EXPECT_NE(found[2].diagnostic.what.find("the name 'application'"), std::string::npos);
  EXPECT_EQ(check_machine({documents[0]}, 10, 1e15).size(), 1u);
  EXPECT_TRUE(check_machine({documents[0]}, 10, 1e15).front().diagnostic.warning);
  EXPECT_EQ(check_machine({documents[0]}, 1e9, 1000).size(), 1u);
}

}  // namespace
}  // namespace dapplewharf::config
