// Tests of what the store's keys say.
#include "src/runtime/line/store_view.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "platform/platform.h"

namespace tarragondale::runtime {
namespace {

store::keyspace::item Member(std::string_view id, std::string_view zone) {
  return {
      .key = fmt::format("{}{}", platform::kMemberPrefix, id),
      .value = fmt::format(
          R"({{"service":"g","address":"127.0.0.1:1","zone":"{}","slots":2,)"
          R"("state":"ready","dbRole":"replica","sequence":1}})",
          zone),
      .revision = 1};
}

store::keyspace::item Evacuation(std::string_view zone,
                                 std::string value = "") {
  return {.key = fmt::format("{}{}", platform::kEvacuationPrefix, zone),
          .value = std::move(value),
          .revision = 2};
}

class StoreViewTest : public testing::Test {
 protected:
  std::string Evacuated() const {
    std::string ids;
    for (const auto& [id, record] : *last_.value) {
      ids += record.evacuated ? id : "";
    }
    return ids;
  }

  void Apply(const store::keyspace::item& item, bool removed = false) {
    view_.Apply({{item, removed}}, "test", TimeFromMs(0));
  }

  interactive::members_changed last_;
  int published_ = 0;
  store_view view_{{.configuration = [](const auto&) {},
                    .members =
                        [this](const interactive::members_changed& changed) {
                          last_ = changed;
                          ++published_;
                        },
                    .fleet = [](const auto&) {}}};
};

// Guards against a VM that starts during an evacuation and serves callers
// before it knows of it: the first list of members must show it, whatever the
// order of the keys.
TEST_F(StoreViewTest, FirstLoadShowsEvacuations) {
  EXPECT_FALSE(view_.loaded());
  view_.Load({Evacuation("z1"), Member("a", "z1"), Member("b", "z2")}, 5,
             "test", TimeFromMs(0));
  EXPECT_TRUE(view_.loaded());
  EXPECT_EQ(published_, 1);
  EXPECT_EQ(Evacuated(), "a");
  EXPECT_EQ(last_.evacuated_zones, interactive::zone_set{"z1"});
}

TEST_F(StoreViewTest, ChangesStartAndEndEvacuations) {
  view_.Load({Member("a", "z1"), Member("b", "z2")}, 5, "test", TimeFromMs(0));
  EXPECT_EQ(Evacuated(), "");
  Apply(Evacuation("z1"));
  EXPECT_EQ(Evacuated(), "a");
  Apply(Evacuation("z2", "any value"));
  EXPECT_EQ(Evacuated(), "ab");
  Apply(Evacuation("z1"), true);
  EXPECT_EQ(Evacuated(), "b");
  EXPECT_EQ(published_, 4);
  // Neither a repeated request nor a repeated end changes anything.
  Apply(Evacuation("z2", "another value"));
  Apply(Evacuation("z1"), true);
  EXPECT_EQ(published_, 4);
}

// Guards against an evacuation that outlasts its key, for example when the
// store was restored or a watch missed the key's removal. Unlike a member that
// leaves, an evacuated one comes back without a new start.
TEST_F(StoreViewTest, LoadWithoutTheKeyEndsTheEvacuation) {
  view_.Load({Evacuation("z1"), Member("a", "z1")}, 5, "test", TimeFromMs(0));
  EXPECT_EQ(Evacuated(), "a");
  view_.Load({Member("a", "z1")}, 9, "test", TimeFromMs(0));
  EXPECT_EQ(Evacuated(), "");
  EXPECT_TRUE(last_.evacuated_zones.empty());
}

// Guards against a member that registers during the evacuation and gets work.
TEST_F(StoreViewTest, MemberThatRegistersLaterIsEvacuated) {
  view_.Load({Evacuation("z1")}, 5, "test", TimeFromMs(0));
  Apply(Member("a", "z1"));
  EXPECT_EQ(Evacuated(), "a");
}

TEST_F(StoreViewTest, UnknownZoneAndOtherKeysChangeNoMember) {
  view_.Load({Evacuation(""),
              Evacuation("z9"),
              Member("a", "z1"),
              Member("b", ""),
              {.key = "op/evacuate", .value = "z1", .revision = 3},
              {.key = "op/evacuated/z1", .value = "", .revision = 3}},
             5, "test", TimeFromMs(0));
  EXPECT_EQ(Evacuated(), "");
  EXPECT_EQ(last_.evacuated_zones, interactive::zone_set{"z9"});
}

}  // namespace
}  // namespace tarragondale::runtime
