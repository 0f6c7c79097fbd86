// Tests of the database driver against a scripted listener that speaks the
// PostgreSQL protocol.
#include "src/runtime/database_driver.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <condition_variable>
#include <mutex>
#include <thread>

namespace tarragondale::runtime {
namespace {

using database::connection_lost;
using database::connection_opened;
using database::driver_event;
using database::query_finished;

std::string Int32(uint32_t value) {
  const uint32_t big = htonl(value);
  return {reinterpret_cast<const char*>(&big), sizeof(big)};
}

std::string Int16(uint16_t value) {
  const uint16_t big = htons(value);
  return {reinterpret_cast<const char*>(&big), sizeof(big)};
}

std::string Packet(char type, const std::string& body) {
  return type + Int32(static_cast<uint32_t>(body.size() + 4)) + body;
}

std::string Text(const std::string& text) {
  return text + '\0';
}

// One accepted connection of the listener.
class session {
 public:
  explicit session(int socket) : socket_(socket) {}
  ~session() { close(socket_); }

  bool Read(size_t count, std::string& bytes) {
    bytes.resize(count);
    // Linux blocks in a read of zero bytes until there is data.
    return count == 0 || recv(socket_, bytes.data(), count, MSG_WAITALL) ==
                             static_cast<ssize_t>(count);
  }

  // False if the client closed the connection.
  bool ReadPacket(char& type, std::string& body) {
    std::string head;
    if (!Read(5, head)) {
      return false;
    }
    uint32_t length = 0;
    head.copy(reinterpret_cast<char*>(&length), 4, 1);
    type = head[0];
    return Read(ntohl(length) - 4, body);
  }

  void Send(const std::string& bytes) {
    send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }

  void Ready() { Send(Packet('Z', "I")); }

  void StartUp() {
    std::string length;
    std::string rest;
    ASSERT_TRUE(Read(4, length));
    uint32_t size = 0;
    length.copy(reinterpret_cast<char*>(&size), 4);
    ASSERT_TRUE(Read(ntohl(size) - 4, rest));
    Send(Packet('R', Int32(0)));
    Ready();
  }

  // Statement text of the next query up to its Sync; empty: client is gone.
  std::string NextQuery() {
    char type = 0;
    std::string body;
    std::string sql;
    while (ReadPacket(type, body)) {
      if (type == 'P') {
        sql = body.c_str() + 1;  // Behind the empty statement name.
      }
      if (type == 'S') {
        return sql;
      }
    }
    return "";
  }

  void AnswerRow() {
    Send(Packet('1', "") + Packet('2', "") +
         Packet('T', Int16(2) + Text("item") + Int32(0) + Int16(0) + Int32(25) +
                         Int16(-1) + Int32(-1) + Int16(0) + Text("note") +
                         Int32(0) + Int16(0) + Int32(20) + Int16(-1) +
                         Int32(-1) + Int16(0)) +
         Packet('D', Int16(2) + Int32(4) + "disc" + Int32(-1)) +
         Packet('C', Text("SELECT 1")));
    Ready();
  }

  void AnswerError(const std::string& sqlstate) {
    Send(Packet('1', "") +
         Packet('E', "S" + Text("ERROR") + "C" + Text(sqlstate) + "M" +
                         Text("refused") + '\0'));
    Ready();
  }

  void WaitForClose() {
    char type = 0;
    std::string body;
    while (ReadPacket(type, body)) {
    }
  }

 private:
  int socket_;
};

// Serves `count` connections one after the other with the same script.
class listener {
 public:
  listener(int count, std::function<void(session&)> script)
      : socket_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    auto* const generic = reinterpret_cast<sockaddr*>(&address);
    EXPECT_EQ(bind(socket_, generic, length), 0);
    EXPECT_EQ(listen(socket_, 8), 0);
    EXPECT_EQ(getsockname(socket_, generic, &length), 0);
    address_ = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    thread_ = std::thread([this, count, script = std::move(script)] {
      for (int i = 0; i < count; ++i) {
        session served(accept(socket_, nullptr, nullptr));
        script(served);
      }
    });
  }
  ~listener() {
    thread_.join();
    close(socket_);
  }
  const std::string& address() const { return address_; }

 private:
  int socket_;
  std::string address_;
  std::thread thread_;
};

class event_log {
 public:
  database_driver::callback Callback() {
    return [this](driver_event event) {
      const std::scoped_lock lock(mutex_);
      events_.push_back(std::move(event));
      arrived_.notify_all();
    };
  }
  template <typename Event>
  Event Next() {
    std::unique_lock lock(mutex_);
    constexpr seconds kPatience(10);
    if (!arrived_.wait_for(lock, kPatience,
                           [this] { return !events_.empty(); })) {
      ADD_FAILURE() << "no event came";
      return {};
    }
    const driver_event event = events_.front();
    events_.erase(events_.begin());
    if (!std::holds_alternative<Event>(event)) {
      const auto* const lost = std::get_if<connection_lost>(&event);
      ADD_FAILURE() << "event of another kind, index " << event.index() << " "
                    << (lost != nullptr ? lost->reason : "");
      return {};
    }
    return std::get<Event>(event);
  }
  bool Empty() {
    const std::scoped_lock lock(mutex_);
    return events_.empty();
  }

 private:
  std::mutex mutex_;
  std::condition_variable arrived_;
  std::vector<driver_event> events_;
};

// NOLINTNEXTLINE(readability-identifier-naming): the name of a test suite.
class DatabaseDriverTest : public testing::Test {
 protected:
  DatabaseDriverTest() : client_(driver_.AddClient(log_.Callback())) {
    driver_.Start();
  }
  void Open(database::connection_id id, const std::string& address) {
    ASSERT_TRUE(
        driver_.Submit(client_, database::open_connection{id, address, "d"}));
  }
  void Query(database::connection_id id, database::query_id query) {
    ASSERT_TRUE(driver_.Submit(
        client_,
        database::send_query{id, query, {"SELECT $1", {"a", std::nullopt}}}));
  }
  void Close(database::connection_id id) {
    ASSERT_TRUE(driver_.Submit(client_, database::close_connection{id}));
  }

