// Tests of the log, replication, fencing, promotion and truncation.
#include "src/standin/test_clients.h"

namespace tarragondale::standin {
namespace {

constexpr char kStatus[] = "SELECT * FROM tarragondale_status()";

std::string Status(const server& parts,
                   const std::string& member,
                   const std::string& column) {
  return pq_client(parts, member).Run(kStatus).Cell(column);
}

bool WaitForPosition(const server& parts,
                     const std::string& member,
                     const std::string& position) {
  return WaitFor([&] { return Status(parts, member, "position") == position; });
}

reply Insert(pq_client& client, int id, const std::string& text) {
  return client.Run("INSERT INTO t VALUES ($1, $2, 0)",
                    {std::to_string(id), text});
}

// Rows of the table on a member, as `id=text` joined by spaces.
std::string Rows(server& parts, const std::string& member) {
  const json answer =
      Control(parts, "/v1/parts/" + member + "/select",
              {{"sql", "SELECT id || '=' || s FROM t ORDER BY id"}});
  std::string text;
  for (const json& row : answer["rows"]) {
    text += (text.empty() ? "" : " ") + row[0].get<std::string>();
  }
  return text;
}

std::string ReportedPosition(pq_client& client, const std::string& member) {
  for (const auto& row :
       client.Run("SELECT * FROM tarragondale_replication()").rows) {
    if (row[0] == member) {
      return row[3];
    }
  }
  return "<missing>";
}

// Guards against log entries that miss a statement or hold a failed one.
TEST(StandinReplicationTest, CommittedWritesReachAllMembersInOrder) {
  const auto parts = StartGroup();
  pq_client client(*parts, "a");
  ASSERT_TRUE(client.Run("BEGIN").ok());
  ASSERT_TRUE(Insert(client, 1, "a").ok());
  ASSERT_TRUE(client.Run("UPDATE t SET s = 'b' WHERE id = 1").ok());
  ASSERT_TRUE(client.Run("COMMIT").ok());
  const reply position =
      client.Run("SELECT * FROM tarragondale_commit_position()");
  EXPECT_EQ(position.Cell("term"), "1");
  EXPECT_EQ(position.Cell("position"), "2");
  EXPECT_FALSE(Insert(client, 1, "c").ok());
  ASSERT_TRUE(client.Simple("BEGIN; DELETE FROM t; ROLLBACK").ok());
  for (const char* const member : {"b", "c"}) {
    EXPECT_TRUE(WaitForPosition(*parts, member, "2"));
    EXPECT_EQ(Rows(*parts, member), "1=b");
  }
  const json log = ReadOut(*parts, "/v1/parts/c/log")["log"];
  ASSERT_EQ(log.size(), 2U);
  EXPECT_EQ(log[1]["statements"][0]["params"], json::array({"1", "a"}));
  EXPECT_EQ(log[1]["statements"].size(), 2U);
  EXPECT_TRUE(WaitFor([&] { return ReportedPosition(client, "c") == "2"; }));
}

// Guards against a commit position of an earlier user of the connection.
TEST(StandinReplicationTest, CommitPositionIsResetByDiscardAll) {
  const auto parts = StartGroup();
  pq_client client(*parts, "a");
  ASSERT_TRUE(Insert(client, 1, "a").ok());
  ASSERT_TRUE(client.Run("DISCARD ALL").ok());
  EXPECT_EQ(client.Run("SELECT * FROM tarragondale_commit_position()")
                .Cell("position"),
            "0");
}

// Guards against a replica that accepts writes.
TEST(StandinReplicationTest, ReplicaRefusesWrites) {
  const auto parts = StartGroup();
  pq_client client(*parts, "b");
  EXPECT_EQ(Insert(client, 1, "a").sqlstate, "TG003");
  EXPECT_TRUE(client.Run("SELECT count(*) FROM t").ok());
  EXPECT_EQ(Rows(*parts, "b"), "");
}

// Guards against an age that hides that a replica is cut off.
TEST(StandinReplicationTest, CutLinkStopsEntriesAndAgeGrows) {
  const auto parts = StartGroup();
  pq_client client(*parts, "a");
  Control(*parts, "/v1/groups/g/link", {{"a", "a"}, {"b", "b"}});
  ASSERT_TRUE(Insert(client, 1, "a").ok());
  ASSERT_TRUE(WaitForPosition(*parts, "c", "2"));
  EXPECT_EQ(Status(*parts, "b", "position"), "1");
  EXPECT_TRUE(
      WaitFor([&] { return std::stoll(Status(*parts, "b", "age_ms")) > 100; }));
  EXPECT_EQ(Status(*parts, "a", "age_ms"), "0");
  EXPECT_EQ(ReportedPosition(client, "b"), "1");
  Control(*parts, "/v1/groups/g/link",
          {{"a", "a"}, {"b", "b"}, {"cut", false}});
  EXPECT_TRUE(WaitForPosition(*parts, "b", "2"));
  EXPECT_TRUE(
      WaitFor([&] { return std::stoll(Status(*parts, "b", "age_ms")) < 100; }));
}

// Guards against a delay that is not applied: the entry stays on its way for
// an hour, until the delay is shortened for later entries by a new pull.
TEST(StandinReplicationTest, DelayHoldsEntriesBack) {
  group_options group = ThreeMembers();
  const auto parts = StartGroup(group);
  Control(*parts, "/v1/parts/b/settings", {{"replication_delay_ms", 3600000}});
  pq_client client(*parts, "a");
  ASSERT_TRUE(Insert(client, 1, "a").ok());
  EXPECT_TRUE(WaitForPosition(*parts, "c", "2"));
  EXPECT_EQ(Status(*parts, "b", "position"), "1");
}

// Guards against a stale coordinator: promises only grow, and one term has one
// coordinator.
TEST(StandinReplicationTest, PromisesOnlyGrow) {
  const auto parts = StartGroup();
  pq_client client(*parts, "b");
  const auto call = [&](const std::string& text) {
    return client.Run("SELECT * FROM tarragondale_" + text);
  };
  const reply fenced =
      client.Run("SELECT * FROM tarragondale_fence($1, $2)", {"5", "o'hara"});
  EXPECT_EQ(fenced.Cell("promised_term"), "5");
  EXPECT_EQ(fenced.Cell("promised_coordinator"), "o'hara");
  EXPECT_EQ(fenced.Cell("term"), "1");
  EXPECT_TRUE(call("fence(5, 'o''hara')").ok());
  EXPECT_EQ(call("fence(5, 'other')").sqlstate, "TG001");
  EXPECT_EQ(call("fence(4, 'o''hara')").sqlstate, "TG001");
  EXPECT_EQ(call("promote(5, 'other')").sqlstate, "TG002");
  EXPECT_EQ(call("promote(6, 'o''hara')").sqlstate, "TG002");
  EXPECT_EQ(call("follow(4, 'x', '" + parts->Address("a") + "')").sqlstate,
            "TG001");
  EXPECT_TRUE(call("promote(5, 'o''hara')").ok());
  EXPECT_EQ(call("promote(5, 'o''hara')").Cell("role"), "primary");
  EXPECT_EQ(
      call("follow(5, 'o''hara', '" + parts->Address("a") + "')").sqlstate,
      "TG001");
  EXPECT_TRUE(Insert(client, 1, "a").ok());
  EXPECT_TRUE(call("promote(5, 'o''hara')").ok());
  EXPECT_TRUE(call("fence(5, 'o''hara')").ok());
  EXPECT_TRUE(Insert(client, 2, "b").ok());
  EXPECT_EQ(Rows(*parts, "b"), "1=a 2=b");
}

// Guards against a write that a superseded primary commits (invariant I2).
TEST(StandinReplicationTest, FenceEndsOpenTransactionsWithoutEffect) {
  const auto parts = StartGroup();
  pq_client writer(*parts, "a");
  pq_client idle(*parts, "a");
  pq_client reader(*parts, "a");
  pq_client coordinator(*parts, "a");
  ASSERT_TRUE(writer.Run("BEGIN").ok());
  ASSERT_TRUE(Insert(writer, 1, "a").ok());
  ASSERT_TRUE(idle.Run("BEGIN").ok());
  ASSERT_TRUE(reader.Run("BEGIN READ ONLY").ok());
  ASSERT_TRUE(coordinator.Run("SELECT * FROM tarragondale_fence(2, 'x')").ok());
  EXPECT_EQ(writer.Run("COMMIT").sqlstate, "TG003");
  EXPECT_EQ(PQtransactionStatus(writer.handle()), PQTRANS_IDLE);
  EXPECT_EQ(Insert(idle, 2, "b").sqlstate, "TG003");
  EXPECT_EQ(idle.Run("COMMIT").sqlstate, "TG003");
  EXPECT_TRUE(reader.Run("SELECT count(*) FROM t").ok());
  EXPECT_TRUE(reader.Run("COMMIT").ok());
  EXPECT_EQ(Insert(writer, 3, "c").sqlstate, "TG003");
  EXPECT_EQ(Rows(*parts, "a"), "");
  EXPECT_EQ(Status(*parts, "a", "position"), "1");
}

// Guards against a fenced replica that takes entries of the old primary; it
// must still report its promise, which the old primary's clients check.
TEST(StandinReplicationTest, FencedReplicaTakesNoOldEntries) {
  const auto parts = StartGroup();
  pq_client replica(*parts, "b");
  pq_client primary(*parts, "a");
  ASSERT_TRUE(replica.Run("SELECT * FROM tarragondale_fence(2, 'x')").ok());
  ASSERT_TRUE(Insert(primary, 1, "a").ok());
  ASSERT_TRUE(WaitForPosition(*parts, "c", "2"));
  EXPECT_TRUE(WaitFor([&] {
    const reply rows = primary.Run("SELECT * FROM tarragondale_replication()");
    return rows.rows[1][2] == "2";
  }));
  EXPECT_EQ(ReportedPosition(primary, "b"), "1");
  EXPECT_EQ(Status(*parts, "b", "position"), "1");
}

// Guards against acknowledged writes that a failover loses, and against lost
// writes of the old primary that survive on one member: a whole failover with
// a diverging tail.
TEST(StandinReplicationTest, FailoverTruncatesTheDivergingTail) {
  const auto parts = StartGroup();
  pq_client old_primary(*parts, "a");
  ASSERT_TRUE(Insert(old_primary, 1, "kept").ok());
  ASSERT_TRUE(WaitForPosition(*parts, "b", "2"));
  ASSERT_TRUE(WaitForPosition(*parts, "c", "2"));
  Control(*parts, "/v1/parts/a/cut",
          {{"direction", "in"}, {"connections", json::array()}});
  Control(*parts, "/v1/groups/g/link", {{"a", "a"}, {"b", "b"}});
  Control(*parts, "/v1/groups/g/link", {{"a", "a"}, {"b", "c"}});
  ASSERT_TRUE(Insert(old_primary, 2, "lost").ok());
  ASSERT_TRUE(Insert(old_primary, 3, "lost").ok());

  pq_client b(*parts, "b");
  pq_client c(*parts, "c");
  const std::string follow = "SELECT * FROM tarragondale_follow(2, 'x', '" +
                             parts->Address("b") + "')";
  ASSERT_TRUE(b.Run("SELECT * FROM tarragondale_fence(2, 'x')").ok());
  ASSERT_TRUE(c.Run("SELECT * FROM tarragondale_fence(2, 'x')").ok());
  const reply promoted = b.Run("SELECT * FROM tarragondale_promote(2, 'x')");
  EXPECT_EQ(promoted.Cell("term_start"), "2");
  ASSERT_TRUE(c.Run(follow).ok());
  ASSERT_TRUE(Insert(b, 2, "new").ok());
  ASSERT_TRUE(WaitForPosition(*parts, "c", "3"));
  EXPECT_EQ(Rows(*parts, "a"), "1=kept 2=lost 3=lost");

  ASSERT_TRUE(old_primary.Run(follow).ok());
  // The tail of `a` has the length of the new log, but it is not the same.
  EXPECT_NE(ReportedPosition(b, "a"), "4");
  Control(*parts, "/v1/groups/g/link",
          {{"a", "a"}, {"b", "b"}, {"cut", false}});
  EXPECT_TRUE(WaitFor([&] { return ReportedPosition(b, "a") == "3"; }));
  for (const char* const member : {"a", "b", "c"}) {
    EXPECT_EQ(Rows(*parts, member), "1=kept 2=new") << member;
    EXPECT_EQ(Status(*parts, member, "last_term"), "2") << member;
    EXPECT_EQ(Status(*parts, member, "term"), "2") << member;
  }
  EXPECT_EQ(Insert(old_primary, 9, "x").sqlstate, "TG003");
  EXPECT_EQ(Counter(*parts, "a", "truncations"), 1);
  ASSERT_TRUE(old_primary.Run(follow).ok());  // Repeated without effect.
  ASSERT_TRUE(Insert(b, 4, "later").ok());
  EXPECT_TRUE(WaitForPosition(*parts, "a", "4"));
  EXPECT_EQ(Counter(*parts, "a", "truncations"), 1);
}

// Guards against evidence of replication from a tail that will be truncated:
// a follower with a longer diverging log must not count as holding the new
// primary's positions.
TEST(StandinReplicationTest, DivergingTailIsNotReportedAsHeld) {
  const auto parts = StartGroup();
  pq_client old_primary(*parts, "a");
  Control(*parts, "/v1/groups/g/link", {{"a", "a"}, {"b", "b"}});
  Control(*parts, "/v1/groups/g/link", {{"a", "a"}, {"b", "c"}});
  for (int i = 1; i <= 5; ++i) {
    ASSERT_TRUE(Insert(old_primary, i, "lost").ok());
  }
  pq_client b(*parts, "b");
  ASSERT_TRUE(b.Run("SELECT * FROM tarragondale_fence(2, 'x')").ok());
  ASSERT_TRUE(b.Run("SELECT * FROM tarragondale_promote(2, 'x')").ok());
  ASSERT_TRUE(Insert(b, 1, "new").ok());
  // The link works again, but entries need an hour: only reports pass.
  Control(*parts, "/v1/parts/a/settings", {{"replication_delay_ms", 3600000}});
  Control(*parts, "/v1/groups/g/link",
          {{"a", "a"}, {"b", "b"}, {"cut", false}});
  ASSERT_TRUE(old_primary
                  .Run("SELECT * FROM tarragondale_follow(2, 'x', '" +
                       parts->Address("b") + "')")
                  .ok());
  EXPECT_TRUE(WaitFor([&] { return ReportedPosition(b, "a") == "1"; }));
  EXPECT_EQ(Status(*parts, "a", "position"), "6");
}

}  // namespace
}  // namespace tarragondale::standin
