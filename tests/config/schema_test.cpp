// The schema's table, and the page of documentation that is made from it.
#include "config/schema.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "config/language.h"
#include "configuration_fixtures.h"

namespace dapplewharf::config {
namespace {

TEST(Page, HasTheTableAndItsExamplesAreGood) {
  const std::string page = text_of(fs::path(DOCS) / "configuration.md");
  EXPECT_NE(page.find(reference()), std::string::npos)
      << "run dapplewharfctl config reference and put it into docs/configuration.md";
  int good = 0;
  int faulty = 0;
  for (std::size_t at = 0; (at = page.find("```dw", at)) != std::string::npos;) {
    const std::size_t begin = page.find('\n', at) + 1;
    const std::size_t end = page.find("```", begin);
    const bool wrong = page.substr(at, begin - at).find("faulty") != std::string::npos;
    const Parsed parsed = parse(page.substr(begin, end - begin));
    EXPECT_EQ(parsed.error.has_value(), wrong)
        << page.substr(begin, end - begin) << (parsed.error ? parsed.error->what : "");
    ++(wrong ? faulty : good);
    at = end + 3;
  }
  EXPECT_GE(good, 6);
  EXPECT_GE(faulty, 3);
}

TEST(Schema, EveryRowHasABlockAndWhatHoldsWithoutItFits) {
  for (const Row& row : rows()) {
    ASSERT_NE(block_of(row.block), nullptr) << row.block;
    EXPECT_FALSE(std::string(row.help).empty());
    EXPECT_NE(explain(std::string(row.block) + "." + row.name), "");
    if (!*row.without || std::string(row.without) == "-") {
      continue;
    }
    const Parsed parsed = parse("x = " + std::string(row.without) + "\n");
    ASSERT_FALSE(parsed.error) << row.name;
    EXPECT_EQ(parsed.items[0].value->type, row.type) << row.block << "." << row.name;
    const auto words = words_of(row);
    EXPECT_TRUE(words.empty() || std::count(words.begin(), words.end(), parsed.items[0].value->raw))
        << row.name;
  }
}

}  // namespace
}  // namespace dapplewharf::config
