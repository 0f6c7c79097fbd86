// Reads messages of the PostgreSQL protocol and answers them.
#include "src/standin/pg_session.h"

#include <algorithm>
#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <map>
#include <optional>

#include "src/standin/pg_codec.h"
#include "src/standin/statement_runner.h"

namespace tarragondale::standin {
namespace {

constexpr uint32_t kProtocolMajor = 3;
constexpr uint32_t kCancelRequest = 80877102;
constexpr uint32_t kSslRequest = 80877103;
constexpr uint32_t kGssEncRequest = 80877104;
// PostgreSQL's limit for startup packets.
constexpr uint32_t kMaxStartupBytes = 10000;
constexpr uint32_t kMaxMessageBytes = 16U << 20;
constexpr size_t kReadBytes = 16384;
// Answers are sent in parts above this size.
constexpr size_t kFlushBytes = 1U << 20;
constexpr size_t kMaxPreparedStatements = 1000;

[[noreturn]] void ThrowClosed() {
  throw boost::system::system_error(net::error::connection_reset);
}

struct prepared_statement {
  std::string text;
  std::vector<uint32_t> types;
};

struct portal {
  sql_statement statement;
  std::optional<sql_result> result;  ///< Once it ran.
  size_t next_row = 0;
};

class pg_session {
 public:
  pg_session(reactor& loop, member& owner, connection& client)
      : loop_(loop),
        member_(owner),
        endpoint_(owner.listener()),
        client_(client),
        runner_(owner) {}
  pg_session(const pg_session&) = delete;
  pg_session& operator=(const pg_session&) = delete;
  ~pg_session() {
    if (counted_) {
      member_.RemoveConnection();
    }
  }

  task<void> Serve();

 private:
  task<void> Fill(size_t count);
  task<pg_message> ReadMessage();
  task<bool> Startup();
  task<bool> ReadStartupPacket();
  task<bool> Refuse(std::string sqlstate, std::string message);
  task<void> Loop();
  task<void> Handle(const pg_message& message);
  task<void> HandleExtended(const pg_message& message);
  task<void> SimpleQuery(std::string text);
  void Parse(pg_reader fields);
  void Bind(pg_reader fields);
  void DescribeTarget(pg_reader fields);
  void DescribePending();
  void CloseTarget(pg_reader fields);
  task<void> Execute(pg_reader fields);
  task<void> Sync();
  task<void> Ready();
  task<void> Flush(bool droppable);
  void SendRows(portal& target, uint32_t limit);
  void SendDescription(const std::vector<sql_column>& columns);

