// System tests of single requests: sessions, refusals, keys, idempotency and
// secrets.
#include <algorithm>

#include "src/system/fleet_fixture.h"

namespace tarragondale::system_test {
namespace {

// Guards against a session that moves to another daemon and is read from a
// replica which does not hold its write yet.
TEST_F(SystemTest, SessionReadsItsWritesOnAnotherDaemonWhileReplicasLag) {
  ASSERT_NO_FATAL_FAILURE(StartFleet(2));
  Settings("replication_delay_ms", 200);
  // One replica never gets the writes and may not serve the session.
  Control("/v1/groups/orders/link", {{"a", "orders-1"}, {"b", "orders-3"}});
  for (int i = 0; i < 4; ++i) {
    const std::string id = fmt::format("session-{}", i);
    const http_reply written = Write(i % 2, id);
    ASSERT_TRUE(written.done()) << written.text;
    ASSERT_FALSE(written.session.empty());
    const http_reply read =
        Execute((i + 1) % 2, Body("orders", "read", Count(id)),
                {.key = {}, .idempotency = {}, .session = written.session});
    ASSERT_TRUE(read.done()) << read.text;
    EXPECT_EQ(FirstCell(read), 1) << read.text;
  }
  EXPECT_EQ(Rows("session-3", "orders-3"), 0);
}

// Guards against reads that accept old data but are served by the primary.
TEST_F(SystemTest, ReadWithMaximumAgeIsServedByReplica) {
  ASSERT_NO_FATAL_FAILURE(StartFleet(2));
  for (size_t daemon = 0; daemon < 2; ++daemon) {
    json body = Body("orders", "read", Count("none"));
    body["max_age_ms"] = 5000;
    const http_reply read = Execute(daemon, body);
    ASSERT_TRUE(read.done()) << read.text;
    EXPECT_EQ(read.served_by(), "replica");
    EXPECT_LE(read.body["age_ms"].get<int64_t>(), 5000);
  }
}

struct refusal_case {
  const char* name;
  result_code code;
  json body;
  http_headers headers;
};

// Guards against refusals with a wrong code or outcome, and against refused
// requests that have an effect.
TEST_F(SystemTest, RefusalsAreNumberedAndWriteNothing) {
  ASSERT_NO_FATAL_FAILURE(StartFleet(2));
  const http_reply first = Write(0, "kept", "reused-key");
  ASSERT_TRUE(first.done()) << first.text;
  const std::string token = first.session;
  std::string forged = token;
  forged[forged.size() / 2] = forged[forged.size() / 2] == 'A' ? 'B' : 'A';
  const std::string truncated = token.substr(0, token.size() - 8);
  std::string wrong = key_;
  wrong.back() = wrong.back() == 'A' ? 'Q' : 'A';
  const json write = Body("orders", "write", Insert("refused"));
  const std::vector<refusal_case> cases = {
      {"unknown route",
       result_code::kRouteUnknown,
       Body("nowhere", "write", Insert("refused")),
       {key_, "", ""}},
      {"wrong key", result_code::kKeyInvalid, write, {wrong, "", ""}},
      {"no key", result_code::kKeyMissing, write, {"", "", ""}},
      {"route of others",
       result_code::kRouteForbidden,
       Body("south", "write", Insert("refused")),
       {key_, "", ""}},
      {"write to a read-only route",
       result_code::kKindForbidden,
       Body("catalogue", "write", Insert("refused")),
       {key_, "", ""}},
      {"read that writes",
       result_code::kReadOnlyViolation,
       Body("orders", "read", Insert("refused")),
       {key_, "", ""}},
      {"forged token", result_code::kTokenInvalid, write, {key_, "", forged}},
      {"truncated token",
       result_code::kTokenInvalid,
       write,
       {key_, "", truncated}},
      {"foreign token",
       result_code::kTokenForeign,
       write,
       {other_key_, "", token}},
      {"reused idempotency key",
       result_code::kIdempotencyKeyReused,
       write,
       {key_, "reused-key", ""}},
  };
  const size_t entries = LogLength("orders-1");
  std::set<std::string> ids;
  for (const refusal_case& item : cases) {
    for (size_t daemon = 0; daemon < 2; ++daemon) {
      SCOPED_TRACE(fmt::format("{} on vm-{}", item.name, daemon + 1));
      http_caller caller = Caller(daemon);
      const http_reply reply =
          caller.Post("/v1/execute", item.body, item.headers);
      const result_code_info& info = InfoOf(item.code);
      ASSERT_TRUE(reply.body.is_object()) << reply.status;
      EXPECT_EQ(reply.status, info.http_status) << reply.text;
      EXPECT_EQ(reply.code(), static_cast<int>(item.code)) << reply.text;
      EXPECT_EQ(reply.body["name"], info.name);
      EXPECT_EQ(reply.outcome(), "not_run");
      EXPECT_EQ(reply.body["request_id"], reply.request_id);
      EXPECT_TRUE(RequestIdFromText(reply.request_id)) << reply.request_id;
      EXPECT_TRUE(ids.insert(reply.request_id).second) << "repeated id";
    }
  }
  EXPECT_EQ(LogLength("orders-1"), entries);
  for (const char* const member : kMembers) {
    EXPECT_EQ(Rows("refused", member), 0) << member;
  }
  EXPECT_EQ(Rows("kept"), 1);
}

// Guards against a withdrawn key that goes on working on an open connection or
// in an open transaction.
TEST_F(SystemTest, WithdrawnKeyStopsOnOpenConnectionsAndTransactions) {
  ASSERT_NO_FATAL_FAILURE(StartFleet(2));
  const std::string key = Grant(kOrganisation);
  const json read = Body("orders", "read", Count("none"));
  http_caller open = Caller(1);
  ASSERT_TRUE(WaitFor([&] {
    return open.Post("/v1/execute", read, {key, "", ""}).done();
  }));
  http_caller in_transaction = Caller(0);
  http_reply begun;
  ASSERT_TRUE(WaitFor([&] {
    begun = in_transaction.Post("/v1/transactions",
                                {{"route", "orders"}, {"kind", "write"}},
                                {key, "", ""});
    return begun.done();
  })) << begun.text;
  const std::string path = "/v1/transactions/" + begun.transaction();
  ASSERT_TRUE(in_transaction
                  .Post(path + "/execute",
                        {{"statements", Insert("withdrawn")}}, {key, "", ""})
                  .done());

  Edit({{}, {}, {}, {}, {}, {key.substr(0, key.find('.'))}});
  const auto withdrawn = std::chrono::steady_clock::now();
  http_reply refused;
  ASSERT_TRUE(WaitFor([&] {
    refused = open.Post("/v1/execute", read, {key, "", ""});
    return !refused.done();
  }));
  EXPECT_LT(std::chrono::steady_clock::now() - withdrawn, seconds(5));
  EXPECT_EQ(refused.code(), static_cast<int>(result_code::kKeyInvalid));
  EXPECT_EQ(refused.outcome(), "not_run");
  EXPECT_TRUE(RequestIdFromText(refused.request_id));
  // The lock of the cancelled transaction is free again, so a write gets
  // through before its lock wait ends the transaction as idle.
  ASSERT_TRUE(WaitFor([&] { return Write(0, "after").done(); }));
  const http_reply late =
      in_transaction.Post(path + "/commit", json::object(), {key, "", ""});
  EXPECT_EQ(late.outcome(), "not_run") << late.text;
  EXPECT_EQ(Rows("withdrawn"), 0);
}

// Guards against a replayed write that runs again on another daemon.
TEST_F(SystemTest, ReplayThroughAnotherDaemonReturnsTheRecordedAnswer) {
  ASSERT_NO_FATAL_FAILURE(StartFleet(3));
  const http_reply first = Write(0, "replayed", "replay-key");
  ASSERT_TRUE(first.done()) << first.text;
  EXPECT_FALSE(first.body.contains("replayed"));
  for (size_t daemon = 0; daemon < 3; ++daemon) {
    const http_reply again = Write(daemon, "replayed", "replay-key");
    ASSERT_TRUE(again.done()) << again.text;
    EXPECT_TRUE(again.body.value("replayed", false));
    EXPECT_EQ(again.body["results"], first.body["results"]);
  }
  EXPECT_EQ(Rows("replayed"), 1);
}

// Guards against keys that reach a database or a log line.
TEST_F(SystemTest, SecretsReachNeitherDatabasesNorLogs) {
  ASSERT_NO_FATAL_FAILURE(StartFleet(2));
  const size_t dot = key_.find('.');
  const std::string id = key_.substr(0, dot);
  const std::string secret = key_.substr(dot + 1);
  for (size_t daemon = 0; daemon < 2; ++daemon) {
    ASSERT_TRUE(Write(daemon, fmt::format("secret-{}", daemon), "k").status);
    ASSERT_TRUE(Execute(daemon, Body("orders", "read", Count("x"))).done());
    http_caller caller = Caller(daemon);
    // Refusals name what they refuse.
    caller.Post("/v1/execute", Body("orders", "read", Count("x")),
                {fmt::format("{}.{}x", id, secret), "", ""});
    caller.Post("/v1/execute", {{"route", secret}}, {key_, "", ""});
  }
  const std::string logged = errors_.Text();
  EXPECT_NE(logged.find("entry: request"), std::string::npos);
  EXPECT_EQ(logged.find(secret), std::string::npos);
  for (const char* const member : kMembers) {
    for (const char* const what :
         {"log", "counters", "connections", "status"}) {
      const std::string text =
          ControlGet(fmt::format("/v1/parts/{}/{}", member, what)).dump();
      EXPECT_EQ(text.find(secret), std::string::npos) << member << what;
      EXPECT_EQ(text.find(id), std::string::npos) << member << what;
    }
    const json recorded =
        Control(fmt::format("/v1/parts/{}/select", member),
                {{"sql", "SELECT * FROM tarragondale_idempotency"}});
    EXPECT_EQ(recorded.dump().find(secret), std::string::npos);
    EXPECT_EQ(recorded.dump().find(id), std::string::npos);
  }
  EXPECT_NE(ControlGet("/v1/parts/orders-1/log").dump().find("secret-0"),
            std::string::npos);
}

}  // namespace
}  // namespace tarragondale::system_test
