// Tests of the message codec.
#include "tarragondale/wire.h"

#include <gtest/gtest.h>

#include <fstream>

namespace tarragondale::wire {
namespace {

execute_request FullRequest() {
  execute_request request;
  request.id = {7, 9};
  request.organisation = "north-office";
  request.group = "orders";
  request.member = "orders-1";
  request.kind = request_kind::kWrite;
  request.step = transaction_step::kCommit;
  request.transaction = {7, 8};
  request.statements = {{"INSERT INTO orders VALUES ($1, $2)",
                         {std::string("o-1"), std::nullopt}}};
  request.idempotency_key = "k";
  request.request_digest = RequestDigest(request.kind, request.statements);
  request.expected_term = 3;
  request.minimum = {2, 17};
  request.max_age_ms = 1000;
  request.budget_ms = 250;
  request.majority = false;
  return request;
}

fleet_digest FullDigest() {
  fleet_digest digest;
  digest.sequence = 5;
  digest.echo = 4;
  digest.incarnation = 1700000000000;
  digest.peer_address = "127.0.0.1:1";
  digest.watching = true;
  digest.reaches_store = true;
  digest.follows = true;
  digest.controller_digest_age_ms = 33;
  digest.confirmed_age_ms = 40;
  digest.store_revision = 530;
  digest.leaving = true;
  digest.primaries = {
      {"orders", "i-1", 3, 412, true, true, 412, {3, 77}, 12, 5, -1, 6, 2}};
  digest.scope = usage_scope::kFollowers;
  digest.counted_vms = 17;
  digest.usage = {{"north-office", 90, 31}};
  digest.stop_notices = {{"vm-7", 1700000000001, "orders", 412}};
  digest.coverage = {{"north-1", 0xfeedfacecafebeef, 410, {"proofs"}}};
  return digest;
}

std::vector<message> OneOfEachType() {
  execute_answer answer;
  answer.id = {1, 2};
  answer.code = result_code::kStatementFailed;
  answer.reason = "duplicate";
  answer.results = {
      {{{"id", 25}, {"n", 20}}, {{std::string("a"), std::nullopt}}, 1}};
  answer.position = {4, 5};
  const member_report report{.member = "orders-2",
                             .reachable = true,
                             .role = member_role::kReplica,
                             .term = 3,
                             .promised_term = 3,
                             .last_term = 2,
                             .position = 12,
                             .term_start = 10,
                             .age_ms = -1,
                             .queue_length = 4,
                             .service_time_us = 300};
  const vm_record vm{.name = "vm-1",
                     .peer_address = "127.0.0.1:1",
                     .http_address = "127.0.0.1:2",
                     .availability_zone = "z",
                     .region = "r",
                     .incarnation = 6,
                     .state = vm_state::kDead,
                     .configuration_version = 12};
  return {
      {"vm-1", FullRequest()},
      {"vm-1", answer},
      {"vm-1", cancel_request{{1, 2}, "orders", "orders-1"}},
      {"vm-1", group_report{"orders", {report}}},
      {"vm-1", group_interest{{"orders", "proofs"}}},
      {"vm-1", probe{3, "vm-2", "vm-1", {8, 20}, {vm}}},
      {"vm-1", probe_answer{3, "vm-2", "vm-1", {8, 20}, {vm}}},
      {"vm-1", reach_request{4, "orders", "orders-2"}},
      {"vm-1", reach_answer{4, "orders", report}},
      {"vm-1", FullDigest()},
      {"vm-1", store_request{21}},
      {"vm-1",
       store_changes{false, 21, 22, {{"members/i-7", "{}", 22, true, true}}}},
      {"vm-1", hosted_open{{7, 8, 9},
                           "orders",
                           "north-office",
                           {{"zone", "x"}},
                           {{"s1", "q2c", true}},
                           {3, 12}}},
      {"vm-1",
       hosted_statement{{7, 8, 9}, 2, "id", 5, "READ 1", "s1", "1", true}},
      {"vm-1", hosted_close{{7, 8, 9}}},
      {"vm-1", hosted_answer{{7, 8, 9},
                             2,
                             result_code::kOverloaded,
                             "full",
                             {"row"},
                             "signature",
                             1,
                             log_position{3, 12},
                             true}},
      {"vm-1", hosted_ended{{7, 8, 9}, true, 2, 3, true}},
      {"vm-1", host_check{{7, 8, 9}}},
      {"vm-1", host_alive{{7, 8, 9}}},
      {"vm-1", restricted_open{{{7, 8, 9}, "orders", "north", {}, {}, {3, 12}},
                               {"east"},
                               {"east", "west"}}},
      {"vm-1", packed_digest{7, 5, "zstd"}}};
}

// Guards against a field table that lacks a member, and against a type number
// that decodes to another type. A missing member is noticed only if its value
// here differs from the default. The order of members is not checked, since
// encoding and decoding use the same table.
TEST(WireTest, EveryMessageTypeRoundTrips) {
  const auto messages = OneOfEachType();
  ASSERT_EQ(messages.size(), std::variant_size_v<message_body>);
  for (size_t i = 0; i < messages.size(); ++i) {
    ASSERT_EQ(messages[i].body.index(), i);
    const auto decoded = Decode(Encode(messages[i]));
    ASSERT_TRUE(decoded) << MessageTypeName(messages[i].body);
    EXPECT_EQ(*decoded, messages[i]) << MessageTypeName(messages[i].body);
  }
}

// Guards against crashing on, or accepting, a truncated message or one with
// trailing bytes.
TEST(WireTest, TruncatedMessagesAreRejected) {
  for (const message& value : OneOfEachType()) {
    const std::string bytes = Encode(value);
    for (size_t length = 0; length < bytes.size(); ++length) {
      EXPECT_FALSE(Decode(std::string_view(bytes).substr(0, length)));
    }
    EXPECT_FALSE(Decode(bytes + "x"));
  }
}

// Guards against a crash on a corrupted byte, and against a decoding error with
// an empty reason. Decoding may also succeed, for example if the byte is part
// of a string.
TEST(WireTest, CorruptedBytesNeverCrash) {
  for (const message& value : OneOfEachType()) {
    const std::string bytes = Encode(value);
    for (size_t at = 0; at < bytes.size(); ++at) {
      for (const int mask : {0x01, 0x40, 0x80, 0xFF}) {
        std::string corrupted = bytes;
        corrupted[at] = static_cast<char>(corrupted[at] ^ mask);
        const auto decoded = Decode(corrupted);
        if (!decoded) {
          EXPECT_FALSE(decoded.error().reason.empty());
        }
      }
    }
  }
}

// Guards against decoding a body of another version with the current layout.
TEST(WireTest, OtherVersionsAreRejected) {
  std::string bytes = Encode(OneOfEachType().front());
  bytes[1] = kMessageVersion + 1;
  const auto decoded = Decode(bytes);
  ASSERT_FALSE(decoded);
  EXPECT_EQ(decoded.error().code, result_code::kMessageVersionUnknown);
}

// Guards against allocating as much memory as a forged length claims. The last
// message is nested deeper than the limit.
TEST(WireTest, ForgedLengthsAreRejected) {
  const std::string huge_array = "\xDD\xFF\xFF\xFF\xFF";
  const std::string huge_binary("\x94\x01\x00\xC6\xFF\xFF\xFF\xFF", 8);
  EXPECT_FALSE(Decode(huge_array));
  EXPECT_FALSE(Decode(huge_binary));
  EXPECT_FALSE(Decode(std::string(64, '\x91')));
}

// Largest virtual size so far, in KiB.
int64_t PeakKb() {
  std::ifstream status("/proc/self/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmPeak:")) {
      return std::stoll(line.substr(line.find(':') + 1));
    }
  }
  return 0;
}