  reactor& loop_;
  member& member_;
  endpoint& endpoint_;
  connection& client_;
  statement_runner runner_;
  pg_writer out_;
  std::string in_;
  bool counted_ = false;
  bool skip_until_sync_ = false;
  std::string batch_;  ///< Texts since the last ReadyForQuery.
  std::map<std::string, prepared_statement> statements_;
  std::map<std::string, portal> portals_;
  /// Portal whose RowDescription waits for its rows, which decide the types.
  std::optional<std::string> pending_description_;
};

task<void> pg_session::Fill(size_t count) {
  while (in_.size() < count) {
    std::array<char, kReadBytes> chunk{};
    boost::system::error_code error;
    const size_t received = co_await client_.socket.async_read_some(
        net::buffer(chunk), net::redirect_error(net::use_awaitable, error));
    co_await endpoint_.PassIn(client_);
    if (error) {
      throw boost::system::system_error(error);
    }
    in_.append(chunk.data(), received);
  }
}

task<pg_message> pg_session::ReadMessage() {
  constexpr size_t kHeaderBytes = 5;
  co_await Fill(kHeaderBytes);
  pg_reader header(in_);
  pg_message message;
  message.type = static_cast<char>(header.Byte());
  const uint32_t length = header.Int32();
  if (length < 4 || length > kMaxMessageBytes) {
    throw protocol_error{"invalid message length"};
  }
  co_await Fill(1 + length);
  message.body = in_.substr(kHeaderBytes, length - 4);
  in_.erase(0, 1 + length);
  co_return message;
}

task<bool> pg_session::Refuse(std::string sqlstate, std::string message) {
  out_.Error({std::move(sqlstate), std::move(message)}, "FATAL");
  co_await Flush(false);
  co_return false;
}

// True if the client wants a session; false if the connection shall be closed.
task<bool> pg_session::ReadStartupPacket() {
  while (true) {
    co_await Fill(4);
    const uint32_t length = pg_reader(in_).Int32();
    if (length < 8 || length > kMaxStartupBytes) {
      co_return false;
    }
    co_await Fill(length);
    const std::string body = in_.substr(4, length - 4);
    in_.erase(0, length);
    const uint32_t code = pg_reader(body).Int32();
    if (code == kSslRequest || code == kGssEncRequest) {
      out_.RefuseEncryption();
      co_await Flush(false);
    } else if (code == kCancelRequest) {
      co_return false;
    } else if (code >> 16U != kProtocolMajor) {
      co_return co_await Refuse("0A000", "unsupported protocol version");
    } else {
      co_return true;
    }
  }
}

task<bool> pg_session::Startup() {
  const bool wanted = co_await ReadStartupPacket();
  if (!wanted) {
    co_return false;
  }
  if (endpoint_.faults().refuse) {
    co_return co_await Refuse("57P03", "refused by fault injection");
  }
  if (!member_.AddConnection()) {
    ++member_.counters()["connections_refused"];
    co_return co_await Refuse("53300", "too many connections");
  }
  counted_ = true;
  ++member_.counters()["connections_opened"];
  co_await loop_.Sleep(member_.limits().open_time);
  out_.AuthenticationOk();
  out_.ParameterStatus("server_version", "15.0");
  out_.ParameterStatus("server_encoding", "UTF8");
  out_.ParameterStatus("client_encoding", "UTF8");
  out_.ParameterStatus("standard_conforming_strings", "on");
  out_.ParameterStatus("integer_datetimes", "on");
  out_.ParameterStatus("DateStyle", "ISO, MDY");
  out_.ParameterStatus("TimeZone", "UTC");
  out_.BackendKeyData(static_cast<uint32_t>(client_.id), 0);
  out_.ReadyForQuery('I');
  co_await Flush(false);
  co_return true;
}

task<void> pg_session::Serve() {
  std::string problem;
  try {
    const bool started = co_await Startup();
    if (started) {
      co_await Loop();
    }
    co_return;
  } catch (const protocol_error& error) {
    problem = error.message;
  }
  ++member_.counters()["protocol_errors"];
  co_await Refuse("08P01", problem);
}

task<void> pg_session::Loop() {
  while (true) {
    const pg_message message = co_await ReadMessage();
    if (message.type == 'X') {
      co_return;
    }
    if (skip_until_sync_ && message.type != 'S') {
      continue;
    }
    co_await Handle(message);
    if (out_.size() > kFlushBytes) {
      co_await Flush(true);
    }
  }
}

task<void> pg_session::Handle(const pg_message& message) {
  std::optional<sql_error> failed;
  try {
    if (message.type == 'Q') {
      co_await SimpleQuery(pg_reader(message.body).Text());
      co_return;
    }
    co_await HandleExtended(message);
  } catch (const sql_error& error) {
    failed = error;
  }
  if (failed) {
    runner_.Fail();
    pending_description_.reset();
    out_.Error(*failed, "ERROR");
    skip_until_sync_ = true;
  }
}

task<void> pg_session::HandleExtended(const pg_message& message) {
  pg_reader fields(message.body);
  if (message.type != 'E') {
    DescribePending();
  }
  switch (message.type) {
    case 'P':
      Parse(fields);
      break;
    case 'B':
      Bind(fields);
      break;
    case 'D':
      DescribeTarget(fields);
      break;
    case 'E':
      co_await Execute(fields);
      break;
    case 'C':
      CloseTarget(fields);
      break;
    case 'H':
      co_await Flush(true);
      break;
    case 'S':
      co_await Sync();
      break;
    case 'd':
    case 'c':
    case 'f':
      break;  // Data of a copy that is not in progress is ignored.
    default:
      throw protocol_error{"unknown message type"};
  }
}

task<void> pg_session::SimpleQuery(std::string text) {
  batch_ += text;
  const std::vector<std::string> texts = SplitStatements(text);
  if (texts.empty()) {
    out_.Plain(kEmptyQueryResponse);
  }
  std::optional<sql_error> failed;
  try {
    for (size_t i = 0; i < texts.size(); ++i) {
      // GCC 12 destroys an aggregate twice if it is a temporary in an
      // expression with co_await, so it has a name here.
      const sql_statement statement{texts[i], {}};
      const sql_result result = co_await runner_.Run(statement);
      if (i + 1 == texts.size()) {
        co_await runner_.FinishImplicit();
      }
      if (result.has_rows) {
        out_.RowDescription(result.columns);
        for (const auto& row : result.rows) {
          out_.DataRow(row);
        }
      }
      out_.CommandComplete(result.tag);
    }
  } catch (const sql_error& error) {
    failed = error;
  }
  if (failed) {
    out_.Error(*failed, "ERROR");
  }
  co_await Ready();
}

void pg_session::Parse(pg_reader fields) {
  const std::string name = fields.Text();
  prepared_statement statement{fields.Text(), {}};
  const uint16_t count = fields.Int16();
  for (uint16_t i = 0; i < count; ++i) {
    statement.types.push_back(fields.Int32());
  }
  if (!name.empty() && statements_.contains(name)) {
    throw sql_error{"42P05", "prepared statement already exists"};
  }
  if (statements_.size() >= kMaxPreparedStatements) {
    throw sql_error{"53400", "too many prepared statements"};
  }
  statements_[name] = std::move(statement);
  out_.Plain(kParseComplete);
}

void CheckTextFormats(pg_reader& fields) {
  const uint16_t count = fields.Int16();
  for (uint16_t i = 0; i < count; ++i) {
    if (fields.Int16() != 0) {
      throw sql_error{"0A000", "binary format is not supported"};
    }
  }
}

void pg_session::Bind(pg_reader fields) {
  const std::string name = fields.Text();
  const std::string source = fields.Text();
  const auto found = statements_.find(source);
  if (found == statements_.end()) {
    throw sql_error{"26000", "prepared statement does not exist"};
  }
  if (portals_.size() >= kMaxPreparedStatements) {
    throw sql_error{"53400", "too many portals"};
  }
  CheckTextFormats(fields);
  portal target;
  target.statement.text = found->second.text;
  const uint16_t count = fields.Int16();
  for (uint16_t i = 0; i < count; ++i) {
    sql_parameter parameter;
    parameter.type =
        i < found->second.types.size() ? found->second.types[i] : 0;
    const uint32_t length = fields.Int32();
    if (length != 0xFFFFFFFFU) {
      parameter.value = fields.Bytes(length);
    }
    target.statement.parameters.push_back(std::move(parameter));
  }
  CheckTextFormats(fields);
  portals_[name] = std::move(target);
  out_.Plain(kBindComplete);
}

void pg_session::SendDescription(const std::vector<sql_column>& columns) {
  if (columns.empty()) {
    out_.Plain(kNoData);
  } else {
    out_.RowDescription(columns);
  }
}

void pg_session::DescribeTarget(pg_reader fields) {
  const uint8_t kind = fields.Byte();
  const std::string name = fields.Text();
  if (kind == 'P') {
    if (!portals_.contains(name)) {
      throw sql_error{"34000", "portal does not exist"};
    }
    pending_description_ = name;
    return;
  }
  const auto found = statements_.find(name);
  if (kind != 'S' || found == statements_.end()) {
    throw sql_error{"26000", "prepared statement does not exist"};
  }
  const sql_description description = runner_.Describe(found->second.text);
  std::vector<uint32_t> types(
      std::max(description.parameters, found->second.types.size()), kTextOid);
  for (size_t i = 0; i < found->second.types.size(); ++i) {
    types[i] = found->second.types[i] == 0 ? kTextOid : found->second.types[i];
  }
  out_.ParameterDescription(types);
  SendDescription(description.columns);
}

void pg_session::DescribePending() {
  if (pending_description_) {
    const std::string name = *pending_description_;
    pending_description_.reset();
    SendDescription(runner_.Describe(portals_[name].statement.text).columns);
  }
}

void pg_session::CloseTarget(pg_reader fields) {
  const uint8_t kind = fields.Byte();
  const std::string name = fields.Text();
  if (kind == 'S') {
    statements_.erase(name);
  } else {
    portals_.erase(name);
  }
  out_.Plain(kCloseComplete);
}

task<void> pg_session::Execute(pg_reader fields) {
  const std::string name = fields.Text();
  const uint32_t limit = fields.Int32();
  const auto found = portals_.find(name);
  if (found == portals_.end()) {
    throw sql_error{"34000", "portal does not exist"};
  }
  const bool described = pending_description_ == name;
  if (!described) {
    DescribePending();
  }
  pending_description_.reset();
  portal& target = found->second;
  if (!target.result) {
    batch_ += target.statement.text;
    target.result = co_await runner_.Run(target.statement);
    if (runner_.TakeDiscarded()) {
      statements_.clear();
    }
  }
  if (described) {
    SendDescription(target.result->columns);
  }
  SendRows(target, limit);
}

void pg_session::SendRows(portal& target, uint32_t limit) {
  const sql_result& result = *target.result;
  size_t end = result.rows.size();
  if (limit > 0) {
    end = std::min(end, target.next_row + limit);
  }
  for (; target.next_row < end; ++target.next_row) {
    out_.DataRow(result.rows[target.next_row]);
  }
  if (end < result.rows.size()) {
    out_.Plain(kPortalSuspended);
  } else if (result.tag.empty()) {
    out_.Plain(kEmptyQueryResponse);
  } else {
    out_.CommandComplete(result.tag);
  }
}

task<void> pg_session::Sync() {
  skip_until_sync_ = false;
  std::optional<sql_error> failed;
  try {
    co_await runner_.FinishImplicit();
  } catch (const sql_error& error) {
    failed = error;
  }
  if (failed) {
    out_.Error(*failed, "ERROR");
  }
  co_await Ready();
}

task<void> pg_session::Ready() {
  if (runner_.State() == 'I') {
    portals_.clear();
  }
  out_.ReadyForQuery(runner_.State());
  co_await Flush(true);
  batch_.clear();
}

task<void> pg_session::Flush(bool droppable) {
  if (droppable && endpoint_.TakeDrop(batch_)) {
    ThrowClosed();
  }
  co_await endpoint_.PassOut(client_);
  const std::string bytes = out_.Take();
  if (!bytes.empty()) {
    co_await net::async_write(client_.socket, net::buffer(bytes),
                              net::use_awaitable);
  }
}

}  // namespace

task<void> ServePostgres(reactor& loop, member& owner, connection& client) {
  pg_session session(loop, owner, client);
  co_await session.Serve();
}

}  // namespace tarragondale::standin
