// Property tests of session tokens and transaction ids.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <set>

#include "tarragondale/session.h"

namespace tarragondale::session {
namespace {

constexpr std::string_view kKey = "kkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkk";

log_position SomePosition() {
  return {*rc::gen::inRange<int64_t>(1, 4), *rc::gen::inRange<int64_t>(1, 50)};
}

// Few names, so that tokens share groups; `long_names` reaches the byte limit.
std::string SomeGroup(int count, bool long_names = false) {
  const std::string name = "g" + std::to_string(*rc::gen::inRange(0, count));
  return long_names ? name + std::string(60, 'x') : name;
}

token SomeToken(int groups, bool long_names = false) {
  token value =
      *rc::gen::arbitrary<bool>() ? token("north") : token::Lost("north");
  const int uses = *rc::gen::inRange(0, 30);
  for (int i = 0; i < uses; ++i) {
    value.Advance(SomeGroup(groups, long_names), SomePosition(), true);
  }
  return value;
}

// Value of a group in the order none < positions < unknown.
std::pair<bool, log_position> Value(const token& t, const std::string& group) {
  const freshness f = t.Requirement(group);
  return {f.primary_only, f.minimum};
}

void Check(const std::function<void()>& property, const char* what) {
  EXPECT_TRUE(rc::check(what, property));
}

// Guards against a token that loses or changes a position on its way.
TEST(session, round_trip_within_bounds) {
  Check(
      [] {
        const token value = SomeToken(24, *rc::gen::arbitrary<bool>());
        const std::string text = Encode(value, kKey);
        RC_ASSERT(text.size() <= kMaxTokenBytes);
        RC_ASSERT(value.groups().size() <= kMaxGroups);
        const result<token> read = Decode(text, kKey, "north");
        RC_ASSERT(bool(read));
        RC_ASSERT(*read == value);
      },
      "round trip");
}

// Guards against a forged token or transaction id.
TEST(session, any_changed_byte_is_refused) {
  Check(
      [] {
        const bool is_token = *rc::gen::arbitrary<bool>();
        const std::string text =
            is_token ? Encode(SomeToken(16), kKey)
                     : EncodeTransaction({.gateway = "vm",
                                          .group = "g",
                                          .member = "m",
                                          .route = "r",
                                          .kind = wire::request_kind::kWrite,
                                          .id = {1, 2},
                                          .organisation = "north"},
                                         kKey);
        std::string changed = text;
        const size_t at = *rc::gen::inRange<size_t>(0, text.size());
        switch (*rc::gen::inRange(0, 3)) {
          case 0:
            changed[at] = *rc::gen::arbitrary<char>();
            break;
          case 1:
            changed.resize(at);
            break;
          default:
            changed.insert(at, 1, *rc::gen::arbitrary<char>());
        }
        RC_PRE(changed != text);
        RC_ASSERT(Decode(changed, kKey, "north").error().code ==
                  result_code::kTokenInvalid);
        RC_ASSERT(DecodeTransaction(changed, kKey, "north").error().code ==
                  result_code::kTransactionNotFound);
      },
      "changed byte");
}

// Guards against a merge that depends on the order or loses freshness.
TEST(session, merge_is_a_join_while_groups_fit) {
  Check(
      [] {
        const token a = SomeToken(16);
        const token b = SomeToken(16);
        const token c = SomeToken(16);
        const auto merged = [](token x, const token& y) {
          x.Merge(y);
          return x;
        };
        RC_ASSERT(merged(a, a) == a);
        RC_ASSERT(merged(a, b) == merged(b, a));
        RC_ASSERT(merged(merged(a, b), c) == merged(a, merged(b, c)));
      },
      "join");
}

// Guards against a session that moves backwards, also when groups are dropped.
TEST(session, advance_and_merge_never_lower_a_group) {
  Check(
      [] {
        const bool long_names = *rc::gen::arbitrary<bool>();
        const token before = SomeToken(24, long_names);
        const token other = SomeToken(24, long_names);
        token merged = before;
        merged.Merge(other);
        token advanced = before;
        const std::string used = SomeGroup(24, long_names);
        // A replica's answer satisfies the requirement; a group of unknown
        // position is read from the primary, which holds all of it.
        const bool primary = before.Requirement(used).primary_only;
        const log_position position =
            std::max(before.Requirement(used).minimum, SomePosition());
        advanced.Advance(used, position, primary);
        RC_ASSERT(merged.groups().size() <= kMaxGroups);
        std::set<std::string> names;
        for (const token* t : {&before, &other}) {
          for (const group_position& entry : t->groups()) {
            names.insert(entry.group);
          }
        }
        for (const std::string& group : names) {
          RC_ASSERT(Value(merged, group) >= Value(before, group));
          RC_ASSERT(Value(merged, group) >= Value(other, group));
          if (group != used || !primary) {
            RC_ASSERT(Value(advanced, group) >= Value(before, group));
          }
        }
        RC_ASSERT(Value(advanced, used).first ||
                  Value(advanced, used).second >= position);
      },
      "monotonic");
}

// Guards against a replica's position that hides what a session saw before
// its group was dropped.
TEST(session, unknown_groups_are_recorded_from_the_primary_only) {
  token lost = token::Lost("north");
  lost.Advance("g", {1, 5}, /*from_primary=*/false);
  EXPECT_TRUE(lost.Requirement("g").primary_only);
  lost.Advance("g", {1, 9}, /*from_primary=*/true);
  EXPECT_FALSE(lost.Requirement("g").primary_only);
  EXPECT_TRUE(lost.Requirement("h").primary_only);
}

// Guards against the wrong group being dropped and an unmarked loss.
TEST(session, least_recently_used_group_is_dropped) {
  token value("north");
  for (int i = 0; i < 16; ++i) {
    value.Advance("g" + std::to_string(i), {1, 1}, false);
  }
  value.Advance("g0", {1, 2}, false);
  EXPECT_FALSE(value.incomplete());
  value.Advance("new", {1, 1}, false);
  EXPECT_TRUE(value.Requirement("g1").primary_only);
  EXPECT_FALSE(value.Requirement("g0").primary_only);
  EXPECT_EQ(value.groups().size(), kMaxGroups);
}

// Guards against another organisation's token or transaction, and against a
// token that passes as a transaction id.
TEST(session, foreign_texts_are_refused) {
  const std::string text = Encode(token("north"), kKey);
  EXPECT_EQ(Decode(text, kKey, "south").error().code,
            result_code::kTokenForeign);
  EXPECT_EQ(Decode(text, std::string(32, 'x'), "north").error().code,
            result_code::kTokenInvalid);
  EXPECT_TRUE(Decode(text, kKey, ""));
  EXPECT_TRUE(Decode(Encode(token(""), kKey), kKey, "south"));
  EXPECT_FALSE(DecodeTransaction(text, kKey));
  const transaction_id id{.gateway = "vm",
                          .group = "g",
                          .member = "m",
                          .route = "r",
                          .kind = wire::request_kind::kWrite,
                          .id = {1, 2},
                          .organisation = "north"};
  const std::string transaction = EncodeTransaction(id, kKey);
  EXPECT_EQ(*DecodeTransaction(transaction, kKey, "north"), id);
  EXPECT_EQ(DecodeTransaction(transaction, kKey, "south").error().code,
            result_code::kTransactionNotFound);
  EXPECT_EQ(Decode(transaction, kKey, "north").error().code,
            result_code::kTokenInvalid);
}

// Guards against a token text that is too long for its header.
TEST(session, oversized_organisation_gives_a_lost_token) {
  EXPECT_EQ(Encode(token(std::string(2'000, 'o')), kKey), kLostToken);
}

}  // namespace
}  // namespace tarragondale::session
