// Selects a member and a link for each waiting statement.
#include <algorithm>

#include "src/interactive/broker_implementation.h"

namespace tarragondale::interactive {
namespace {

using step = member_statement::step;

// How long a replica that answered `kLagging` is not tried again, unless it has
// reported since that it applied the required position.
constexpr duration kLaggingPause = milliseconds(150);
// Expected time to open a connection to a member, besides two round trips.
constexpr duration kHandshakeCost = milliseconds(12);

}  // namespace

void session_broker::implementation::DispatchWaiting() {
  dispatch_needed_ = false;
  std::vector<session_id> order;
  order.reserve(waiting_.size());
  for (const waiting_key& key : waiting_) {
    order.push_back(std::get<session_id>(key));
  }
  for (const session_id id : order) {
    const auto found = sessions_.find(id);
    if (found != sessions_.end() && found->second.current &&
        found->second.current->link == 0) {
      TryDispatch(found->second);
    }
  }
}

bool session_broker::implementation::TryDispatch(session& of) {
  active_statement& queued = *of.current;
  if (now_ < queued.not_before) {
    return false;
  }
  if (of.open && of.open->link != 0) {
    link* const on = pool_.FindLink(of.open->link);
    if (on == nullptr || !on->awaited.empty()) {
      return false;
    }
    if (!of.open->read_only && !OnLeasedPrimary(of, *on)) {
      FailLink(on->id, "this VM's lease to use the primary ended");
      return false;
    }
    if (FailMisplacedTransaction(of, *on)) {
      return false;
    }
    if (!IsReadyOn(of, *on)) {
      const member& by = *pool_.Find(on->member);
      if (on->awaited.empty() && IsAllowanceTooLate(of, by)) {
        RefuseCold(of, by);
      }
      return false;
    }
    Dequeue(of);
    SendStatement(of, *on, std::nullopt);
    return true;
  }
  if (GiveUpIfOutOfReach(of)) {
    return false;
  }
  std::vector<candidate> candidates = Candidates(of);
  if (candidates.empty()) {
    if (!RefuseMisplaced(of)) {
      RefuseIfEvacuated(of);
    }
    return false;
  }
  std::stable_sort(
      candidates.begin(), candidates.end(),
      [](const candidate& a, const candidate& b) { return a.cost < b.cost; });
  for (const candidate& each : candidates) {
    if (!pool_.Admits(*each.to, now_)) {
      queued.last_reason = fmt::format("member {} is busy", each.to->record.id);
      continue;
    }
    if (IsCold(*each.to)) {
      if (TryCold(of, each)) {
        return true;
      }
      continue;
    }
    if (UseCandidate(of, each)) {
      return true;
    }
    // The cost already includes the opening of a link, so a new link to this
    // member is preferred to an idle link to the next candidate.
    if (queued.opening_link == 0) {
      OpenLinkFor(of, *each.to);
    }
    const link* const opening_link = queued.opening_link == 0
                                         ? nullptr
                                         : pool_.PeekLink(queued.opening_link);
    if (opening_link != nullptr && opening_link->member == each.to->record.id) {
      return false;
    }
  }
  // Only the primary can run it, which is then the only candidate.
  if (queued.primary_only && IsAllowanceTooLate(of, *candidates.front().to)) {
    RefuseCold(of, *candidates.front().to);
  }
  return false;
}

std::vector<session_broker::implementation::candidate>
session_broker::implementation::Candidates(session& of) {
  std::vector<candidate> found;
  active_statement& queued = *of.current;
  const primary_lease* const lease = ValidLease(queued.settings.group);
  if (lease != nullptr && !lease->closing) {
    member* const primary = pool_.Find(lease->member);
    if (primary != nullptr &&
        !(primary->unavailable_since &&
          now_ - *primary->unavailable_since > options_.member_drain_timeout)) {
      const duration extra =
          queued.primary_only ? duration(0) : options_.primary_penalty;
      found.push_back(
          {primary, true, std::nullopt, CostOf(of, *primary) + extra});
    } else {
      queued.last_reason = "the primary is draining or has left the directory";
    }
  } else {
    queued.last_reason = lease == nullptr
                             ? "this VM holds no lease to use a primary"
                             : "the primary is being replaced";
  }
  if (!queued.primary_only) {
    AddReplicas(of, found);
  }
  ExcludeEvacuated(of, found);
  EraseMisplaced(of, found);
  return found;
}

void session_broker::implementation::AddReplicas(session& of,
                                                 std::vector<candidate>& to) {
  active_statement& queued = *of.current;
  const route& settings = queued.settings;
  const auto history = positions_.find(settings.group);
  const auto covering =
      history == positions_.end()
          ? std::nullopt
          : history->second.Covering(queued.arrived - settings.max_staleness +
                                     options_.staleness_margin);
  if (!covering) {
    queued.last_reason =
        "no known log position of the primary is recent enough";
    return;
  }
  log_position minimum = *covering;
  if (settings.reads == freshness::kReadYourWrites) {
    minimum = std::max(minimum, of.written);
  }
  for (const std::string& id : pool_.OfGroup(settings.group)) {
    member& each = *pool_.Find(id);
    const bool excluded =
        std::find(queued.excluded.begin(), queued.excluded.end(), id) !=
        queued.excluded.end();
    if (IsPrimary(each) || excluded || !each.listed || each.record.draining) {
      continue;
    }
    const bool behind = each.lagging_at &&
                        now_ - *each.lagging_at < kLaggingPause &&
                        (!each.applied || *each.applied < minimum);
    if (behind) {
      queued.last_reason = "the replicas lag behind the primary";
      continue;
    }
    to.push_back({&each, false, minimum, CostOf(of, each)});
  }
}

const primary_lease* session_broker::implementation::ValidLease(
    std::string_view group) const {
  const auto found = primary_leases_.find(group);
  if (found == primary_leases_.end() || found->second.member.empty() ||
      now_ >= found->second.until) {
    return nullptr;
  }
  return &found->second;
}

// Expected response time plus the penalty for traffic to other zones and
// regions. The response time consists of the round trip, the service time, the
// queue of this VM's own statements at the member, and the opening of a link if
// the organisation has no idle one.
duration session_broker::implementation::CostOf(const session& of,
                                                const member& to) const {
  const member_load& load = pool_.LoadOf(to);
  duration cost = pool_.RoundTrip(to) + pool_.TransferPenalty(to);
  if (options_.capacity == member_capacity::kLearned) {
    cost += ExpectedAtMember(of, to);
  } else {
    cost += to.service_time +
            to.service_time * load.awaiting / std::max(1, to.record.slots);
  }
  if (!load.HasIdle(of.organisation)) {
    cost += 2 * pool_.RoundTrip(to) + kHandshakeCost + LongestOpening(to);
  }
  return cost;
}

// How long the oldest pending connection attempt to the member has been
// running; 0 if there is none. Added to the member's cost if a new connection
// is needed, so that a member that does not respond eventually ranks last.
duration session_broker::implementation::LongestOpening(
    const member& to) const {
  const std::optional<time_point> since = pool_.LoadOf(to).opening_since;
  return since ? std::chrono::duration_cast<duration>(now_ - *since)
               : duration(0);
}

bool session_broker::implementation::UseCandidate(session& of,
                                                  const candidate& chosen) {
  link* const on = pool_.FindIdle(*chosen.to, of.organisation, of);
  if (on == nullptr) {
    return false;
  }
  AssignLink(of, *on, chosen);
  return true;
}

// Opens a link for the waiting statement of a session. If this VM's link quota
// for the member is exhausted, the link replaces an idle one of another
// organisation. Does nothing if there is no such link, or during a backoff.
void session_broker::implementation::OpenLinkFor(session& of, member& to) {
  if (now_ < to.retry_at || now_ < to.connection_cap_retry_at) {
    return;
  }
  if (to.links.size() >= LinkQuotaOf(to)) {
    const link* const oldest = pool_.FindReplaceable(to, of.organisation);
    if (oldest == nullptr) {
      return;
    }
    CloseLink(oldest->id);
  }
  link& opened = pool_.AddLink(to, of.organisation, now_);
  of.current->opening_link = opened.id;
  ++metrics_.links_opened;
  actions_.push_back(open_link{opened.id, to.record.id, to.record.address,
                               to.record.group, of.organisation,
                               options_.connect_timeout});
}

size_t session_broker::implementation::LinkQuotaOf(const member& of) const {
  const auto limits = configuration_->groups.find(of.record.group);
  const int cap =
      limits == configuration_->groups.end() ? 1 : limits->second.connections;
  return pool_.LinkQuota(of, cap, IsPrimary(of));
}

bool session_broker::implementation::IsPrimary(const member& of) const {
  const auto lease = primary_leases_.find(of.record.group);
  return lease != primary_leases_.end() && lease->second.member == of.record.id;
}

void session_broker::implementation::AssignLink(session& of,
                                                link& on,
                                                const candidate& chosen) {
  Dequeue(of);
  on.owner = of.id;
  pool_.Touch(on);
  of.current->opening_link = 0;
  of.current->as_primary = chosen.as_primary;
  ++of.current->attempts;
  if (!of.open) {
    return SendStatement(of, on, chosen.minimum);
  }
  std::vector<member_statement> statements =
      Synchronise(on, of, nullptr, options_.max_prepared);
  statements.push_back(
      {.what = of.open->read_only ? step::kBeginReadOnly : step::kBegin,
       .minimum = chosen.minimum});
  of.current->link = on.id;
  of.current->sent = now_;
  Send(on, std::move(statements));
}

// Sends the current statement, preceded by the statements that apply the
// session state to the link. A link with an open transaction is never reset.
void session_broker::implementation::SendStatement(
    session& of,
    link& on,
    std::optional<log_position> minimum) {
  active_statement& outgoing = *of.current;
  const bool execute = outgoing.statement.kind == statement_kind::kExecute;
  const prepared_statement* const needed =
      execute ? &of.prepared.at(outgoing.statement.name) : nullptr;
  std::vector<member_statement> statements =
      Synchronise(on, of, needed, on.begun ? SIZE_MAX : options_.max_prepared);
  member_statement run{.what = step::kRun,
                       .id = outgoing.statement.id,
                       .text = outgoing.statement.text,
                       .argument = outgoing.statement.argument,
                       .minimum = minimum};
  if (execute) {
    run.what = step::kExecute;
    run.name = PreparedName(*needed);
  } else if (outgoing.statement.kind == statement_kind::kCommit) {
    run.what = step::kCommit;
  }
  statements.push_back(std::move(run));
  outgoing.link = on.id;
  outgoing.sent = now_;
  if (of.open) {
    of.open->last_used = now_;
  }
  const int ahead = pool_.Running(*pool_.Find(on.member));
  Send(on, std::move(statements));
  on.awaited.back().ahead = ahead;
}

void session_broker::implementation::Send(
    link& on,
    std::vector<member_statement> statements) {
  if (statements.empty()) {
    return;
  }
  CountColdStatements(on, statements.size());
  for (const member_statement& each : statements) {
    on.awaited.push_back({each.what, now_});
  }
  on.last_used = now_;
  pool_.Touch(on);
  if (!actions_.empty()) {
    // Consecutive statements for a link are sent in one write.
    auto* const last = std::get_if<send_link>(&actions_.back());
    if (last != nullptr && last->link == on.id) {
      std::move(statements.begin(), statements.end(),
                std::back_inserter(last->statements));
      return;
    }
  }
  actions_.push_back(send_link{on.id, std::move(statements)});
}

}  // namespace tarragondale::interactive
