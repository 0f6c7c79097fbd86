// Connections of callers.
#include "src/runtime/line/caller_server.h"

#include <utility>
#include <vector>

#include "src/runtime/line/boot_clock.h"
#include "src/runtime/line/log_output.h"

namespace tarragondale::runtime {

namespace net = boost::asio;
using net::ip::tcp;

namespace {

// A connection that names no database within this time is closed.
constexpr duration kStartLimit = seconds(5);
constexpr duration kSweepInterval = seconds(2);
constexpr duration kAcceptPause = milliseconds(50);
constexpr int kBacklog = 1024;

}  // namespace

caller_server::caller_server(net::io_context& context, handler on_event)
    : context_(context),
      on_event_(std::move(on_event)),
      listener_(context,
                log_part::kSession,
                kAcceptPause,
                [this](tcp::socket socket) { Add(std::move(socket)); }),
      sweep_(context) {}

status caller_server::Listen(const std::string& address) {
  if (status problem = listener_.Listen(address, kBacklog)) {
    return problem;
  }
  listener_.Start();
  SweepSilent();
  return std::nullopt;
}

void caller_server::StopListening() {
  listener_.Close();
}

void caller_server::Add(tcp::socket socket) {
  const interactive::session_id session = ++last_;
  caller& added = callers_[session];
  added.connection = std::make_shared<line_connection>(std::move(socket));
  added.connected = BootNow();
  added.connection->SetHandlers(
      {.line = [this,
                session](const std::string& line) { OnLine(session, line); },
       .closed = [this, session](const std::string&) { OnClosed(session); }});
  added.connection->Start();
}

void caller_server::OnLine(interactive::session_id session,
                           const std::string& line) {
  const auto found = callers_.find(session);
  if (found == callers_.end()) {
    return;
  }
  caller& from = found->second;
  platform::caller_line decoded = platform::DecodeCallerLine(line);
  if (auto* const start = std::get_if<platform::session_start>(&decoded)) {
    if (std::exchange(from.started, true)) {
      return Reject(session, result_code::kStatementMalformed);
    }
    on_event_(interactive::caller_opened{session, std::move(start->database),
                                         std::move(start->key)});
  } else if (auto* const statement =
                 std::get_if<interactive::caller_statement>(&decoded)) {
    if (!from.accepted) {
      return Reject(session, result_code::kStatementMalformed);
    }
    ++from.unanswered;
    on_event_(interactive::caller_sent{session, std::move(*statement)});
  } else if (std::holds_alternative<platform::session_end>(decoded)) {
    from.connection->Close();
    OnClosed(session);
  } else if (from.accepted) {
    interactive::caller_statement malformed;
    ++from.unanswered;
    on_event_(interactive::caller_sent{session, std::move(malformed)});
  } else {
    Reject(session, result_code::kStatementMalformed);
  }
}

void caller_server::OnClosed(interactive::session_id session) {
  const auto found = callers_.find(session);
  if (found == callers_.end()) {
    return;
  }
  const bool started = found->second.started;
  callers_.erase(found);
  if (started) {
    on_event_(interactive::caller_closed{session});
  }
}

void caller_server::Reject(interactive::session_id session, result_code code) {
  interactive::answer_caller answer;
  answer.session = session;
  answer.code = code;
  answer.reason = "a session must be started first, and once";
  answer.close = true;
  Answer(answer);
}

void caller_server::Accept(interactive::session_id session) {
  const auto found = callers_.find(session);
  if (found == callers_.end()) {
    return;
  }
  found->second.accepted = true;
  found->second.connection->Write(platform::EncodeAcceptance());
}

void caller_server::Answer(const interactive::answer_caller& answer) {
  const auto found = callers_.find(answer.session);
  if (found == callers_.end()) {
    return;
  }
  caller& to = found->second;
  to.unanswered -= to.unanswered > 0 ? 1 : 0;
  to.connection->Write(platform::EncodeAnswer(answer, !to.accepted));
  if (answer.close) {
    Close(answer.session);
  }
}

void caller_server::Close(interactive::session_id session) {
  const auto found = callers_.find(session);
  if (found == callers_.end()) {
    return;
  }
  RefuseArrived(found->second);
  found->second.connection->CloseAfterWrites();
  // The broker may be handling an event of this session.
  net::post(context_, [this, session] { OnClosed(session); });
}

// Refuses the statements that have arrived at a session that is being closed.
// The session counted as idle, since they have not been read yet; a VM that is
// short of processor time reads them late. They would otherwise be lost without
// an answer.
void caller_server::RefuseArrived(const caller& from) {
  if (!from.accepted || from.unanswered > 0) {
    return;
  }
  for (const std::string& line : from.connection->TakeArrivedLines()) {
    const platform::caller_line decoded = platform::DecodeCallerLine(line);
    if (std::holds_alternative<platform::session_end>(decoded)) {
      return;
    }
    const auto* const statement =
        std::get_if<interactive::caller_statement>(&decoded);
    interactive::answer_caller refusal;
    refusal.code = statement == nullptr ? result_code::kStatementMalformed
                                        : result_code::kDraining;
    refusal.reason = "the session is being closed";
    refusal.close = true;
    Log(log_level::kInfo, log_part::kSession,
        "statement {} refused with {}: it arrived as its session was closed",
        statement == nullptr ? "?" : statement->id, InfoOf(refusal.code).name);
    from.connection->Write(platform::EncodeAnswer(refusal, false));
  }
}

void caller_server::SweepSilent() {
  const time_point now = BootNow();
  std::vector<interactive::session_id> silent;
  for (const auto& [session, each] : callers_) {
    if (!each.started && now - each.connected > kStartLimit) {
      silent.push_back(session);
    }
  }
  for (const interactive::session_id session : silent) {
    callers_.at(session).connection->Close();
    OnClosed(session);
  }
  sweep_.expires_after(kSweepInterval);
  sweep_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      SweepSilent();
    }
  });
}

}  // namespace tarragondale::runtime
