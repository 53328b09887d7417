// Scenarios: what is wrong is told with its place; what is right is all taken; the reference is the table's.
#include "emulator/model/scenario.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace dapplewharf::emulator {
namespace {

const std::string kGood =
    "name = \"x\"\nduration_s = 5\n[hosts]\ncount = 4\n[[traffic]]\nname = \"plain\"\n[clients]\nramp_s = "
    "1\n";

std::string fault_of_text(const std::string& text) {
  try {
    parse_scenario(text, "f.toml");
  } catch (const InvalidInput& error) {
    return error.what();
  }
  return "";
}

struct Faulty {
  const char* text;     // added to what is good
  const char* message;  // how the fault begins
};
void PrintTo(const Faulty& faulty, std::ostream* out) {
  *out << faulty.message;
}

class FaultyScenario : public testing::TestWithParam<Faulty> {};

TEST_P(FaultyScenario, IsToldInOneLineWithItsPlace) {
  const std::string told = fault_of_text(kGood + GetParam().text);
  EXPECT_TRUE(told.starts_with(std::string("f.toml:") + GetParam().message)) << told;
  EXPECT_EQ(told.find('\n'), std::string::npos);
  EXPECT_NE(told.find("; expected"), std::string::npos) << told;
}

INSTANTIATE_TEST_SUITE_P(
    All, FaultyScenario,
    testing::Values(
        Faulty{"= 3\n", "9:1: "}, Faulty{"a = [1,\n", "9:9: "},
        Faulty{"standing = -5\n", "9:12: 'clients.standing' is -5; expected a number from 0 to 1000000"},
        Faulty{"standing = 1e400\n", "9:17: "},
        Faulty{"standing = nan\n", "9:12: 'clients.standing' is no number"},
        Faulty{"standing = \"many\"\n", "9:12: 'clients.standing' is no number"},
        Faulty{"backoff = \"never\"\n", "9:11: 'clients.backoff' is 'never'; expected one of: none at_once"},
        Faulty{"standign = 5\n", "9:1: unknown name 'standign' in 'clients'"},
        Faulty{"groups = 2.5\n", "1:1: a count is 2.5"},
        Faulty{"ramp_ms = 4\n", "9:1: unknown name 'ramp_ms'"},
        Faulty{"[[trouble]]\nkind = \"plague\"\n", "10:8: 'trouble.kind' is 'plague'"},
        Faulty{"[[trouble]]\nkind = \"slow\"\nat_s = 1\n", "9:1: trouble 'slow' names no host"},
        Faulty{"[[trouble]]\nkind = \"slow\"\nshare = 0.01\n", "9:1: trouble 'slow' names no host"},
        Faulty{"[[trouble]]\nkind = \"slow\"\nhosts = [9]\n", "9:1: there is no host 9; expected 0 to 3"},
        Faulty{"[[trouble]]\nkind = \"slow\"\nhosts = [-1]\n", "11:10: 'hosts' holds no number"},
        Faulty{"[[trouble]]\nkind = \"slow\"\nhosts = []\n", "11:9: 'hosts' is no list"},
        Faulty{"[[trouble]]\nkind = \"slow\"\nhosts = [0]\nsize = 0.5\n", "9:1: trouble 'slow' has size 0.5"},
        Faulty{"[[trouble]]\nkind = \"slow\"\nhosts = [0]\nat_s = 99\n",
               "9:1: trouble 'slow' begins at 99 s"},
        Faulty{"[[trouble]]\nkind = \"drop\"\nhosts = [0]\n", "9:1: trouble 'drop' is none of hosts"},
        Faulty{"[[trouble]]\nkind = \"node_killed\"\n", "9:1: trouble 'node_killed' names no node"},
        Faulty{"[[trouble]]\nkind = \"zone_cut\"\nzone = \"near\"\nto = \"moon\"\n",
               "9:1: there is no zone 'moon'"},
        Faulty{"[[trouble]]\nkind = \"zone_cut\"\nzone = \"near\"\nto = \"near\"\n",
               "9:1: a zone is cut from itself"},
        Faulty{"[[trouble]]\nat_s = 1\n", "9:1: an entry of 'trouble' has no 'kind'"},
        Faulty{"[[trouble]]\nkind = \"vanish\"\nhosts = [1]\nat_s = 1\n[[trouble]]\nkind = \"drain\"\nhosts "
               "= [1]\nat_s = 3\n",
               "13:1: troubles 'drain' and 'vanish' (line 9) both stop host 1 at one time"},
        Faulty{"[[traffic]]\nname = \"plain\"\n", "9:1: the name 'plain' stands twice in 'traffic'"},
        Faulty{"[[traffic]]\nname = \"b\"\nexpiry_ms = 10\n",
               "1:1: traffic type 'b' expires before its latency goal"},
        Faulty{"[[tenant]]\nname = \"a\"\nshare = 0.7\n[[tenant]]\nname = \"b\"\nshare = 0.7\n",
               "1:1: tenants' shares add up to 1.4"},
        Faulty{"[[tenant]]\nshare = 0.7\n", "9:1: an entry of 'tenant' has no 'name'"},
        Faulty{"[network]\nzones = [\"a\", \"a\"]\n", "10:9: a zone stands twice"},
        Faulty{"[network]\nzones = []\n", "10:9: 'network.zones' is no list"},
        Faulty{"[rules]\nfall_ms = true\n", "10:11: 'rules.fall_ms' is no number"},
        Faulty{"[lists]\n", "9:2: unknown name 'lists'"}));

TEST(Scenario, WithoutNameOrTrafficIsRefused) {
  EXPECT_EQ(fault_of_text("duration_s = 5\n"), "f.toml:1:1: the scenario has no 'name'; expected one");
  EXPECT_TRUE(fault_of_text("name = \"x\"\n").starts_with("f.toml:1:1: the scenario has no traffic type"));
  EXPECT_THROW(read_scenario("/nowhere/at/all.toml"), InvalidInput);
}

TEST(Scenario, EveryExampleIsGood) {
  int count = 0;
  for (const auto& entry : std::filesystem::directory_iterator(EXAMPLES)) {
    EXPECT_NO_THROW(read_scenario(entry.path().string())) << entry.path();
    ++count;
  }
  EXPECT_GE(count, 12);
}

TEST(Scenario, EachFaultIsReadAsTheKindItNames) {
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

TEST(Scenario, VaryTakesWhatTheTableKnowsAndNothingElse) {
  Scenario scenario = parse_scenario(kGood, "f.toml");
  set_setting(scenario, "clients.standing", "77");
  EXPECT_EQ(scenario.initial_clients, 77);
  set_setting(scenario, "clients.backoff", "none");
  EXPECT_EQ(scenario.backoff, "none");
  EXPECT_THROW(set_setting(scenario, "clients.standing", "-1"), InvalidInput);
  EXPECT_THROW(set_setting(scenario, "clients.nothing", "1"), InvalidInput);
  EXPECT_THROW(set_setting(scenario, "clients.ramp_s", "50"), InvalidInput) << "longer than the run";
}

TEST(Scenario, TheReferencePageIsTheTables) {
  std::ifstream in(std::string(DOCS) + "/scenario.md");
  std::ostringstream page;
  page << in.rdbuf();
  EXPECT_NE(page.str().find(settings_reference()), std::string::npos)
      << "run dapplewharf_emulator schema and put it into docs/scenario.md";
}

}  // namespace
}  // namespace dapplewharf::emulator
