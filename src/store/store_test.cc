// Tests of edits and of the rules for versions, without sockets.
#include <gtest/gtest.h>

#include "tarragondale/store.h"

namespace tarragondale::store {
namespace {

// Key-value service in memory. `faults` are taken one for each transaction
// that writes.
class memory_store final : public key_value_store {
 public:
  enum class fault : uint8_t {
    kNone,
    kRefused,
    kLostBefore,     ///< No effect, answer lost.
    kLostAfter,      ///< Effect, answer lost.
    kOtherEditFirst  ///< Another operator edits before.
  };
  std::vector<fault> faults;
  std::map<std::string, key_value> rows;
  int64_t revision = 0;
  std::function<void()> other_edit;

  result<range_answer> Range(const range_request& request) override {
    return Read(request);
  }

  result<txn_answer> Txn(const txn_request& request) override {
    fault now = fault::kNone;
    if (!request.compares.empty() && !faults.empty()) {
      now = faults.front();
      faults.erase(faults.begin());
    }
    if (now == fault::kRefused) {
      return failure{result_code::kStoreUnavailable, "refused"};
    }
    if (now == fault::kLostBefore) {
      return failure{result_code::kStoreAnswerLost, "lost"};
    }
    if (now == fault::kOtherEditFirst) {
      other_edit();
    }
    const txn_answer answer = Run(request);
    if (now == fault::kLostAfter) {
      return failure{result_code::kStoreAnswerLost, "lost"};
    }
    return answer;
  }

 private:
  range_answer Read(const range_request& request) const {
    range_answer answer;
    answer.revision = revision;
    for (const auto& [key, row] : rows) {
      const bool in_range = request.range_end.empty()
                                ? key == request.key
                                : key >= request.key && key < request.range_end;
      if (in_range) {
        answer.rows.push_back(row);
      }
    }
    return answer;
  }

