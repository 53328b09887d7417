// Rendering to the JSON of the node, importing it, comparing, and what the platform grants.
#include "config/render.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "configuration_fixtures.h"
#include "drawn_configurations.h"

namespace dapplewharf::config {
namespace {

TEST(Render, ThenImportThenRenderIsAlike) {
  for (const auto& entry : fs::directory_iterator(PROFILES)) {
    const Document document = load(entry.path().string());
    ASSERT_EQ(first_error(document), "") << entry.path();
    const auto json = render(document);
    const Imported back = import(json);
    ASSERT_EQ(back.error, "");
    EXPECT_TRUE(back.left_out.empty()) << back.left_out.front();
    EXPECT_EQ(render(load_text(back.text, "x.dw")), json);
  }
  EXPECT_TRUE(rc::check("drawn configurations", [] {
    const Document document = load_text(drawn_configuration(), "x.dw");
    RC_PRE(document.good());
    const auto json = render(document);
    RC_ASSERT(render(load_text(import(json).text, "x.dw")) == json);
  }));
}

TEST(Import, RefusesWhatIsNoConfigurationAndNamesWhatItLeavesOut) {
  EXPECT_NE(import(nlohmann::json::array()).error, "");
  EXPECT_NE(import({{"settings", 3}}).error, "");
  auto json = render(load_text(kGood, "x.dw"));
  json["settings"]["blend"]["whole"] = 0.45;
  EXPECT_EQ(import(json).left_out, std::vector<std::string>{"/settings/blend/whole"});
  json["settings"]["guarantees"]["coldMs"] = -3;  // a figure that no setting can have is not written
  EXPECT_FALSE(load_text(import(json).text, "x.dw").good());
}

TEST(Diff, IsByMeaningAndTellsWhatAReloadTakes) {
  std::string other = kGood;
  other.replace(other.find("800ms"), 5, "0.8s");
  EXPECT_TRUE(differences(load_text(kGood, "a"), load_text(other, "b")).empty());
  other.replace(other.find("3.2s"), 4, "2.5s");
  other.replace(other.find("127.0.0.1:8000"), 14, "127.0.0.1:8009");
  other += "tenant \"new\" {\n  share = 5%\n}\n";
  const auto found = differences(load_text(kGood, "a"), load_text(other, "b"));
  ASSERT_EQ(found.size(), 3u);
  EXPECT_EQ(found[0].name, "sidecar.listen");
  EXPECT_FALSE(found[0].reload);
  EXPECT_EQ(found[1].name, "traffic \"plain\".expiry");
  EXPECT_EQ(found[1].before + found[1].after, "3.2s2.5s");
  EXPECT_TRUE(found[1].reload);
  EXPECT_EQ(found[2].name + found[2].before + found[2].after, "tenant \"new\"there");
}

TEST(Platform, NothingGoesBeyondWhatItGrants) {
  const Document document = load_text(kGood, "x.dw");
  auto platform = render(document);
  EXPECT_TRUE(beyond(document, platform).empty());
  platform["settings"]["guarantees"]["stopSendingWithinMs"] = 1000;
  platform["limits"]["sockets"] = 128;
  platform["limits"]["memory_mb"] = 16;
  const auto found = beyond(document, platform);
  ASSERT_EQ(found.size(), 3u);
  EXPECT_EQ(found[0].what, "'drain_grace' is 1.5s, the platform grants 1s; expected no more");
  EXPECT_EQ(found[1].what, "'descriptors' is 256, the platform grants 128; expected no more");
  EXPECT_EQ(found[2].what, "'memory' is 32MiB, the platform grants 16MiB; expected no more");
  EXPECT_TRUE(beyond(document, nlohmann::json::object()).empty());
  std::string looser = kGood;
  looser.insert(looser.find("  drain_grace"), "  drain_binds_alone = on\n");
  const Document alone = load_text(looser, "x.dw");
  auto granted = render(alone);
  EXPECT_EQ(granted["settings"]["guarantees"]["drainBindsAlone"], true);
  EXPECT_TRUE(beyond(alone, granted).empty());
  granted["settings"]["guarantees"].erase("drainBindsAlone");
  ASSERT_EQ(beyond(alone, granted).size(), 1u) << "absent means that gone binds too";
}

}  // namespace
}  // namespace dapplewharf::config
