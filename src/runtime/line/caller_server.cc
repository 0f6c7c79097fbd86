// Connections of callers.
#include "src/runtime/line/caller_server.h"

#include <utility>
#include <vector>

#include "src/runtime/line/boot_clock.h"
#include "src/runtime/line/log_output.h"
#include "tarragondale/hosting.h"

namespace tarragondale::runtime {

namespace net = boost::asio;
using net::ip::tcp;

namespace {

// A connection that names no database within this time is closed.
constexpr duration kStartLimit = seconds(5);
constexpr duration kSweepInterval = seconds(2);
constexpr duration kAcceptPause = milliseconds(50);
constexpr int kBacklog = 1024;
constexpr duration kNoteInterval = seconds(1);

}  // namespace

caller_server::caller_server(net::io_context& context,
                             input_budget& budget,
                             handlers handlers)
    : context_(context),
      budget_(budget),
      handlers_(std::move(handlers)),
      listener_(context,
                log_part::kSession,
                kAcceptPause,
                [this](tcp::socket socket) { Add(std::move(socket)); }),
      sweep_(context) {}

status caller_server::Listen(const std::string& address) {
  listener_.SetBuffers(kCallerReceiveBuffer, kCallerSendBuffer);
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

// Closes the oldest connection without a session if there are too many. If all
// have one, refuses the new connection and returns false.
bool caller_server::MakeRoom(tcp::socket& refused) {
  if (connections() < max_connections_) {
    return true;
  }
  if (!silent_.empty()) {
    End(*silent_.begin(), limit::kConnections);
    return true;
  }
  interactive::answer_caller answer;
  answer.code = result_code::kTooManyConnections;
  answer.reason = "this VM has no room for another connection";
  boost::system::error_code ignored;
  refused.non_blocking(true, ignored);
  refused.write_some(net::buffer(platform::EncodeAnswer(answer, true)),
                     ignored);
  budget_.Count(limit::kConnections);
  Note(limit::kConnections, "a new connection is refused");
  return false;
}

void caller_server::Add(tcp::socket socket) {
  if (!MakeRoom(socket)) {
    return;
  }
  const interactive::session_id session = ++last_;
  caller& added = callers_[session];
  budget_.Open(session);
  silent_.insert(session);
  added.connection = std::make_shared<line_connection>(std::move(socket));
  added.connection->OnClose([this, session] {
    budget_.Close(session);
    ending_.erase(session);
  });
  added.connected = BootNow();
  added.connection->SetHandlers(
      {.line = [this,
                session](const std::string& line) { OnLine(session, line); },
       .closed = [this, session](const std::string&) { OnClosed(session); },
       .unread = [this, session](
                     size_t bytes,
                     bool completed) { OnUnread(session, bytes, completed); },
       .written = [this, session] { OnWritten(session); }});
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
    silent_.erase(session);
    handlers_.event(interactive::caller_opened{
        session, std::move(start->database), std::move(start->key)});
  } else if (auto* const statement =
                 std::get_if<interactive::caller_statement>(&decoded)) {
    if (!from.accepted) {
      return Reject(session, result_code::kStatementMalformed);
    }
    AddStatement(session, from, std::move(*statement));
  } else if (std::holds_alternative<platform::session_end>(decoded)) {
    from.connection->Close();
    OnClosed(session);
  } else if (from.accepted) {
    AddStatement(session, from, {});
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
  silent_.erase(session);
  if (started) {
    handlers_.event(interactive::caller_closed{session});
  }
}

void caller_server::AddStatement(interactive::session_id session,
                                 caller& from,
                                 interactive::caller_statement statement) {
  ++from.unanswered;
  budget_.AddStatement(session, StatementBytes(statement));
  PauseOrResume(session, from);
  Relieve();
  // May end the session.
  handlers_.event(interactive::caller_sent{session, std::move(statement)});
}

void caller_server::OnUnread(interactive::session_id session,
                             size_t bytes,
                             bool completed) {
  budget_.SetUnread(BootNow(), session, bytes, completed);
  Relieve();
}

void caller_server::OnWritten(interactive::session_id session) {
  const auto found = callers_.find(session);
  if (found == callers_.end()) {
    return;
  }
  budget_.SetUnsent(BootNow(), session, found->second.connection->unsent(),
                    true);
  PauseOrResume(session, found->second);
}

void caller_server::PauseOrResume(interactive::session_id session, caller& of) {
  const bool pause = !budget_.MayRead(session);
  if (pause == of.paused) {
    return;
  }
  of.paused = pause;
  budget_.SetPaused(session, pause, of.connection->HasArrivedInput());
  if (pause) {
    of.connection->Pause();
  } else {
    budget_.Progress(BootNow(), session);
    of.connection->Resume();
  }
}

void caller_server::Relieve() {
  if (budget_.exceeded() && !std::exchange(relieves_, true)) {
    // Not from within a handler of the session that may end.
    net::post(context_, [this] { EndLargest(); });
  }
}

void caller_server::EndLargest() {
  relieves_ = false;
  while (const auto largest = budget_.Largest()) {
    End(*largest, limit::kMemory);
    budget_.Close(*largest);
  }
}

void caller_server::End(interactive::session_id session, limit reason) {
  budget_.Count(reason);
  Note(reason, fmt::format("session {} is ended, {} bytes held", session,
                           budget_.held(session)));
  if (session >= hosting::session_host::kFirstId) {
    return handlers_.end_hosted(session);
  }
  if (const auto found = callers_.find(session); found != callers_.end()) {
    // Its hook changes `ending_`, its removal `callers_`.
    const auto connection = found->second.connection;
    connection->Close();
    OnClosed(session);
  } else if (const auto ending = ending_.find(session);
             ending != ending_.end()) {
    if (const auto connection = ending->second.lock()) {
      connection->Close();
    }
  }
}

void caller_server::Note(limit reason, const std::string& text) {
  const time_point now = BootNow();
  time_point& next = next_note_[static_cast<size_t>(reason)];
  if (now < next) {
    return;
  }
  next = now + kNoteInterval;
  Log(log_level::kWarning, log_part::kSession,
      "limit {}: {}; {} so far, {} bytes held for callers.",
      input_budget::LimitName(reason), text, budget_.closed(reason),
      budget_.total());
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
  if (to.unanswered > 0) {
    --to.unanswered;
    budget_.FinishStatement(answer.session);
  }
  budget_.SetKept(answer.session, answer.kept_bytes);
  const auto connection = to.connection;
  connection->Write(platform::EncodeAnswer(answer, !to.accepted));
  if (const size_t unsent = connection->unsent(); unsent > 0) {
    budget_.SetUnsent(BootNow(), answer.session, unsent, false);
  }
  Relieve();
  if (!callers_.contains(answer.session)) {
    return;  // Writing failed.
  }
  PauseOrResume(answer.session, to);
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
  const auto connection = found->second.connection;
  ending_[session] = connection;
  silent_.erase(session);
  connection->CloseAfterWrites();
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
  for (const auto& [session, each] : callers_) {
    if (each.paused) {
      budget_.SetPaused(session, true, each.connection->HasArrivedInput());
    }
  }
  Relieve();
  for (const interactive::session_id session : silent) {
    callers_.at(session).connection->Close();
    OnClosed(session);
  }
  for (const auto& [session, reason] : budget_.Overdue(now)) {
    End(session, reason);
  }
  sweep_.expires_after(kSweepInterval);
  sweep_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      SweepSilent();
    }
  });
}

}  // namespace tarragondale::runtime
