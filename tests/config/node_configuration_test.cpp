// What the node takes of a configuration in the language and of the operators' file.
#include <gtest/gtest.h>

#include "config/render.h"
#include "configuration_fixtures.h"
#include "node/configuration.h"

namespace dapplewharf::config {
namespace {

TEST(Render, IsWhatTheNodeTakes) {
  const Folder folder;
  const std::string file = folder.put("a.dw", kGood);
  const Read direct = read_configuration(Files{"", file, ""}, Source::environment_first);
  ASSERT_TRUE(direct.taken) << direct.fault;
  const Read rendered =
      read_configuration(folder.put("a.json", render(load(file)).dump()), Source::file_only);
  ASSERT_TRUE(rendered.taken) << rendered.fault;
  EXPECT_EQ(direct.taken->env, rendered.taken->env);
  EXPECT_EQ(direct.taken->listen, rendered.taken->listen);
  EXPECT_EQ(direct.taken->descriptors, 1024 - 768);
}

TEST(Operators, FileStandsBesideTheConfigurationWholeOrNotAtAll) {
  const Folder folder;
  const std::string file = folder.put("a.dw", kGood);
  const std::string log = folder.put("operator.dw", "log {\n  format = json\n  decisions = warning\n}\n");
  const Read read = read_configuration(Files{"", file, log}, Source::file_only);
  ASSERT_TRUE(read.taken) << read.fault;
  EXPECT_TRUE(read.taken->log.json);
  EXPECT_EQ(read.taken->log.decisions, "warning");
  const std::string wrong = folder.put("wrong.dw", "limits {\n  tries = 3\n}\n");
  EXPECT_FALSE(read_configuration(Files{"", file, wrong}, Source::file_only).taken)
      << "the platform's to say";
  const std::string half = folder.put("half.dw", "log {\n  format = js");
  const Read refused = read_configuration(Files{"", file, half}, Source::file_only);
  EXPECT_NE(refused.fault.find("half.dw:2:"), std::string::npos) << refused.fault;
  EXPECT_EQ(refused.fault.find('\n'), std::string::npos);
  EXPECT_TRUE(load(OPERATOR_FILE, Use::operators).good());
}

}  // namespace
}  // namespace dapplewharf::config
