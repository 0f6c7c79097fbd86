// Rates of organisations: admits, delays or refuses an operation.
//
// Load pattern: an organisation sends slightly more than its tokens for moments
// at a time. Refused callers would come back and often give the operation up,
// although its token comes within a fraction of the time that it may take.
#include <algorithm>

#include "src/interactive/broker_implementation.h"

namespace tarragondale::interactive {
namespace {

// Part of a route's latency goal for which an operation may wait for its token.
// The rest is left for queues, the network and the member.
constexpr double kPacedPart = 0.15;
// Bounds memory; the expected wait usually bounds the number before.
constexpr size_t kMaxPaced = 256;
constexpr duration kPacedSweepInterval = milliseconds(20);

duration Part(milliseconds of, double part) {
  return std::chrono::duration_cast<duration>(of * part);
}

}  // namespace

// Takes a token for an operation outside a transaction, or for a begin. Returns
// false if the statement was refused or waits in `of.paced`.
bool session_broker::implementation::TakeRateToken(
    session& of,
    time_point arrived,
    const caller_statement& statement) {
  const auto found = rates_.find(of.organisation);
  if (std::exchange(of.has_token, false) || found == rates_.end() ||
      configuration_->organisations.at(of.organisation).rate <= 0) {
    return true;
  }
  const auto queue = paced_.find(of.organisation);
  const size_t ahead = queue == paced_.end() ? 0 : queue->second.size();
  found->second.CountDemand(now_);
  if (ahead == 0 && found->second.TryAgain(now_)) {
    return true;
  }
  const route& settings = *RouteOf(of);
  const time_point until =
      arrived + std::min(Part(settings.latency_goal, kPacedPart),
                         Part(settings.statement_timeout,
                              options_.queue_timeout_fraction));
  if (ahead >= kMaxPaced ||
      now_ + found->second.ExpectedWait(now_, ahead) > until) {
    RefuseRate(of, statement.id);
    return false;
  }
  ++metrics_.rate_paced;
  of.paced = paced_statement{arrived, until, statement};
  paced_[of.organisation].push_back(of.id);
  next_sweep_ = std::min(next_sweep_, now_ + kPacedSweepInterval);
  return false;
}

void session_broker::implementation::RefuseRate(session& of,
                                                const std::string& id) {
  ++metrics_.rate_refused;
  const auto queue = paced_.find(of.organisation);
  const auto rate = rates_.find(of.organisation);
  const duration retry =
      rate == rates_.end()
          ? duration(0)
          : rate->second.RetryAfter(
                now_, queue == paced_.end() ? 0 : queue->second.size());
  Refuse(of, id, result_code::kRateExceeded,
         fmt::format("organisation {} exceeded its rate; retry after {} ms",
                     of.organisation, ToMs(retry)));
}

// Starts the statements whose token has come, and refuses those that have
// waited for too long.
void session_broker::implementation::SweepPaced() {
  std::vector<std::string> organisations;
  for (const auto& [name, queue] : paced_) {
    organisations.push_back(name);
  }
  for (const std::string& name : organisations) {
    // `ResumePaced` may add to the queue.
    for (size_t left = paced_[name].size(); left > 0; --left) {
      if (!ResumePaced(paced_[name].front(), name)) {
        break;
      }
    }
    if (paced_[name].empty()) {
      paced_.erase(name);
    }
  }
}

// Handles the first session in the queue and removes it. Returns false if its
// statement has to wait further.
bool session_broker::implementation::ResumePaced(
    session_id id,
    std::string_view organisation) {
  const auto remove = [&] { paced_.find(organisation)->second.pop_front(); };
  const auto found = sessions_.find(id);
  if (found == sessions_.end() || !found->second.paced) {
    remove();
    return true;
  }
  session& of = found->second;
  const auto rate = rates_.find(organisation);
  const bool limited =
      rate != rates_.end() &&
      configuration_->organisations.find(organisation)->second.rate > 0;
  of.has_token = !limited || rate->second.TryAgain(now_);
  if (!of.has_token && now_ < of.paced->until) {
    return false;
  }
  remove();
  const paced_statement waited = std::move(*of.paced);
  of.paced.reset();
  if (of.has_token) {
    Handle(of, waited.arrived, waited.statement);
  } else {
    RefuseRate(of, waited.statement.id);
  }
  // Not for another statement, if this one needed no token any more.
  if (const auto after = sessions_.find(id); after != sessions_.end()) {
    after->second.has_token = false;
    StartNext(after->second);
  }
  return true;
}

}  // namespace tarragondale::interactive