  event_log log_;
  database_driver driver_;
  database_driver::client_id client_;
};

// Guards against lost columns, types, NULLs or counts.
TEST_F(DatabaseDriverTest, CopiesRows) {
  listener server(1, [](session& s) {
    s.StartUp();
    EXPECT_EQ(s.NextQuery(), "SELECT $1");
    s.AnswerRow();
    s.WaitForClose();
  });
  Open(1, server.address());
  Query(1, 7);  // Before the connection is open: it waits.
  EXPECT_EQ(log_.Next<connection_opened>().connection, 1U);
  const auto answer = log_.Next<query_finished>();
  EXPECT_EQ(answer.query, 7U);
  EXPECT_EQ(answer.sqlstate, "");
  const wire::statement_result expected{
      {{"item", 25}, {"note", 20}}, {{"disc", std::nullopt}}, 1};
  EXPECT_EQ(answer.result, expected);
  Close(1);
}

// Guards against answers that go to another query after an error.
TEST_F(DatabaseDriverTest, QueriesBehindAnErrorRun) {
  listener server(1, [](session& s) {
    s.StartUp();
    s.NextQuery();
    s.AnswerError(database::kNotWritable);
    s.NextQuery();
    s.AnswerRow();
    s.WaitForClose();
  });
  Open(1, server.address());
  Query(1, 1);
  Query(1, 2);
  log_.Next<connection_opened>();
  const auto failed = log_.Next<query_finished>();
  EXPECT_EQ(failed.query, 1U);
  EXPECT_EQ(failed.sqlstate, database::kNotWritable);
  EXPECT_EQ(failed.message, "refused");
  const auto passed = log_.Next<query_finished>();
  EXPECT_EQ(passed.query, 2U);
  EXPECT_EQ(passed.sqlstate, "");
  Close(1);
}

// Guards against a cut that gives no event, or one for each query.
TEST_F(DatabaseDriverTest, CutGivesOneLossAfterFinishedQueries) {
  listener server(1, [](session& s) {
    s.StartUp();
    s.NextQuery();
    s.AnswerRow();
    // Reads all, as a close with unread bytes resets the connection, and a
    // reset may destroy the answer on its way.
    s.NextQuery();
    s.NextQuery();
  });
  Open(1, server.address());
  for (database::query_id query = 1; query <= 3; ++query) {
    Query(1, query);
  }
  log_.Next<connection_opened>();
  EXPECT_EQ(log_.Next<query_finished>().query, 1U);
  EXPECT_EQ(log_.Next<connection_lost>().connection, 1U);
  Query(1, 4);  // To a lost connection: dropped.
  driver_.Stop();
  EXPECT_TRUE(log_.Empty());
}

// Guards against a crash or a hang by bytes that are no protocol.
TEST_F(DatabaseDriverTest, GarbageGivesALoss) {
  listener server(2, [count = 0](session& s) mutable {
    if (++count == 1) {
      s.StartUp();
      s.NextQuery();
    }
    s.Send(std::string(64, '\xff'));
  });
  Open(1, server.address());
  Query(1, 1);
  log_.Next<connection_opened>();
  EXPECT_EQ(log_.Next<connection_lost>().connection, 1U);
  Open(2, server.address());
  EXPECT_EQ(log_.Next<connection_lost>().connection, 2U);
}

// Guards against events of a connection that was closed while it opened, and
// against a thread that waits for an unresponsive database.
TEST_F(DatabaseDriverTest, CloseWhileOpeningIsSilent) {
  listener silent(1, [](session& s) { s.WaitForClose(); });
  listener server(1, [](session& s) {
    s.StartUp();
    s.WaitForClose();
  });
  Open(1, silent.address());
  Query(1, 1);
  Open(2, server.address());
  EXPECT_EQ(log_.Next<connection_opened>().connection, 2U);
  Close(1);
  Close(2);
  Open(3, "nowhere");
  EXPECT_EQ(log_.Next<connection_lost>().connection, 3U);
  driver_.Stop();
  EXPECT_TRUE(log_.Empty());
}

// Guards against events that reach the client of another id space.
TEST(DatabaseDriverClientsTest, ClientsWithEqualIdsAreApart) {
  event_log first;
  event_log second;
  database_driver driver;
  const auto first_client = driver.AddClient(first.Callback());
  const auto second_client = driver.AddClient(second.Callback());
  driver.Start();
  listener server(1, [](session& s) {
    s.StartUp();
    s.WaitForClose();
  });
  ASSERT_TRUE(driver.Submit(
      first_client, database::open_connection{1, server.address(), "d"}));
  ASSERT_TRUE(driver.Submit(second_client,
                            database::open_connection{1, "nowhere", "d"}));
  first.Next<connection_opened>();
  second.Next<connection_lost>();
  driver.Stop();
  EXPECT_TRUE(first.Empty());
  EXPECT_TRUE(second.Empty());
}

// Guards against a command that a full ring swallows.
TEST(DatabaseDriverClientsTest, FullRingIsReported) {
  database_driver driver({.ring_capacity = 1, .user = "u"});
  const auto client = driver.AddClient([](const driver_event&) {});
  EXPECT_TRUE(driver.Submit(client, database::close_connection{1}));
  EXPECT_FALSE(driver.Submit(client, database::close_connection{2}));
}

}  // namespace
}  // namespace tarragondale::runtime
