// libpq calls of one connection. Reference: PostgreSQL documentation, libpq,
// "Asynchronous Command Processing" and "Pipeline Mode".
#include "src/runtime/database_connection.h"

#include <fcntl.h>

#include <array>
#include <charconv>
#include <cstdlib>
#include <utility>

namespace tarragondale::runtime {
namespace {

using boost::asio::posix::descriptor_base;

// A path that can't exist keeps libpq from reading the user's password file.
constexpr char kNoPasswordFile[] = "/dev/null/absent";

void DropNotice(void* /*context*/, const PGresult* /*notice*/) {}

std::string Field(const PGresult* result, int field) {
  const char* const text = PQresultErrorField(result, field);
  return text != nullptr ? text : "";
}

wire::statement_result CopyRows(PGresult* result) {
  wire::statement_result copied;
  const int columns = PQnfields(result);
  const int rows = PQntuples(result);
  copied.columns.reserve(static_cast<size_t>(columns));
  for (int column = 0; column < columns; ++column) {
    copied.columns.push_back({PQfname(result, column),
                              static_cast<uint32_t>(PQftype(result, column))});
  }
  copied.rows.reserve(static_cast<size_t>(rows));
  for (int row = 0; row < rows; ++row) {
    auto& cells = copied.rows.emplace_back();
    cells.reserve(static_cast<size_t>(columns));
    for (int column = 0; column < columns; ++column) {
      if (PQgetisnull(result, row, column) != 0) {
        cells.emplace_back(std::nullopt);
      } else {
        cells.emplace_back(
            std::string(PQgetvalue(result, row, column),
                        static_cast<size_t>(PQgetlength(result, row, column))));
      }
    }
  }
  const std::string_view affected = PQcmdTuples(result);
  std::from_chars(affected.data(), affected.data() + affected.size(),
                  copied.affected);
  return copied;
}

}  // namespace

database_connection::database_connection(boost::asio::io_context& io,
                                         database::connection_id id,
                                         emitter emit)
    : descriptor_(io), id_(id), emit_(std::move(emit)) {}

database_connection::~database_connection() {
  Release();
}

void database_connection::Open(const std::string& address,
                               const std::string& database,
                               const std::string& user) {
  const auto target = SplitAddress(address);
  if (!target || target->host.empty()) {
    Lose("the address is not IP:port");
    return;
  }
  const std::string port = std::to_string(target->port);
  // `hostaddr` avoids name resolution, which would block the thread.
  const std::array<const char*, 10> names = {
      "hostaddr",   "port",     "dbname",          "user",    "sslmode",
      "gssencmode", "passfile", "client_encoding", "options", nullptr};
  const std::array<const char*, 10> values = {target->host.c_str(),
                                              port.c_str(),
                                              database.c_str(),
                                              user.c_str(),
                                              "disable",
                                              "disable",
                                              kNoPasswordFile,
                                              "UTF8",
                                              "",
                                              nullptr};
  connection_ = PQconnectStartParams(names.data(), values.data(), 0);
  if (connection_ == nullptr || PQstatus(connection_) == CONNECTION_BAD) {
    Lose(LastError());
    return;
  }
  PQsetNoticeReceiver(connection_, DropNotice, nullptr);
  ContinueConnecting(PGRES_POLLING_WRITING);
}

// libpq may use another socket after each step.
bool database_connection::FollowSocket() {
  const int socket = PQsocket(connection_);
  if (socket < 0) {
    return false;
  }
  boost::system::error_code error;
  descriptor_.close(error);
  // A copy: libpq closes its own descriptor on an error, and another thread may
  // get the same number before this one is taken out of the event loop.
  const int copy = fcntl(socket, F_DUPFD_CLOEXEC, 0);
  if (copy < 0) {
    return false;
  }
  descriptor_.assign(copy, error);
  return !error;
}

void database_connection::ContinueConnecting(PostgresPollingStatusType status) {
  if (status == PGRES_POLLING_OK) {
    BecomeReady();
    return;
  }
  if (status == PGRES_POLLING_FAILED || !FollowSocket()) {
    Lose(LastError());
    return;
  }
  const auto direction = status == PGRES_POLLING_READING
                             ? descriptor_base::wait_read
                             : descriptor_base::wait_write;
  descriptor_.async_wait(
      direction, [self = shared_from_this()](boost::system::error_code error) {
        if (!error && self->phase_ == phase::kConnecting) {
          self->ContinueConnecting(PQconnectPoll(self->connection_));
        }
      });
}

void database_connection::BecomeReady() {
  if (!FollowSocket() || PQsetnonblocking(connection_, 1) != 0 ||
      PQenterPipelineMode(connection_) != 1) {
    Lose(LastError());
    return;
  }
  phase_ = phase::kReady;
  emit_(database::connection_opened{id_});
  WaitReadable();
  while (phase_ == phase::kReady && !waiting_.empty()) {
    const database::send_query query = std::move(waiting_.front());
    waiting_.pop_front();
    Transmit(query);
  }
}

void database_connection::Send(database::send_query query) {
  if (phase_ == phase::kConnecting) {
    waiting_.push_back(std::move(query));
  } else if (phase_ == phase::kReady) {
    Transmit(query);
  }
}

// Each query ends with its own Sync, so that an error of one does not skip
// the next, as without pipeline mode.
void database_connection::Transmit(const database::send_query& query) {
  std::vector<const char*> values;
  values.reserve(query.statement.params.size());
  for (const wire::sql_value& value : query.statement.params) {
    values.push_back(value ? value->c_str() : nullptr);
  }
  running_.push_back({id_, query.query, {}, {}, {}});
  if (PQsendQueryParams(connection_, query.statement.sql.c_str(),
                        static_cast<int>(values.size()), nullptr, values.data(),
                        nullptr, nullptr, 0) != 1 ||
      PQpipelineSync(connection_) != 1) {
    Lose(LastError());
    return;
  }
  Flush();
}

void database_connection::Flush() {
  const int left = PQflush(connection_);
  if (left < 0) {
    Lose(LastError());
  } else if (left > 0) {
    WaitWritable();
  }
}

void database_connection::WaitReadable() {
  if (waiting_readable_) {
    return;
  }
  waiting_readable_ = true;
  descriptor_.async_wait(
      descriptor_base::wait_read,
      [self = shared_from_this()](boost::system::error_code error) {
        self->waiting_readable_ = false;
        if (!error && self->phase_ == phase::kReady) {
          self->OnReadable();
        }
      });
}

void database_connection::WaitWritable() {
  if (waiting_writable_) {
    return;
  }
  waiting_writable_ = true;
  descriptor_.async_wait(
      descriptor_base::wait_write,
      [self = shared_from_this()](boost::system::error_code error) {
        self->waiting_writable_ = false;
        if (!error && self->phase_ == phase::kReady) {
          self->Flush();
        }
      });
}

void database_connection::OnReadable() {
  if (PQconsumeInput(connection_) != 1) {
    // Results that arrived in front of the error are still valid.
    const std::string reason = LastError();
    TakeResults();
    if (phase_ == phase::kReady) {
      Lose(reason);
    }
    return;
  }
  TakeResults();
  if (phase_ != phase::kReady) {
    return;
  }
  if (PQstatus(connection_) != CONNECTION_OK) {
    Lose(LastError());
    return;
  }
  Flush();
  if (phase_ == phase::kReady) {
    WaitReadable();
  }
}

void database_connection::TakeResults() {
  while (phase_ == phase::kReady && !running_.empty() &&
         PQisBusy(connection_) == 0) {
    PGresult* const result = PQgetResult(connection_);
    if (result != nullptr) {
      TakeResult(result);
      PQclear(result);
    } else if (PQstatus(connection_) != CONNECTION_OK) {
      return;  // Without a connection there is only this null result.
    }
  }
}

void database_connection::TakeResult(PGresult* result) {
  database::query_finished& query = running_.front();
  switch (PQresultStatus(result)) {
    case PGRES_PIPELINE_SYNC: {
      const database::query_finished finished = std::move(query);
      running_.pop_front();
      emit_(finished);
      return;
    }
    case PGRES_COMMAND_OK:
    case PGRES_TUPLES_OK:
    case PGRES_EMPTY_QUERY:
      query.result = CopyRows(result);
      return;
    case PGRES_FATAL_ERROR:
      query.sqlstate = Field(result, PG_DIAG_SQLSTATE);
      query.message = Field(result, PG_DIAG_MESSAGE_PRIMARY);
      if (query.sqlstate.empty()) {
        Lose(PQresultErrorMessage(result));  // libpq's own, not the server's.
      }
      return;
    default:
      Lose(std::string("unexpected result ") +
           PQresStatus(PQresultStatus(result)));
  }
}

void database_connection::Lose(const std::string& reason) {
  if (phase_ == phase::kClosed) {
    return;
  }
  const auto self = shared_from_this();
  Release();
  emit_(database::connection_lost{id_, reason});
}

void database_connection::Close() {
  Release();
}

void database_connection::Release() {
  phase_ = phase::kClosed;
  boost::system::error_code ignored;
  descriptor_.close(ignored);
  if (connection_ != nullptr) {
    PQfinish(std::exchange(connection_, nullptr));
  }
}

std::string database_connection::LastError() const {
  std::string text = connection_ != nullptr ? PQerrorMessage(connection_)
                                            : "no memory for a connection";
  while (!text.empty() && text.back() == '\n') {
    text.pop_back();
  }
  return text;
}

}  // namespace tarragondale::runtime