// What a forged message may allocate: some times its size.
constexpr int64_t kForgedKb = 64 << 10;

// Guards against allocating structs for elements that decode to none. The
// message has an array of 2^20 small integers where session values belong.
TEST(WireTest, ForgedElementsAllocateNoStructs) {
  hosted_open open;
  open.database = "in front of the values";
  message value;
  value.body = open;
  std::string bytes = Encode(value);
  const std::string after = "in front of the values";
  // Behind the database follow the empty organisation and the empty values.
  const size_t at = bytes.find(after) + after.size() + 2;
  ASSERT_EQ(bytes[at], '\x90');
  constexpr size_t kElements = 1U << 20;
  bytes.replace(
      at, 1,
      std::string("\xdd\x00\x10\x00\x00", 5) + std::string(kElements, '\x01'));
  const int64_t before = PeakKb();
  ASSERT_GT(before, 0);
  EXPECT_EQ(Decode(bytes).error().code, result_code::kMessageMalformed);
  EXPECT_LT(PeakKb() - before, kForgedKb);
}

// Guards against allocating for the claims of arrays within arrays, each of
// which has the longest length that is allowed.
TEST(WireTest, ForgedNestedLengthsAllocateNothing) {
  constexpr int kLevels = 15;
  std::string bytes;
  for (int i = 0; i < kLevels; ++i) {
    bytes += std::string("\xdd\x00\x10\x00\x00", 5);
  }
  const int64_t before = PeakKb();
  ASSERT_GT(before, 0);
  EXPECT_EQ(Decode(bytes).error().code, result_code::kMessageMalformed);
  EXPECT_LT(PeakKb() - before, kForgedKb);
}

// Guards against equal digests of two different requests, which would let them
// share an idempotency key.
TEST(WireTest, DigestDependsOnKindTextAndParameters) {
  const std::vector<statement> a = {{"UPDATE t SET n = $1", {"1"}}};
  const std::vector<statement> b = {{"UPDATE t SET n = $1", {"2"}}};
  const std::vector<statement> null = {{"UPDATE t SET n = $1", {std::nullopt}}};
  const std::string digest = RequestDigest(request_kind::kWrite, a);
  EXPECT_EQ(digest, RequestDigest(request_kind::kWrite, a));
  EXPECT_NE(digest, RequestDigest(request_kind::kRead, a));
  EXPECT_NE(digest, RequestDigest(request_kind::kWrite, b));
  EXPECT_NE(digest, RequestDigest(request_kind::kWrite, null));
}

// Guards against recorded results that can't be decoded when a request is
// repeated, and against accepting invalid ones.
TEST(WireTest, RecordedResultsRoundTrip) {
  const std::vector<statement_result> results = {
      {{{"id", 25}}, {{"a"}, {std::nullopt}}, 2}, {{}, {}, 7}};
  const auto decoded = DecodeResults(EncodeResults(results));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(*decoded, results);
  EXPECT_FALSE(DecodeResults("garbage"));
}

TEST(WireTest, NamesAndEnumeratorsMatch) {
  for (const auto kind : {request_kind::kRead, request_kind::kWrite}) {
    EXPECT_EQ(RequestKindFromName(RequestKindName(kind)), kind);
  }
  for (const auto role :
       {member_role::kUnknown, member_role::kPrimary, member_role::kReplica}) {
    EXPECT_EQ(MemberRoleFromName(MemberRoleName(role)), role);
  }
  EXPECT_EQ(VmStateFromName("leaving"), vm_state::kLeaving);
  EXPECT_FALSE(VmStateFromName("gone"));
}

}  // namespace
}  // namespace tarragondale::wire
