// Parsing of scenarios, the position and text of its errors, overrides by name, and the reference page.
#include "emulator/model/scenario.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace dapplewharf::emulator {
namespace {

const std::string kValidScenario =
    "name = \"x\"\nduration_s = 5\n[hosts]\ncount = 4\n[[traffic]]\nname = \"plain\"\n[clients]\nramp_s = "
    "1\n";

std::string error_of(const std::string& text) {
  try {
    parse_scenario(text, "f.toml");
  } catch (const InvalidInput& error) {
    return error.what();
  }
  return "";
}

struct InvalidCase {
  const char* text;   // appended to kValidScenario
  const char* error;  // how the error begins, from its line on
};
void PrintTo(const InvalidCase& invalid, std::ostream* out) {
  *out << invalid.error;
}

class InvalidScenario : public testing::TestWithParam<InvalidCase> {};

TEST_P(InvalidScenario, IsRejectedWithAOneLineErrorAndItsPosition) {
  const std::string error = error_of(kValidScenario + GetParam().text);
  EXPECT_TRUE(error.starts_with(std::string("f.toml:") + GetParam().error)) << error;
  EXPECT_EQ(error.find('\n'), std::string::npos);
  EXPECT_NE(error.find("; expected"), std::string::npos) << error;
}

INSTANTIATE_TEST_SUITE_P(
    All, InvalidScenario,
    testing::Values(
        InvalidCase{"= 3\n", "9:1: "}, InvalidCase{"a = [1,\n", "9:9: "},
        InvalidCase{"standing = -5\n", "9:12: 'clients.standing' is -5; expected a number from 0 to 1000000"},
        InvalidCase{"standing = 1e400\n", "9:17: "},
        InvalidCase{"standing = nan\n", "9:12: 'clients.standing' is not a number"},
        InvalidCase{"standing = \"many\"\n", "9:12: 'clients.standing' is not a number"},
        InvalidCase{"backoff = \"never\"\n",
                    "9:11: 'clients.backoff' is 'never'; expected one of: none at_once"},
        InvalidCase{"standign = 5\n", "9:1: unknown name 'standign' in 'clients'"},
        InvalidCase{"groups = 2.5\n", "1:1: a count is 2.5"},
        InvalidCase{"ramp_ms = 4\n", "9:1: unknown name 'ramp_ms'"},
        InvalidCase{"[[trouble]]\nkind = \"plague\"\n", "10:8: 'trouble.kind' is 'plague'"},
        InvalidCase{"[[trouble]]\nkind = \"slow\"\nat_s = 1\n", "9:1: fault 'slow' affects no host"},
        InvalidCase{"[[trouble]]\nkind = \"slow\"\nshare = 0.01\n", "9:1: fault 'slow' affects no host"},
        InvalidCase{"[[trouble]]\nkind = \"slow\"\nhosts = [9]\n",
                    "9:1: there is no host 9; expected 0 to 3"},
        InvalidCase{"[[trouble]]\nkind = \"slow\"\nhosts = [-1]\n", "11:10: 'hosts' holds an invalid index"},
        InvalidCase{"[[trouble]]\nkind = \"slow\"\nhosts = []\n", "11:9: 'hosts' is not a list"},
        InvalidCase{"[[trouble]]\nkind = \"slow\"\nhosts = [0]\nsize = 0.5\n",
                    "9:1: fault 'slow' has size 0.5"},
        InvalidCase{"[[trouble]]\nkind = \"slow\"\nhosts = [0]\nat_s = 99\n",
                    "9:1: fault 'slow' begins at 99 s"},
        InvalidCase{"[[trouble]]\nkind = \"drop\"\nhosts = [0]\n",
                    "9:1: fault 'drop' does not affect single hosts"},
        InvalidCase{"[[trouble]]\nkind = \"node_killed\"\n", "9:1: fault 'node_killed' affects no node"},
        InvalidCase{"[[trouble]]\nkind = \"zone_cut\"\nzone = \"near\"\nto = \"moon\"\n",
                    "9:1: there is no zone 'moon'"},
        InvalidCase{"[[trouble]]\nkind = \"zone_cut\"\nzone = \"near\"\nto = \"near\"\n",
                    "9:1: 'zone' and 'to' are the same zone"},
        InvalidCase{"[[trouble]]\nat_s = 1\n", "9:1: an entry of 'trouble' has no 'kind'"},
        InvalidCase{
            "[[trouble]]\nkind = \"vanish\"\nhosts = [1]\nat_s = 1\n[[trouble]]\nkind = \"drain\"\nhosts "
            "= [1]\nat_s = 3\n",
            "13:1: faults 'drain' and 'vanish' (line 9) both stop host 1 at the same time"},
        InvalidCase{"[[traffic]]\nname = \"plain\"\n", "9:1: the name 'plain' occurs twice in 'traffic'"},
        InvalidCase{"[[traffic]]\nname = \"b\"\nexpiry_ms = 10\n",
                    "1:1: traffic type 'b' expires before its latency goal"},
        InvalidCase{"[[tenant]]\nname = \"a\"\nshare = 0.7\n[[tenant]]\nname = \"b\"\nshare = 0.7\n",
                    "1:1: tenants' shares add up to 1.4"},
        InvalidCase{"[[tenant]]\nshare = 0.7\n", "9:1: an entry of 'tenant' has no 'name'"},
        InvalidCase{"[network]\nzones = [\"a\", \"a\"]\n", "10:9: a zone occurs twice"},
        InvalidCase{"[network]\nzones = []\n", "10:9: 'network.zones' is not a list"},
        InvalidCase{"[rules]\nfall_ms = true\n", "10:11: 'rules.fall_ms' is not a number"},
        InvalidCase{"[lists]\n", "9:2: unknown name 'lists'"}));

TEST(Scenario, WithoutNameOrTrafficIsRejected) {
  EXPECT_EQ(error_of("duration_s = 5\n"), "f.toml:1:1: the scenario has no 'name'; expected one");
  EXPECT_TRUE(error_of("name = \"x\"\n").starts_with("f.toml:1:1: the scenario has no traffic type"));
  EXPECT_THROW(read_scenario("/nowhere/at/all.toml"), InvalidInput);
}

TEST(Scenario, EveryExampleIsValid) {
  int count = 0;
  for (const auto& entry : std::filesystem::directory_iterator(EXAMPLES)) {
    EXPECT_NO_THROW(read_scenario(entry.path().string())) << entry.path();
    ++count;
  }
  EXPECT_GE(count, 12);
}

TEST(Scenario, EachFaultIsParsedAsTheKindItNames) {
  const std::string head = "name = \"n\"\n[[traffic]]\nname = \"t\"\n[[trouble]]\nat_s = 1\nfor_s = 2\n";
  const std::pair<const char*, FaultKind> kinds[] = {{"neighbour\"\nhosts = [0]", FaultKind::neighbour},
                                                     {"reset\"\nhosts = [0]", FaultKind::reset},
                                                     {"drop\"", FaultKind::disconnect},
                                                     {"list_down\"", FaultKind::list_down},
                                                     {"node_killed\"\nnodes = [0]", FaultKind::node_killed},
                                                     {"node_reload\"\nnodes = [0]", FaultKind::node_reload},
                                                     {"hush\"", FaultKind::quiet_period},
                                                     {"crowd\"", FaultKind::surge}};
  for (const auto& [named, kind] : kinds) {
    EXPECT_EQ(parse_scenario(head + "kind = \"" + named + "\n", "n").faults.front().kind, kind) << named;
  }
}

TEST(Scenario, SetSettingAcceptsValidValuesOfKnownNamesOnly) {
  Scenario scenario = parse_scenario(kValidScenario, "f.toml");
  set_setting(scenario, "clients.standing", "77");
  EXPECT_EQ(scenario.initial_clients, 77);
  set_setting(scenario, "clients.backoff", "none");
  EXPECT_EQ(scenario.backoff, "none");
  EXPECT_THROW(set_setting(scenario, "clients.standing", "-1"), InvalidInput);
  EXPECT_THROW(set_setting(scenario, "clients.nothing", "1"), InvalidInput);
  EXPECT_THROW(set_setting(scenario, "clients.ramp_s", "50"), InvalidInput)
      << "the ramp would be longer than the run";
}

TEST(Scenario, TheReferencePageContainsTheTableOfSettings) {
  std::ifstream in(std::string(DOCS) + "/scenario.md");
  std::ostringstream page;
  page << in.rdbuf();
  EXPECT_NE(page.str().find(settings_reference()), std::string::npos)
      << "run dapplewharf_emulator schema and put it into docs/scenario.md";
}

}  // namespace
}  // namespace dapplewharf::emulator
