// Host side of hosting: keeps the sessions of callers that are connected to
// other VMs.
#include <algorithm>
#include <iterator>

#include "tarragondale/hosting.h"

namespace tarragondale::hosting {

using interactive::session_id;

session_host::hosted* session_host::Find(const std::string& vm,
                                         const wire::hosting_id& id) {
  const auto found = ids_.find(KeyOf(vm, id));
  if (found == ids_.end()) {
    return nullptr;
  }
  hosted& of = sessions_.at(found->second);
  return of.attach_epoch == id.attach_epoch ? &of : nullptr;
}

void session_host::SendToEntry(const hosted& of, wire::message_body body) {
  messages_.push_back({of.entry.vm, std::move(body)});
}

void session_host::Forget(session_id id) {
  const auto found = sessions_.find(id);
  if (found != sessions_.end()) {
    ids_.erase(found->second.entry);
    sessions_.erase(found);
  }
}

std::vector<interactive::event> session_host::OnMessage(
    time_point now,
    const std::string& vm,
    const wire::message_body& body) {
  std::vector<interactive::event> events;
  const auto end = [&](const key& of) {
    const auto known = ids_.find(of);
    if (known != ids_.end()) {
      const session_id id = known->second;
      events.emplace_back(interactive::caller_closed{id});
      Forget(id);
    }
  };
  // Reports that this process does not have or does not accept the session, or
  // rejects a malformed statement. An earlier process on this VM may have had
  // the session, so only the statement `sequence` (0: none) is known not to
  // have run.
  const auto refuse = [&](const wire::hosting_id& id, uint64_t sequence) {
    messages_.push_back(
        {vm, wire::hosted_ended{id, false, 0, sequence, closed_}});
  };
  const auto* open = std::get_if<wire::hosted_open>(&body);
  const auto* const restricted = std::get_if<wire::restricted_open>(&body);
  if (restricted != nullptr) {
    open = &restricted->open;
  }
  if (open != nullptr) {
    const key entry = KeyOf(vm, open->id);
    const auto known = ids_.find(entry);
    if (known != ids_.end() &&
        sessions_.at(known->second).attach_epoch >= open->id.attach_epoch) {
      return events;  // A duplicate or outdated message.
    }
    end(entry);  // Ends an earlier attachment of the session.
    if (closed_ && vm != self_) {
      refuse(open->id, 0);
      return events;
    }
    const session_id id = ++last_;
    ids_[entry] = id;
    sessions_[id] = {entry, open->id.attach_epoch, 0, 0, now};
    interactive::session_hosted hosted{
        id,           open->database, open->organisation,
        open->values, open->prepared, open->written};
    const auto returned = returned_.find(entry);
    if (returned != returned_.end()) {
      hosted.may_return_after = std::max<duration>(
          duration(0), std::chrono::duration_cast<duration>(
                           returned->second + kReturnMemory - now));
    }
    if (restricted != nullptr) {
      hosted.route_regions = {restricted->route_regions.begin(),
                              restricted->route_regions.end()};
      hosted.organisation_regions = {restricted->organisation_regions.begin(),
                                     restricted->organisation_regions.end()};
    }
    events.emplace_back(std::move(hosted));
  } else if (const auto* sent = std::get_if<wire::hosted_statement>(&body)) {
    hosted* const of = Find(vm, sent->id);
    const bool valid =
        sent->kind >= 0 &&
        sent->kind <=
            static_cast<int64_t>(interactive::statement_kind::kMalformed);
    if (of == nullptr || !valid) {
      refuse(sent->id, sent->sequence);
      return events;
    }
    if (sent->sequence <= of->handled) {
      return events;  // A duplicate message.
    }
    if (sent->sequence != of->handled + 1) {
      const key entry = of->entry;  // `end` deletes `*of`.
      SendToEntry(*of,
                  wire::hosted_ended{sent->id, true, of->handled, 0, closed_});
      end(entry);
      return events;
    }
    of->handled = sent->sequence;
    of->last_used = now;
    events.emplace_back(interactive::caller_sent{
        ids_.at(of->entry),
        {sent->statement, static_cast<interactive::statement_kind>(sent->kind),
         sent->text, sent->name, sent->argument, sent->writes}});
  } else if (const auto* closed = std::get_if<wire::hosted_close>(&body)) {
    if (Find(vm, closed->id) != nullptr) {
      end(KeyOf(vm, closed->id));
    }
  } else if (const auto* check = std::get_if<wire::host_check>(&body)) {
    if (Find(vm, check->id) != nullptr) {
      messages_.push_back({vm, wire::host_alive{check->id}});
    } else {
      refuse(check->id, 0);
    }
  }
  return events;
}

bool session_host::OnAnswer(const interactive::answer_caller& answer) {
  const auto found = sessions_.find(answer.session);
  if (found == sessions_.end()) {
    return answer.session >= kFirstId;
  }
  hosted& of = found->second;
  ++of.answered;
  SendToEntry(
      of, wire::hosted_answer{IdOf(of), of.answered, answer.code, answer.reason,
                              answer.rows, answer.signature,
                              static_cast<int64_t>(answer.state),
                              answer.position, answer.close});
  return true;
}

bool session_host::OnClose(session_id session) {
  const auto found = sessions_.find(session);
  if (found != sessions_.end()) {
    const hosted& of = found->second;
    SendToEntry(of, wire::hosted_ended{IdOf(of), true, of.handled, 0, closed_});
    Forget(session);
  }
  return session >= kFirstId;
}

void session_host::OnReturn(time_point now, session_id session) {
  const auto found = sessions_.find(session);
  if (found == sessions_.end()) {
    return;
  }
  const hosted& of = found->second;
  SendToEntry(of, wire::hosted_ended{IdOf(of), true, of.answered,
                                     of.answered + 1, closed_});
  returned_[of.entry] = now;
  Forget(session);
}

std::vector<interactive::event> session_host::OnTick(time_point now) {
  std::erase_if(returned_, [&](const auto& each) {
    return now - each.second > kReturnMemory;
  });
  std::vector<session_id> idle;
  for (const auto& [id, of] : sessions_) {
    if (now - of.last_used > kIdleLimit) {
      idle.push_back(id);
    }
  }
  std::vector<interactive::event> events;
  for (const session_id id : idle) {
    OnClose(id);
    events.emplace_back(interactive::caller_closed{id});
  }
  return events;
}

}  // namespace tarragondale::hosting
