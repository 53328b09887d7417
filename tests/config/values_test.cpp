// Values: types, units and bounds.
#include "config/values.h"

#include <gtest/gtest.h>

#include "config/schema.h"

namespace dapplewharf::config {
namespace {

TEST(Scalars, OneAmountHasManyWaysAndOneForm) {
  for (const auto& [left, right] : {std::pair("800ms", "0.8s"), std::pair("90s", "1.5min"),
                                    std::pair("1KiB", "1024B"), std::pair("1.5MiB", "1536KiB")}) {
    EXPECT_DOUBLE_EQ(scalar_of(left).amount, scalar_of(right).amount);
    Value a;
    Value b;
    a.type = scalar_of(left).type;
    b.type = scalar_of(right).type;
    a.amount = scalar_of(left).amount;
    b.amount = scalar_of(right).amount;
    EXPECT_EQ(canonical(a), canonical(b));
  }
  EXPECT_EQ(scalar_of("0ms").error, "");
  EXPECT_NE(scalar_of("-0ms").error, "");
  EXPECT_EQ(scalar_of("40/s").type, Type::rate);
}

}  // namespace
}  // namespace dapplewharf::config
