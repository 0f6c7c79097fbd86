// Requests at all VMs.
#include "review/standin-2/play.h"

#include <string>
#include <vector>

namespace tarragondale::review {
namespace {

constexpr milliseconds kBetween(250);

struct counts {
  int sent = 0;
  int served = 0;
  int refused = 0;  ///< Answered with an error.
};

void Count(const std::vector<std::string>& answer, counts& into) {
  const bool done =
      answer.size() > 1 && answer[answer.size() - 2].starts_with("DONE sig-");
  ++into.sent;
  into.served += done ? 1 : 0;
  into.refused += !answer.empty() && answer.front().starts_with("ERR ") ? 1 : 0;
}

// Sends a write and two reads at one VM.
void SendRequests(const vm& to, record& log, counts& into) {
  for (const char* database : {kOrders, kDrawings}) {
    line_socket session = line_socket::Connect(to.front());
    if (!session.open() || !StartSession(session, database, kKey)) {
      continue;
    }
    if (database == kOrders) {
      Count(Query(session, NewId(), "WRITE order 1"), into);
    }
    const auto answer = Query(session, NewId(), "READ order");
    Count(answer, into);
    log.Add("VM " + to.name() + ", " + database + ": " +
            (answer.empty() ? "no answer" : answer.front()));
  }
}

}  // namespace

int PlayRequests(deployment& at, record& log, milliseconds span) {
  counts all;
  const auto end = std::chrono::steady_clock::now() + span;
  while (std::chrono::steady_clock::now() < end) {
    for (const auto& each : at.vms()) {
      if (!each->Lives()) {
        return 2;
      }
      SendRequests(*each, log, all);
    }
    Pause(kBetween);
  }
  log.Add(std::to_string(all.sent) + " requests sent, " +
          std::to_string(all.served) + " served, " +
          std::to_string(all.refused) + " refused");
  if (all.sent == 0) {
    return 2;
  }
  return all.served == 0 ? 1 : 0;
}

}  // namespace tarragondale::review
