// Tests of the list of members.
#include "src/runtime/line/member_listing.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "platform/platform.h"

namespace tarragondale::runtime {
namespace {

std::string Key(std::string_view id) {
  return fmt::format("{}{}", platform::kMemberPrefix, id);
}

std::string Value(std::string_view address) {
  return fmt::format(R"({{"service":"g","address":"{}","zone":"z","slots":2,)"
                     R"("state":"ready","dbRole":"replica","sequence":1}})",
                     address);
}

store::keyspace::change Written(std::string_view id,
                                std::string_view address,
                                int64_t revision) {
  return {{.key = Key(id), .value = Value(address), .revision = revision},
          false};
}

store::keyspace::change Removed(std::string_view id, int64_t revision) {
  return {{.key = Key(id), .revision = revision}, true};
}

TEST(MemberListingTest, FollowsTheStore) {
  member_listing listing;
  listing.Load({Written("a", "127.0.0.1:1", 3).now,
                {.key = "other", .value = "x", .revision = 4}});
  EXPECT_EQ(listing.members().size(), 1U);
  EXPECT_TRUE(listing.Apply(Written("b", "127.0.0.1:2", 9)));
  EXPECT_TRUE(listing.Apply(Removed("a", 9)));  // The same transaction's.
  EXPECT_FALSE(listing.Apply({{.key = "other", .revision = 12}, false}));
  ASSERT_EQ(listing.members().size(), 1U);
  EXPECT_EQ(listing.members().begin()->second.address, "127.0.0.1:2");
}

// Guards against new work for a member that leaves, when a restored store holds
// its entry from before.
TEST(MemberListingTest, LeavingMemberStaysLeavingUntilItStartsAgain) {
  const auto entry = [](std::string_view state, int born) {
    return store::keyspace::change{
        {.key = Key("a"),
         .value = fmt::format(
             R"({{"service":"g","address":"127.0.0.1:1","zone":"z","slots":2,)"
             R"("state":"{}","dbRole":"replica","sequence":1,"born":{}}})",
             state, born),
         .revision = 1},
        false};
  };
  member_listing listing;
  listing.Apply(entry("ready", 5));
  EXPECT_FALSE(listing.members().at("a").draining);
  listing.Apply(entry("draining", 5));
  listing.Apply(entry("ready", 5));
  EXPECT_TRUE(listing.members().at("a").draining);
  listing.Apply(entry("ready", 6));
  EXPECT_FALSE(listing.members().at("a").draining);
}

// Guards against the use of an entry that became unreadable.
TEST(MemberListingTest, UnreadableEntryNamesNoMember) {
  member_listing listing;
  listing.Load({Written("a", "127.0.0.1:1", 1).now});
  EXPECT_TRUE(listing.Apply(
      {{.key = Key("a"), .value = "\xff", .revision = 2}, false}));
  EXPECT_TRUE(listing.members().empty());
}

}  // namespace
}  // namespace tarragondale::runtime
