// The canonical layout: stable, and nothing of meaning or comments is lost.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "configuration_fixtures.h"
#include "drawn_configurations.h"

namespace dapplewharf::config {
namespace {

TEST(Format, IsTheSameTwiceAndKeepsMeaningAndComments) {
  for (const auto& entry : fs::directory_iterator(PROFILES)) {
    const std::string text = text_of(entry.path());
    const std::string once = format(parse(text).items);
    EXPECT_EQ(format(parse(once).items), once);
    EXPECT_EQ(meaning(once), meaning(text));
    EXPECT_EQ(comments(once), comments(text));
  }
  EXPECT_TRUE(rc::check("drawn configurations", [] {
    const std::string text = drawn_configuration();
    const Parsed parsed = parse(text);
    RC_ASSERT(!parsed.error);
    const std::string once = format(parsed.items);
    RC_ASSERT(format(parse(once).items) == once);
    RC_ASSERT(meaning(once) == meaning(text));
    RC_ASSERT(comments(once) == comments(text));
  }));
}

TEST(Format, BreaksListsThatAreLongAndKeepsTheirComments) {
  std::string text = "route \"a\" { traffic=[ # these\n\"one\",\n# and\n\"two\" ]; pool = \"p\" }\n";
  const std::string once = format(parse(text).items);
  EXPECT_EQ(once,
            "route \"a\" {\n  traffic = [\n    # these\n    \"one\",\n    # and\n    \"two\",\n  ]\n  pool = "
            "\"p\"\n}\n");
  EXPECT_EQ(format(parse(once).items), once);
}

}  // namespace
}  // namespace dapplewharf::config