  txn_answer Run(const txn_request& request) {
    txn_answer answer;
    answer.succeeded = true;
    for (const compare& each : request.compares) {
      const auto found = rows.find(each.key);
      const int64_t now = found == rows.end() ? 0 : found->second.mod_revision;
      answer.succeeded = answer.succeeded && now == each.number;
    }
    const auto& run = answer.succeeded ? request.success : request.failure;
    ++revision;
    for (const operation& each : run) {
      range_answer part;
      if (const auto* range = std::get_if<range_request>(&each)) {
        part = Read(*range);
      } else if (const auto* put = std::get_if<put_request>(&each)) {
        rows[put->key] = {put->key, put->value, 0, revision, 1, 0};
      } else {
        const auto& gone = std::get<delete_request>(each);
        std::erase_if(rows, [&](const auto& row) {
          return gone.range_end.empty()
                     ? row.first == gone.key
                     : row.first >= gone.key && row.first < gone.range_end;
        });
      }
      answer.answers.push_back(part);
    }
    answer.revision = revision;
    return answer;
  }
};

using fault = memory_store::fault;

config::pool_row Pool(const std::string& name, int slots = 2) {
  config::pool_row pool{name, name, "db", slots, 16, {}, {}, 0};
  const int port = 1000 + name[0];
  pool.members = {{"m1", fmt::format("127.0.0.1:{}", port), "z", "r", false}};
  return pool;
}

edit_change PutPool(const config::pool_row& pool) {
  edit_change change;
  change.pools = {pool};
  return change;
}

TEST(EditTest, WritesRowsVersionAndAuditTogether) {
  memory_store memory;
  configuration_store store(memory);
  const auto first = store.Edit(PutPool(Pool("a")), "ana");
  ASSERT_TRUE(first) << first.error().reason;
  EXPECT_EQ(first->version, 1);
  EXPECT_EQ(first->change, std::vector<std::string>{"put pools/a"});
  edit_change change = PutPool(Pool("b"));
  change.delete_pools = {"a"};
  EXPECT_EQ(store.Edit(change, "ben")->version, 2);
  const auto loaded = store.Load();
  EXPECT_EQ(loaded->rows.value().pools.size(), 1U);
  EXPECT_EQ(loaded->rows.value().pools.at("b").version, 2);
  EXPECT_EQ(loaded->rows.version().writer, "ben");
  const auto audit = store.Audit(1);
  ASSERT_EQ(audit->size(), 1U);
  EXPECT_EQ(audit->front().change,
            (std::vector<std::string>{"put pools/b", "delete pools/a"}));
  // An edit that changes nothing takes no version.
  EXPECT_EQ(store.Edit(PutPool(Pool("b")), "ben")->version, 2);
}

TEST(EditTest, RefusalsWriteNothing) {
  memory_store memory;
  configuration_store store(memory);
  ASSERT_TRUE(store.Edit(PutPool(Pool("a")), "ana"));
  const auto before = memory.rows;
  EXPECT_EQ(store.Edit(PutPool(Pool("b", 99)), "ana").error().code,
            result_code::kTableInvalid);
  edit_change twice = PutPool(Pool("b"));
  twice.pools.push_back(Pool("b", 3));
  EXPECT_EQ(store.Edit(twice, "ana").error().code, result_code::kTableInvalid);
  edit_change gone;
  gone.delete_routes = {"x"};
  EXPECT_EQ(store.Edit(gone, "ana").error().code, result_code::kRowNotFound);
  edit_change many;
  for (int i = 0; i < 121; ++i) {
    many.keys.push_back(config::GrantKey("org")->record);
  }
  EXPECT_EQ(store.Edit(many, "ana").error().code, result_code::kTableInvalid);
  EXPECT_EQ(memory.rows, before);
}

// Guards against a losing writer that overwrites the winner or is not told
// whom and what it lost to.
TEST(EditTest, ConflictNamesWriterVersionAndRows) {
  memory_store memory;
  configuration_store store(memory);
  memory.other_edit = [&] {
    memory.faults.clear();
    ASSERT_TRUE(store.Edit(PutPool(Pool("b")), "ben"));
  };
  memory.faults = {fault::kOtherEditFirst};
  const auto lost = store.Edit(PutPool(Pool("a")), "ana");
  EXPECT_EQ(lost.error().code, result_code::kVersionConflict);
  EXPECT_NE(lost.error().reason.find("version 1: ben"), std::string::npos);
  EXPECT_NE(lost.error().reason.find("put pools/b"), std::string::npos);
  EXPECT_EQ(store.Load()->rows.value().pools.count("a"), 0U);
}

// Guards against an operator who overwrites a row that another one has changed
// since it was read.
TEST(EditTest, RowOfAnOlderVersionIsAConflict) {
  memory_store memory;
  configuration_store store(memory);
  ASSERT_TRUE(store.Edit(PutPool(Pool("a")), "ana"));
  const config::pool_row read = store.Load()->rows.value().pools.at("a");
  config::pool_row bens = read;
  bens.slots = 3;
  ASSERT_TRUE(store.Edit(PutPool(bens), "ben"));
  EXPECT_TRUE(store.Edit(PutPool(bens), "ben"));  // Changes nothing.
  config::pool_row anas = read;
  anas.slots = 4;
  const failure lost = store.Edit(PutPool(anas), "ana").error();
  EXPECT_EQ(lost.code, result_code::kVersionConflict);
  EXPECT_NE(lost.reason.find("based on version 1, but the row is of version 2"),
            std::string::npos);
  EXPECT_NE(lost.reason.find("version 2: ben"), std::string::npos);
  anas.version = 0;
  EXPECT_TRUE(store.Edit(PutPool(anas), "ana"));
}

// Guards against a lost answer that is reported as a failure although the edit
// took effect, or that makes the edit run twice.
TEST(EditTest, LostAnswerIsResolvedByReadingBack) {
  const std::vector<std::vector<fault>> histories = {
      {fault::kLostAfter},
      {fault::kLostBefore},
      {fault::kLostBefore, fault::kRefused, fault::kLostAfter, fault::kRefused},
      {fault::kLostAfter, fault::kOtherEditFirst}};
  for (const auto& history : histories) {
    memory_store memory;
    configuration_store store(memory);
    memory.other_edit = [&] {
      ASSERT_TRUE(store.Edit(PutPool(Pool("b")), "ben"));
    };
    memory.faults = history;
    const auto edited = store.Edit(PutPool(Pool("a")), "ana");
    ASSERT_TRUE(edited) << edited.error().reason;
    EXPECT_EQ(edited->version, 1);
    EXPECT_EQ(store.Load()->rows.value().pools.at("a").version, 1);
  }
}

TEST(EditTest, UnresolvedAndRefusedEditsAreTold) {
  memory_store memory;
  configuration_store store(memory);
  memory.faults = {fault::kRefused};
  EXPECT_EQ(store.Edit(PutPool(Pool("a")), "ana").error().code,
            result_code::kStoreUnavailable);
  memory.faults = std::vector<fault>(5, fault::kLostBefore);
  EXPECT_EQ(store.Edit(PutPool(Pool("a")), "ana").error().code,
            result_code::kStoreAnswerLost);
  // Lost before, and another edit won: a conflict, not a success.
  memory.faults = {fault::kLostBefore, fault::kOtherEditFirst};
  memory.other_edit = [&] {
    ASSERT_TRUE(store.Edit(PutPool(Pool("b")), "ben"));
  };
  EXPECT_EQ(store.Edit(PutPool(Pool("a")), "ana").error().code,
            result_code::kVersionConflict);
}

TEST(EditTest, AuditTrailIsBounded) {
  memory_store memory;
  configuration_store store(memory);
  // The rows of 998 earlier edits.
  memory.rows[kVersionKey] = {
      kVersionKey, EncodeVersion({998, "ana", "", ""}), 0, 998, 998, 0};
  for (int64_t i = 1; i <= 998; ++i) {
    memory.rows[AuditKey(i)] = {
        AuditKey(i), EncodeAudit({i - 1, i, "ana", "", "", {}, ""}),
        0,           i,
        1,           0};
  }
  for (int i = 0; i < 5; ++i) {
    ASSERT_TRUE(store.Edit(PutPool(Pool("a", 1 + i % 2)), "ana"));
  }
  const auto audit = store.Audit(5000);
  ASSERT_EQ(audit->size(), 1000U);
  EXPECT_EQ(audit->front().to, 4);
  EXPECT_EQ(audit->back().to, 1003);
}

// Guards against a damaged row that blocks all edits, or that an edit hides.
TEST(EditTest, DamagedRowMustBeReplacedOrDeleted) {
  memory_store memory;
  configuration_store store(memory);
  ASSERT_TRUE(store.Edit(PutPool(Pool("a")), "ana"));
  memory.rows["/tarragondale/pools/x"] = {
      "/tarragondale/pools/x", "{", 0, 9, 1, 0};
  EXPECT_EQ(store.Edit(PutPool(Pool("b")), "ana").error().code,
            result_code::kStoreRowInvalid);
  edit_change repair;
  repair.delete_pools = {"x"};
  EXPECT_TRUE(store.Edit(repair, "ana"));
}

watch_event Put(const std::string& key, const std::string& value, int64_t at) {
  return {false, {key, value, 0, at, 1, 0}};
}

watch_event PutVersion(int64_t version) {
  return Put(kVersionKey, EncodeVersion({version, "op", "", ""}), version);
}

watch_message Message(std::vector<watch_event> events) {
  return {0, std::move(events), false, 0, ""};
}

// Guards against a version that goes back, is published twice, or is published
// while one of its rows can't be read.
TEST(VersionRulesTest, OnlyNewerValidVersionsAreInForce) {
  version_rules rules;
  EXPECT_FALSE(rules.Load({}).publish);
  const std::string key = "/tarragondale/pools/a";
  const auto first = rules.Apply(
      Message({Put(key, config::EncodePool(Pool("a")), 1), PutVersion(1)}));
  ASSERT_TRUE(first.publish);
  EXPECT_EQ(first.publish->pools.size(), 1U);
  EXPECT_FALSE(rules.Apply(Message({PutVersion(1)})).publish);

  const auto damaged = rules.Apply(Message({Put(key, "{", 2), PutVersion(2)}));
  EXPECT_FALSE(damaged.publish);
  ASSERT_EQ(damaged.failures.size(), 1U);
  EXPECT_EQ(damaged.failures[0].code, result_code::kStoreRowInvalid);
  EXPECT_EQ(rules.version(), 1);
  // Reported once, not with every load.
  EXPECT_TRUE(rules.Apply(Message({PutVersion(2)})).failures.empty());

  const auto impossible = rules.Apply(
      Message({Put(key, config::EncodePool(Pool("a", 99)), 3), PutVersion(3)}));
  EXPECT_EQ(impossible.failures[0].code, result_code::kTableInvalid);

  const auto repaired = rules.Apply(
      Message({Put(key, config::EncodePool(Pool("a")), 4), PutVersion(4)}));
  EXPECT_EQ(repaired.publish->version, 4);
  EXPECT_FALSE(rules.Apply(Message({PutVersion(3)})).publish);
  EXPECT_EQ(rules.version(), 4);
}

// Guards against a row of the next version that comes into force early.
TEST(VersionRulesTest, RowsWaitForTheirVersion) {
  version_rules rules;
  rules.Apply(Message({PutVersion(1)}));
  EXPECT_FALSE(rules
                   .Apply(Message({Put("/tarragondale/pools/a",
                                       config::EncodePool(Pool("a")), 2)}))
                   .publish);
  EXPECT_EQ(rules.Apply(Message({PutVersion(2)})).publish->pools.size(), 1U);
}

}  // namespace
}  // namespace tarragondale::store
