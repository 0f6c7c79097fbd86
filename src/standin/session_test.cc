// Tests of sessions with a member: queries, transactions, slots and caps.
#include "src/standin/test_clients.h"

namespace tarragondale::standin {
namespace {

// Guards against result columns that a driver can't decode.
TEST(StandinSessionTest, ExtendedQueryReportsTypesTagsAndNulls) {
  const auto parts = StartGroup();
  pq_client client(*parts, "a");
  ASSERT_TRUE(client.ok()) << client.error();
  EXPECT_EQ(
      client.Run("INSERT INTO t VALUES ($1, $2, $3)", {"7", "x", "1.5"}).tag,
      "INSERT 0 1");
  EXPECT_EQ(client.Run("INSERT INTO t VALUES (8, $1, NULL)", {"<null>"}).tag,
            "INSERT 0 1");
  const reply all =
      client.Run("SELECT id, s, r, count(*) OVER () AS n FROM t ORDER BY id");
  EXPECT_EQ(all.types, (std::vector<uint32_t>{20, 25, 701, 20}));
  EXPECT_EQ(all.rows,
            (std::vector<std::vector<std::string>>{
                {"7", "x", "1.5", "2"}, {"8", "<null>", "<null>", "2"}}));
  EXPECT_EQ(all.tag, "SELECT 2");
  EXPECT_EQ(client.Run("SELECT id, s, r FROM t WHERE id = 99").types,
            (std::vector<uint32_t>{20, 25, 701}));
  EXPECT_EQ(client.Run("UPDATE t SET s = 'y'").tag, "UPDATE 2");
  const reply deleted = client.Run("DELETE FROM t RETURNING id");
  EXPECT_EQ(deleted.tag, "DELETE 2");
  EXPECT_EQ(deleted.rows.size(), 2U);
}

// Guards against a named statement or its description being lost.
TEST(StandinSessionTest, PreparedStatementsAreDescribedAndReused) {
  const auto parts = StartGroup();
  pq_client client(*parts, "a");
  PQclear(PQprepare(client.handle(), "add", "INSERT INTO t VALUES ($1, $2, 0)",
                    0, nullptr));
  for (const char* const id : {"1", "2"}) {
    const char* const values[] = {id, "x"};
    EXPECT_EQ(client
                  .Read(PQexecPrepared(client.handle(), "add", 2, values,
                                       nullptr, nullptr, 0))
                  .tag,
              "INSERT 0 1");
  }
  PGresult* const description = PQdescribePrepared(client.handle(), "add");
  EXPECT_EQ(PQnparams(description), 2);
  PQclear(description);
  EXPECT_TRUE(client.Run("DISCARD ALL").ok());
  const char* const values[] = {"3", "x"};
  EXPECT_EQ(client
                .Read(PQexecPrepared(client.handle(), "add", 2, values, nullptr,
                                     nullptr, 0))
                .sqlstate,
            "26000");
}

// Guards against a half-applied simple query: its statements are one implicit
// transaction.
TEST(StandinSessionTest, SimpleQueryIsAllOrNothing) {
  const auto parts = StartGroup();
  pq_client client(*parts, "a");
  EXPECT_EQ(client
                .Simple("INSERT INTO t VALUES (1, 'a;b', 0); "
                        "INSERT INTO t VALUES (1, 'c', 0)")
                .sqlstate,
            "23505");
  EXPECT_EQ(client.Run("SELECT count(*) FROM t").rows[0][0], "0");
  EXPECT_TRUE(client
                  .Simple("BEGIN; INSERT INTO t VALUES (1, 'a', 0); "
                          "INSERT INTO t VALUES (2, 'b', 0); COMMIT")
                  .ok());
  EXPECT_EQ(client.Run("SELECT count(*) FROM t").rows[0][0], "2");
  EXPECT_TRUE(client.Simple(" ; ").ok());
}

struct error_case {
  const char* sql;
  const char* sqlstate;
};

// Guards against errors that a proxy would report as something else.
TEST(StandinSessionTest, ErrorsCarryTheirSqlstate) {
  const auto parts = StartGroup();
  pq_client client(*parts, "a");
  ASSERT_TRUE(client.Run("INSERT INTO t VALUES (1, 'a', 0)").ok());
  const std::vector<error_case> cases = {
      {"INSERT INTO t VALUES (1, 'b', 0)", "23505"},
      {"SELEC 1", "42601"},
      {"SELECT * FROM missing", "42P01"},
      {"SELECT missing FROM t", "42703"},
      {"SELECT $1", "42P02"},
      {"ATTACH 'x' AS y", "0A000"},
      {"SAVEPOINT x", "0A000"},
      {"BEGIN SOMETHING", "42601"},
      {"SELECT 1; SELECT 2", "42601"},
      {"SELECT * FROM tarragondale_fence(2)", "42883"},
      {"SELECT * FROM tarragondale_fence('x', 'y')", "22P02"},
      {"SELECT * FROM tarragondale_fence(1, 'y')", "TG001"},
      {"SELECT * FROM tarragondale_promote(2, 'y')", "TG002"},
      {"WITH RECURSIVE n(x) AS (SELECT 1 UNION ALL SELECT x FROM n) "
       "SELECT count(*) FROM n",
       "57014"},
  };
  for (const error_case& item : cases) {
    EXPECT_EQ(client.Run(item.sql).sqlstate, item.sqlstate) << item.sql;
  }
  EXPECT_EQ(client.Run("SELECT count(*) FROM t").rows[0][0], "1");
}

// Guards against a read route through which a write takes effect.
TEST(StandinSessionTest, ReadOnlyTransactionRefusesWrites) {
  const auto parts = StartGroup();
  pq_client client(*parts, "a");
  for (const char* const begin :
       {"BEGIN READ ONLY", "BEGIN ISOLATION LEVEL REPEATABLE READ, READ ONLY",
        "START TRANSACTION READ ONLY"}) {
    ASSERT_TRUE(client.Run(begin).ok()) << begin;
    EXPECT_EQ(client.Run("INSERT INTO t VALUES (1, 'a', 0)").sqlstate, "25006");
    EXPECT_EQ(PQtransactionStatus(client.handle()), PQTRANS_INERROR);
    EXPECT_EQ(client.Run("SELECT 1").sqlstate, "25P02");
    EXPECT_EQ(client.Run("COMMIT").tag, "ROLLBACK");
    EXPECT_EQ(PQtransactionStatus(client.handle()), PQTRANS_IDLE);
  }
  EXPECT_EQ(client.Run("SELECT count(*) FROM t").rows[0][0], "0");
  EXPECT_EQ(ReadOut(*parts, "/v1/parts/a/log")["log"].size(), 1U);
}

// Guards against dirty reads and against two writers at once.
TEST(StandinSessionTest, ReadersSeeCommittedDataAndWritersTakeTurns) {
  const auto parts = StartGroup();
  pq_client first(*parts, "a");
  pq_client second(*parts, "a");
  ASSERT_TRUE(first.Run("BEGIN").ok());
  ASSERT_TRUE(first.Run("INSERT INTO t VALUES (1, 'a', 0)").ok());
  EXPECT_EQ(first.Run("SELECT count(*) FROM t").rows[0][0], "1");
  EXPECT_EQ(second.Run("SELECT count(*) FROM t").rows[0][0], "0");
  second.Send("INSERT INTO t VALUES (2, 'b', 0)");
  EXPECT_FALSE(second.Arrived());
  ASSERT_TRUE(first.Run("COMMIT").ok());
  EXPECT_TRUE(second.Receive().ok());
  EXPECT_EQ(first.Run("SELECT count(*) FROM t").rows[0][0], "2");
}

// Guards against a writer that waits for ever behind an idle transaction, and
// against an abandoned connection that keeps the right to write.
TEST(StandinSessionTest, WaitForAnotherWriterIsBounded) {
  const auto parts = StartGroup();
  Control(*parts, "/v1/parts/a/settings", {{"lock_timeout_ms", 20}});
  auto first = std::make_unique<pq_client>(*parts, "a");
  pq_client second(*parts, "a");
  ASSERT_TRUE(first->Run("BEGIN").ok());
  ASSERT_TRUE(first->Run("INSERT INTO t VALUES (1, 'a', 0)").ok());
  EXPECT_EQ(second.Run("INSERT INTO t VALUES (2, 'b', 0)").sqlstate, "55P03");
  first.reset();
  EXPECT_TRUE(WaitFor(
      [&] { return second.Run("INSERT INTO t VALUES (1, 'b', 0)").ok(); }));
  EXPECT_EQ(second.Run("SELECT s FROM t").rows[0][0], "b");
}

// Guards against a snapshot that changes while it is read.
TEST(StandinSessionTest, RepeatableReadKeepsItsSnapshot) {
  const auto parts = StartGroup();
  pq_client reader(*parts, "a");
  pq_client writer(*parts, "a");
  ASSERT_TRUE(
      reader.Run("BEGIN ISOLATION LEVEL REPEATABLE READ, READ ONLY").ok());
  ASSERT_TRUE(writer.Run("INSERT INTO t VALUES (1, 'a', 0)").ok());
  EXPECT_EQ(reader.Run("SELECT count(*) FROM t").rows[0][0], "0");
  ASSERT_TRUE(reader.Run("COMMIT").ok());
  EXPECT_EQ(reader.Run("SELECT count(*) FROM t").rows[0][0], "1");
}

// Guards against statements beyond the slots and against status calls that
// wait for a slot: failure detection must work on a busy member.
TEST(StandinSessionTest, StatementsWaitForSlotsButStatusDoesNot) {
  group_options group = ThreeMembers();
  group.limits.slots = 1;
  // Longer than the test may take: the second statement must not start.
  group.limits.statement_time = milliseconds(3'600'000);
  const auto parts = StartGroup(group);
  pq_client first(*parts, "a");
  pq_client second(*parts, "a");
  pq_client third(*parts, "a");
  first.Send("SELECT 1");
  second.Send("SELECT 2");
  EXPECT_EQ(third.Run("SELECT * FROM tarragondale_status()").Cell("role"),
            "primary");
  EXPECT_TRUE(third.Run("SELECT * FROM tarragondale_fence(2, 'x')").ok());
  EXPECT_FALSE(first.Arrived());
  EXPECT_FALSE(second.Arrived());
}

TEST(StandinSessionTest, SlotIsFreedAfterEachStatement) {
  group_options group = ThreeMembers();
  group.limits.slots = 1;
  group.limits.statement_time = milliseconds(1);
  const auto parts = StartGroup(group);
  pq_client first(*parts, "a");
  pq_client second(*parts, "a");
  for (int i = 0; i < 10; ++i) {
    first.Send("SELECT 1");
    second.Send("SELEC");
    EXPECT_TRUE(first.Receive().ok());
    EXPECT_EQ(second.Receive().sqlstate, "42601");
  }
}

// Guards against connections beyond the cap and against a cap that is not
// given back.
TEST(StandinSessionTest, ConnectionCapRefusesAndRecovers) {
  group_options group = ThreeMembers();
  group.limits.connections = 2;
  const auto parts = StartGroup(group);
  pq_client first(*parts, "a");
  auto second = std::make_unique<pq_client>(*parts, "a");
  ASSERT_TRUE(first.ok() && second->ok());
  const pq_client third(*parts, "a");
  EXPECT_FALSE(third.ok());
  EXPECT_NE(third.error().find("too many connections"), std::string::npos);
  EXPECT_EQ(Counter(*parts, "a", "connections_refused"), 1);
  second.reset();
  EXPECT_TRUE(WaitFor([&] { return pq_client(*parts, "a").ok(); }));
}

// Guards against a new connection that is cheaper than configured.
TEST(StandinSessionTest, NewConnectionTakesItsTime) {
  group_options group = ThreeMembers();
  group.limits.open_time = milliseconds(50);
  const auto parts = StartGroup(group);
  const auto begin = std::chrono::steady_clock::now();
  const pq_client client(*parts, "a");
  EXPECT_TRUE(client.ok());
  EXPECT_GE(std::chrono::steady_clock::now() - begin, milliseconds(50));
}

std::string StartupPacket() {
  std::string body("\0\3\0\0user\0x\0\0", 12);
  return std::string("\0\0\0\x10", 4) + body;
}

std::string Message(char type, const std::string& body) {
  const auto length = static_cast<uint32_t>(body.size() + 4);
  std::string bytes(1, type);
  for (const int shift : {24, 16, 8, 0}) {
    bytes += static_cast<char>(length >> static_cast<unsigned>(shift) & 0xFFU);
  }
  return bytes + body;
}

// Guards against a crash or a hang on malformed bytes: each connection must
// end, and the member must serve others afterwards.
TEST(StandinSessionTest, MalformedBytesEndOnlyTheirConnection) {
  const auto parts = StartGroup();
  const std::string zero(1, '\0');
  const std::vector<std::string> inputs = {
      std::string(4, '\xFF'),                        // startup too long
      std::string("\0\0\0\0", 4),                    // startup too short
      std::string("\0\0\0\x08\0\2\0\0", 8),          // protocol 2
      std::string("\0\0\0\x08\x04\xD2\x16\x2E", 8),  // cancel request
      StartupPacket() + std::string("Q\xFF\xFF\xFF\xFF", 5),
      StartupPacket() + std::string("Q\0\0\0\0", 5),
      StartupPacket() + Message('Q', "no end"),
      StartupPacket() + Message('?', ""),
      StartupPacket() + Message('P', zero),
      StartupPacket() + Message('P', zero + "x" + zero + "\xFF\xFF"),
      StartupPacket() + Message('E', zero),
      StartupPacket() + Message('D', ""),
      StartupPacket() + Message('C', ""),
      StartupPacket() + Message('P', zero + "SELECT $1" + zero + zero + zero) +
          Message('B', zero + zero + zero + zero + zero + "\x01" +
                           std::string("\x7F\xFF\xFF\xFF", 4)),
  };
  for (size_t i = 0; i < inputs.size(); ++i) {
    raw_client client(*parts, "a");
    EXPECT_TRUE(client.Write(inputs[i]));
    client.ReadToEnd();  // Returns only if the member closes the connection.
    EXPECT_TRUE(pq_client(*parts, "a").ok()) << "input " << i;
  }
  EXPECT_TRUE(WaitFor([&] {
    return ReadOut(*parts, "/v1/parts/a/connections")["connections"].empty();
  }));
}

// Guards against messages out of order that crash the session: these are
// errors of the statement, and the session goes on after Sync.
TEST(StandinSessionTest, MessagesOutOfOrderAreErrorsUntilSync) {
  const auto parts = StartGroup();
  const std::string zero(1, '\0');
  raw_client client(*parts, "a");
  client.Write(StartupPacket() + Message('E', zero + std::string(4, '\0')) +
               Message('B', zero + "missing" + zero + std::string(6, '\0')) +
               Message('D', "P" + zero) + Message('S', "") +
               Message('D', "Pmissing" + zero) + Message('S', "") +
               Message('Q', "SELECT 'still here'" + zero) + Message('X', ""));
  const std::string answer = client.ReadToEnd();
  EXPECT_NE(answer.find("34000"), std::string::npos);
  EXPECT_NE(answer.find("still here"), std::string::npos);
}

}  // namespace
}  // namespace tarragondale::standin
