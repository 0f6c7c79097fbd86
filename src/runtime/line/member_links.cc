// Links to members by line connections.
#include "src/runtime/line/member_links.h"

#include <utility>

#include "tarragondale/base/endpoint.h"

namespace tarragondale::runtime {
namespace {

// Rows of one answer; bounds memory.
constexpr size_t kMaxAnswerBytes = 4U << 20;

}  // namespace

void member_links::Open(const interactive::open_link& command) {
  link& opened = links_[command.link];
  opened.connection =
      std::make_shared<line_connection>(boost::asio::ip::tcp::socket(context_));
  const interactive::link_id id = command.link;
  opened.connection->SetHandlers(
      {.line = [this, id](const std::string& line) { OnLine(id, line); },
       .closed = [this, id](const std::string& reason) { Fail(id, reason); }});
  opened.connection->Connect(
      ParseEndpoint(command.address).value_or(boost::asio::ip::tcp::endpoint()),
      platform::EncodeStart(command.group, command.organisation,
                            command.member),
      command.limit);
}

void member_links::Send(const interactive::send_link& command) {
  const auto found = links_.find(command.link);
  if (found != links_.end()) {
    found->second.connection->Write(
        platform::EncodeStatements(command.statements));
  }
}

void member_links::Close(interactive::link_id id) {
  const auto found = links_.find(id);
  if (found != links_.end()) {
    // What was written before must still arrive, a rollback for example.
    found->second.connection->CloseAfterWrites();
    links_.erase(found);
  }
}

void member_links::OnLine(interactive::link_id id, const std::string& line) {
  const auto found = links_.find(id);
  if (found == links_.end()) {
    return;
  }
  link& from = found->second;
  auto message = from.reader.Take(line);
  if (!message) {
    if (from.reader.pending_bytes() > kMaxAnswerBytes) {
      Fail(id, "an answer is too large");
    }
    return;
  }
  if (const auto* opened =
          std::get_if<platform::member_reader::opened>(&*message)) {
    from.open = true;
    from.connection->Established();
    on_event_(interactive::link_opened{id, opened->position});
  } else if (const auto* refused =
                 std::get_if<platform::member_reader::refused>(&*message)) {
    from.connection->Close();
    links_.erase(found);
    on_event_(interactive::link_refused{id, refused->code});
  } else if (auto* answer =
                 std::get_if<interactive::member_answer>(&*message)) {
    on_event_(interactive::link_answered{id, std::move(*answer)});
  } else {
    Fail(id, "a line of the member does not decode");
  }
}

void member_links::Fail(interactive::link_id id, const std::string& reason) {
  const auto found = links_.find(id);
  if (found == links_.end()) {
    return;
  }
  const bool open = found->second.open;
  found->second.connection->Close();
  links_.erase(found);
  on_event_(interactive::link_lost{id, open, reason});
}

}  // namespace tarragondale::runtime
