// Tests of fault injection, the control port and the list of VMs.
#include "src/standin/test_clients.h"

namespace tarragondale::standin {
namespace {

constexpr char kInsert[] = "INSERT INTO t VALUES (1, 'a', 0)";

std::string RowCount(server& parts, const std::string& member) {
  return Control(parts, "/v1/parts/" + member + "/select",
                 {{"sql", "SELECT count(*) FROM t"}})["rows"][0][0];
}

// Guards against a stop that keeps connections or loses durable state.
TEST(StandinFaultTest, StopRefusesConnectionsAndHealKeepsTheLog) {
  const auto parts = StartGroup();
  pq_client open(*parts, "a");
  ASSERT_TRUE(open.Run(kInsert).ok());
  Control(*parts, "/v1/parts/a/stop");
  EXPECT_TRUE(open.Run("SELECT 1").lost);
  EXPECT_FALSE(pq_client(*parts, "a").ok());
  const uint16_t port = parts->Port("a");
  Control(*parts, "/v1/parts/a/heal");
  EXPECT_EQ(parts->Port("a"), port);
  pq_client again(*parts, "a");
  ASSERT_TRUE(again.ok()) << again.error();
  EXPECT_EQ(again.Run("SELECT count(*) FROM t").rows[0][0], "1");
}

// Guards against a cut that closes connections or lets requests through.
TEST(StandinFaultTest, CutSilencesOpenAndNewConnections) {
  const auto parts = StartGroup();
  pq_client open(*parts, "a");
  ASSERT_TRUE(open.ok());
  Control(*parts, "/v1/parts/a/cut");
  open.Send(kInsert);
  PGconn* const fresh = PQconnectStart(
      fmt::format("host=127.0.0.1 port={} dbname=x user=x", parts->Port("a"))
          .c_str());
  // The request has arrived at the member once its connection was accepted.
  EXPECT_TRUE(WaitFor([&] {
    PQconnectPoll(fresh);
    return Counter(*parts, "a", "accepted") == 2;
  }));
  EXPECT_FALSE(open.Arrived());
  EXPECT_NE(PQconnectPoll(fresh), PGRES_POLLING_OK);
  EXPECT_EQ(RowCount(*parts, "a"), "0");
  Control(*parts, "/v1/parts/a/heal");
  EXPECT_TRUE(open.Receive().ok());
  EXPECT_EQ(RowCount(*parts, "a"), "1");
  PQfinish(fresh);
}

// Guards against a one-sided cut that acts on the wrong side: requests take
// effect and only the answers are missing.
TEST(StandinFaultTest, CutOfOutputLetsRequestsTakeEffect) {
  const auto parts = StartGroup();
  pq_client open(*parts, "a");
  ASSERT_TRUE(open.ok());
  Control(*parts, "/v1/parts/a/cut", {{"direction", "out"}});
  open.Send(kInsert);
  EXPECT_TRUE(WaitFor([&] { return RowCount(*parts, "a") == "1"; }));
  EXPECT_FALSE(open.Arrived());
  Control(*parts, "/v1/parts/a/heal");
  EXPECT_TRUE(open.Receive().ok());
}

// Guards against the fault of permanently unresponsive connections being
// simulated wrongly: new connections work, and the cut one neither answers nor
// keeps its transaction once its client has closed it.
TEST(StandinFaultTest, CutOfExistingConnectionsSparesNewOnes) {
  const auto parts = StartGroup();
  auto open = std::make_unique<pq_client>(*parts, "a");
  ASSERT_TRUE(open->Run("BEGIN").ok());
  ASSERT_TRUE(open->Run(kInsert).ok());
  EXPECT_EQ(
      Control(*parts, "/v1/parts/a/cut", {{"connections", "existing"}})["cut"],
      1);
  open->Send("COMMIT");
  pq_client fresh(*parts, "a");
  ASSERT_TRUE(fresh.ok());
  EXPECT_TRUE(fresh.Run("SELECT 1").ok());
  EXPECT_FALSE(open->Arrived());
  open.reset();
  EXPECT_TRUE(WaitFor([&] { return fresh.Run(kInsert).ok(); }));
  EXPECT_EQ(RowCount(*parts, "a"), "1");
}

TEST(StandinFaultTest, CutOfOneConnectionByItsId) {
  const auto parts = StartGroup();
  pq_client first(*parts, "a");
  pq_client second(*parts, "a");
  const json ids = ReadOut(*parts, "/v1/parts/a/connections")["connections"];
  ASSERT_EQ(ids.size(), 2U);
  EXPECT_EQ(Control(*parts, "/v1/parts/a/cut",
                    {{"connections", json::array({ids[0]})}})["cut"],
            1);
  first.Send("SELECT 1");
  EXPECT_TRUE(second.Run("SELECT 1").ok());
  EXPECT_FALSE(first.Arrived());
  Control(*parts, "/v1/parts/a/heal");
  EXPECT_TRUE(first.Receive().ok());
}

// Guards against answers that are dropped before their request took effect.
TEST(StandinFaultTest, DroppedAnswerComesAfterTheEffect) {
  const auto parts = StartGroup();
  pq_client client(*parts, "a");
  Control(*parts, "/v1/parts/a/drop_answers",
          {{"count", 1}, {"match", "INSERT"}});
  EXPECT_TRUE(client.Run("SELECT 1").ok());
  EXPECT_TRUE(client.Run(kInsert).lost);
  EXPECT_EQ(RowCount(*parts, "a"), "1");
  pq_client again(*parts, "a");
  EXPECT_EQ(again.Run(kInsert).sqlstate, "23505");
}

TEST(StandinFaultTest, SlowAddsItsDelayAndHealRemovesIt) {
  const auto parts = StartGroup();
  pq_client client(*parts, "a");
  Control(*parts, "/v1/parts/a/slow", {{"delay_ms", 60}});
  const auto begin = std::chrono::steady_clock::now();
  EXPECT_TRUE(client.Run("SELECT 1").ok());
  EXPECT_GE(std::chrono::steady_clock::now() - begin, milliseconds(60));
  // An hour of delay would exceed the test's limit if heal did not remove it.
  Control(*parts, "/v1/parts/a/slow", {{"delay_ms", 3600000}});
  Control(*parts, "/v1/parts/a/heal");
  EXPECT_TRUE(client.Run("SELECT 1").ok());
}

TEST(StandinFaultTest, RefuseAnswersWithAnErrorAndRunsNothing) {
  const auto parts = StartGroup();
  pq_client client(*parts, "a");
  Control(*parts, "/v1/parts/a/refuse");
  EXPECT_EQ(client.Run(kInsert).sqlstate, "57P03");
  EXPECT_FALSE(pq_client(*parts, "a").ok());
  EXPECT_EQ(RowCount(*parts, "a"), "0");
  Control(*parts, "/v1/parts/a/heal");
  EXPECT_TRUE(client.Run(kInsert).ok());
}

// Guards against a member that is cut for clients but goes on to replicate:
// a partition isolates a member from its peers as well.
TEST(StandinFaultTest, CutIsolatesReplicationUnlessAskedNotTo) {
  const auto parts = StartGroup();
  pq_client primary(*parts, "a");
  Control(*parts, "/v1/parts/b/cut");
  Control(*parts, "/v1/parts/c/cut", {{"replication", false}});
  ASSERT_TRUE(primary.Run(kInsert).ok());
  EXPECT_TRUE(WaitFor([&] { return RowCount(*parts, "c") == "1"; }));
  EXPECT_EQ(RowCount(*parts, "b"), "0");
  Control(*parts, "/v1/parts/b/heal");
  EXPECT_TRUE(WaitFor([&] { return RowCount(*parts, "b") == "1"; }));
}

// Guards against control requests that fail silently.
TEST(StandinFaultTest, ControlPortReportsBadRequests) {
  server_options options;
  options.groups = {ThreeMembers()};
  options.vm_list_port = 0;
  const auto parts = StartServer(options);
  EXPECT_EQ(Post(*parts, "control", "/v1/parts/z/stop").status, 404);
  EXPECT_EQ(Post(*parts, "control", "/v1/parts/a/explode").status, 404);
  EXPECT_EQ(
      Post(*parts, "control", "/v1/parts/a/slow", {{"delay_ms", "x"}}).status,
      400);
  EXPECT_EQ(
      Post(*parts, "control", "/v1/parts/a/cut", {{"direction", "up"}}).status,
      400);
  EXPECT_EQ(
      Post(*parts, "control", "/v1/parts/a/select", {{"sql", "DELETE FROM t"}})
          .status,
      400);
  EXPECT_EQ(Call(*parts, "control", boost::beast::http::verb::post,
                 "/v1/parts/a/stop", "{")
                .status,
            400);
  const json list = Get(*parts, "control", "/v1/parts").body["parts"];
  ASSERT_EQ(list.size(), 4U);
  EXPECT_EQ(list[1]["address"], parts->Address("a"));
}

json Vm(const std::string& name, const std::string& state) {
  return {{"name", name},
          {"http_address", "127.0.0.1:1"},
          {"peer_address", "127.0.0.1:2"},
          {"availability_zone", "z"},
          {"region", "r"},
          {"state", state}};
}

// Guards against a list without lag: proxies must cope with an old list.
TEST(StandinFaultTest, VmListLagsBehind) {
  server_options options;
  options.vm_list_port = 0;
  const auto parts = StartServer(options);
  const json one = json::array({Vm("vm-1", "live")});
  const json two = json::array({Vm("vm-1", "leaving"), Vm("vm-2", "live")});
  Control(*parts, "/v1/vms", {{"vms", one}});
  EXPECT_EQ(Get(*parts, "vm_list", "/v1/vms").body, one);
  Control(*parts, "/v1/vms", {{"vms", two}, {"lag_ms", 3600000}});
  EXPECT_NE(Get(*parts, "vm_list", "/v1/vms").body, two);
  Control(*parts, "/v1/vms", {{"lag_ms", 0}});
  EXPECT_EQ(Get(*parts, "vm_list", "/v1/vms").body, two);
  EXPECT_EQ(
      parts->Control("POST", "/v1/vms", json{{"vms", {Vm("x", "gone")}}}.dump())
          .status,
      400);
}

// Guards against a connection that is closed without the answer because the
// client announced that this is its last request.
TEST(StandinFaultTest, LastRequestOfAConnectionIsAnswered) {
  server_options options;
  options.vm_list_port = 0;
  const auto parts = StartServer(options);
  boost::asio::io_context context;
  boost::asio::ip::tcp::socket socket(context);
  socket.connect(
      {boost::asio::ip::make_address("127.0.0.1"), parts->Port("vm_list")});
  boost::asio::write(socket,
                     boost::asio::buffer(std::string(
                         "GET /v1/vms HTTP/1.1\r\nConnection: close\r\n\r\n")));
  std::string answer;
  boost::system::error_code error;
  boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
  EXPECT_EQ(error, boost::asio::error::eof);
  EXPECT_NE(answer.find("200 OK"), std::string::npos);
}

// Guards against a server that does not end while clients wait.
TEST(StandinFaultTest, DestructionEndsWaitingClients) {
  server_options options;
  options.groups = {ThreeMembers()};
  options.store_port = 0;
  auto parts = StartServer(options);
  pq_client waiting(*parts, "a");
  pq_client silent(*parts, "b");
  Control(*parts, "/v1/parts/a/settings", {{"statement_ms", 3600000}});
  Control(*parts, "/v1/parts/b/cut");
  waiting.Send("SELECT 1");
  silent.Send("SELECT 1");
  raw_client watcher(*parts, "store");
  watcher.Write(
      "POST /v3/watch HTTP/1.1\r\nHost: x\r\nContent-Length: 33\r\n\r\n"
      R"({"create_request":{"key":"Zm9v"}})");
  EXPECT_NE(watcher.ReadUntil("created").size(), 0U);
  parts.reset();
  EXPECT_TRUE(waiting.Receive().lost);
}

}  // namespace
}  // namespace tarragondale::standin
