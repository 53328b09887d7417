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
  const ConfigurationResult direct =
      read_configuration(ConfigurationFiles{"", file, ""}, ConfigurationSource::environment_first);
  ASSERT_TRUE(direct.configuration) << direct.error;
  const ConfigurationResult rendered =
      read_configuration(folder.put("a.json", render(load(file)).dump()), ConfigurationSource::file_only);
  ASSERT_TRUE(rendered.configuration) << rendered.error;
  EXPECT_EQ(direct.configuration->settings, rendered.configuration->settings);
  EXPECT_EQ(direct.configuration->listen, rendered.configuration->listen);
  EXPECT_EQ(direct.configuration->descriptors, 1024 - 768);
}

TEST(Operators, FileStandsBesideTheConfigurationWholeOrNotAtAll) {
  const Folder folder;
  const std::string file = folder.put("a.dw", kGood);
  const std::string log = folder.put("operator.dw", "log {\n  format = json\n  decisions = warning\n}\n");
  const ConfigurationResult read =
      read_configuration(ConfigurationFiles{"", file, log}, ConfigurationSource::file_only);
  ASSERT_TRUE(read.configuration) << read.error;
  EXPECT_TRUE(read.configuration->log.json);
  EXPECT_EQ(read.configuration->log.decisions, "warning");
  const std::string wrong = folder.put("wrong.dw", "limits {\n  tries = 3\n}\n");
  EXPECT_FALSE(
      read_configuration(ConfigurationFiles{"", file, wrong}, ConfigurationSource::file_only).configuration)
      << "the platform's to say";
  const std::string half = folder.put("half.dw", "log {\n  format = js");
  const ConfigurationResult refused =
      read_configuration(ConfigurationFiles{"", file, half}, ConfigurationSource::file_only);
  EXPECT_NE(refused.error.find("half.dw:2:"), std::string::npos) << refused.error;
  EXPECT_EQ(refused.error.find('\n'), std::string::npos);
  EXPECT_TRUE(load(OPERATOR_FILE, Use::operators).good());
}

}  // namespace
}  // namespace dapplewharf::config
