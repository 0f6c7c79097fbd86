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

constexpr time_point kNow = TimeFromMs(1'000'000);

TEST(MemberListingTest, FollowsTheStore) {
  member_listing listing;
  listing.Load({Written("a", "127.0.0.1:1", 3).now,
                {.key = "other", .value = "x", .revision = 4}},
               kNow);
  EXPECT_EQ(listing.members().size(), 1U);
  EXPECT_TRUE(listing.Apply(Written("b", "127.0.0.1:2", 9), kNow));
  EXPECT_TRUE(listing.Apply(Removed("a", 9), kNow));  // The same transaction's.
  EXPECT_FALSE(listing.Apply({{.key = "other", .revision = 12}, false}, kNow));
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
  listing.Apply(entry("ready", 5), kNow);
  EXPECT_FALSE(listing.members().at("a").draining);
  listing.Apply(entry("draining", 5), kNow);
  listing.Apply(entry("ready", 5), kNow);
  EXPECT_TRUE(listing.members().at("a").draining);
  listing.Apply(entry("ready", 6), kNow);
  EXPECT_FALSE(listing.members().at("a").draining);
}

// Guards against the use of an entry that became unreadable.
TEST(MemberListingTest, UnreadableEntryNamesNoMember) {
  member_listing listing;
  listing.Load({Written("a", "127.0.0.1:1", 1).now}, kNow);
  EXPECT_TRUE(listing.Apply(
      {{.key = Key("a"), .value = "\xff", .revision = 2}, false}, kNow));
  EXPECT_TRUE(listing.members().empty());
}

store::keyspace::change Cold(int left_ms, int64_t revision, int born = 5) {
  return {
      {.key = Key("a"),
       .value = fmt::format(
           R"({{"service":"g","address":"127.0.0.1:1","zone":"z","slots":2,)"
           R"("state":"ready","dbRole":"replica","born":{},"coldLeftMs":{}}})",
           born, left_ms),
       .revision = revision},
      false};
}

// Guards against a cold time that ends early or starts again when an entry is
// read again, and against a new list of members for each heartbeat.
TEST(MemberListingTest, ColdTimeCountsDownFromTheReceiptOfTheReport) {
  member_listing listing;
  const auto until = [&] { return listing.members().at("a").cold_until; };
  EXPECT_TRUE(listing.Apply(Cold(10'000, 1), kNow));
  EXPECT_EQ(until(), kNow + seconds(10));
  // A heartbeat as expected, and one that arrived sooner.
  EXPECT_FALSE(listing.Apply(Cold(9'000, 2), kNow + seconds(1)));
  EXPECT_FALSE(listing.Apply(Cold(8'000, 3), kNow + milliseconds(1'990)));
  EXPECT_EQ(until(), kNow + seconds(10));
  // A late one.
  EXPECT_TRUE(listing.Apply(Cold(7'000, 4), kNow + milliseconds(3'200)));
  EXPECT_EQ(until(), kNow + milliseconds(10'200));
  // The same entry again, from the store or another VM.
  listing.Load({Cold(7'000, 4).now}, kNow + seconds(9));
  EXPECT_EQ(until(), kNow + milliseconds(10'200));
  // The last report, and one after the end.
  listing.Apply(Cold(0, 5), kNow + milliseconds(9'500));
  EXPECT_EQ(until(), kNow + milliseconds(10'200));
  listing.Load({Cold(0, 5).now}, kNow + seconds(60));
  EXPECT_EQ(until(), kNow + milliseconds(10'200));
}

// Guards against a restored store that holds an entry from before the start.
TEST(MemberListingTest, EntryOfAFormerStartDoesNotEndTheColdTime) {
  member_listing listing;
  listing.Apply(Cold(10'000, 7, 6), kNow);
  listing.Apply(Cold(0, 3, 5), kNow + seconds(1));
  EXPECT_EQ(listing.members().at("a").cold_until, kNow + seconds(10));
  EXPECT_TRUE(listing.Apply(Cold(4'000, 9, 8), kNow + seconds(2)));
  EXPECT_EQ(listing.members().at("a").cold_until, kNow + seconds(6));
}

}  // namespace
}  // namespace tarragondale::runtime
