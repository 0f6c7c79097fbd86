// Events and messages of sessions that cross VMs.
#include "src/runtime/line/hosting_duty.h"

#include "src/runtime/line/boot_clock.h"
#include "src/runtime/line/fleet_exchange.h"
#include "src/runtime/line/log_output.h"

namespace tarragondale::runtime {

using interactive::session_id;

namespace {

constexpr duration kHostTickInterval = seconds(1);
// A link between two VMs comes up within milliseconds.
constexpr duration kResendInterval = milliseconds(20);
// By then the entry has given its statement up.
constexpr duration kOutboxLifetime = seconds(3);

}  // namespace

void hosting_duty::OnCaller(interactive::event event) {
  const time_point now = BootNow();
  bool taken = false;
  if (const auto* opened = std::get_if<interactive::caller_opened>(&event)) {
    taken = forwarder_.Open(now, *opened);
  } else if (const auto* sent = std::get_if<interactive::caller_sent>(&event)) {
    taken = forwarder_.Send(now, *sent);
  } else if (const auto* closed =
                 std::get_if<interactive::caller_closed>(&event)) {
    taken = forwarder_.Close(closed->session);
  }
  if (!taken) {
    return handlers_.broker(std::move(event));
  }
  Flush();
}

void hosting_duty::OnMessage(const std::string& vm,
                             const wire::message_body& body) {
  Deliver(vm, body);
  Flush();
}

void hosting_duty::OnTimer(time_point now) {
  SendOutbox();
  forwarder_.OnTick(now);
  if (now >= next_host_tick_) {
    next_host_tick_ = now + kHostTickInterval;
    for (interactive::event& event : host_.OnTick(now)) {
      Account(event);
      handlers_.broker(std::move(event));
    }
  }
  Flush();
}

void hosting_duty::SetFleet(
    const std::vector<leadership::vm_registration>& vms) {
  forwarder_.SetFleet(PlannedVms(vms));
}

void hosting_duty::StartDrain(time_point now) {
  forwarder_.StartDrain(now);
  draining_ = true;
  host_.SetOpen(false);
}

bool hosting_duty::TakeAnswer(const interactive::answer_caller& action) {
  const bool taken = host_.OnAnswer(action);
  if (taken) {
    budget_.FinishStatement(action.session);
    budget_.SetKept(action.session, action.kept_bytes);
    handlers_.held();
  }
  Flush();
  return taken;
}

bool hosting_duty::TakeClose(interactive::session_id session) {
  const bool taken = host_.OnClose(session);
  if (taken) {
    budget_.Close(session);
  }
  Flush();
  return taken;
}

void hosting_duty::ReturnSession(session_id session) {
  host_.OnReturn(BootNow(), session);
  budget_.Close(session);
  Flush();
}

void hosting_duty::EndHosted(session_id session) {
  if (TakeClose(session)) {
    handlers_.broker(interactive::caller_closed{session});
  }
}

// Counts what an event of a hosted session adds. The entry VM counts the
// session's bytes too, as they are held there as well.
void hosting_duty::Account(const interactive::event& event) {
  if (const auto* opened = std::get_if<interactive::session_hosted>(&event)) {
    size_t kept = 0;
    for (const wire::named_value& each : opened->values) {
      kept += each.name.size() + each.value.size();
    }
    for (const wire::prepared_shape& each : opened->prepared) {
      kept += each.name.size() + each.shape.size();
    }
    budget_.Open(opened->session);
    budget_.SetKept(opened->session, kept);
  } else if (const auto* sent = std::get_if<interactive::caller_sent>(&event)) {
    budget_.AddStatement(sent->session, StatementBytes(sent->statement));
  } else if (const auto* closed =
                 std::get_if<interactive::caller_closed>(&event)) {
    return budget_.Close(closed->session);
  } else {
    return;
  }
  handlers_.held();
}

void hosting_duty::Deliver(const std::string& vm,
                           const wire::message_body& body) {
  const time_point now = BootNow();
  for (interactive::event& event : host_.OnMessage(now, vm, body)) {
    Account(event);
    handlers_.broker(std::move(event));
  }
  forwarder_.OnMessage(now, vm, body);
}

void hosting_duty::Send(const hosting::send_message& message) {
  if (message.vm == self_) {
    own_.push_back(message.body);
  } else if (!handlers_.send(message.vm, message.body)) {
    forwarder_.OnSendFailed(BootNow(), message);
  }
}

// An answer must not be lost because it is the first message to its entry.
void hosting_duty::Answer(const hosting::send_message& message) {
  if (message.vm == self_) {
    own_.push_back(message.body);
    return;
  }
  const auto waiting = outbox_.find(message.vm);
  if (waiting != outbox_.end() || !handlers_.send(message.vm, message.body)) {
    outbox_[message.vm].push_back({message.body, BootNow()});
  }
}

void hosting_duty::SendOutbox() {
  const time_point now = BootNow();
  for (auto next = outbox_.begin(); next != outbox_.end();) {
    auto& [vm, waiting] = *next;
    while (!waiting.empty() && (now - waiting.front().since > kOutboxLifetime ||
                                handlers_.send(vm, waiting.front().body))) {
      waiting.pop_front();
    }
    next = waiting.empty() ? outbox_.erase(next) : std::next(next);
  }
}

std::optional<time_point> hosting_duty::NextDeadline() const {
  if (!outbox_.empty()) {
    return BootNow() + kResendInterval;
  }
  return forwarder_.NextDeadline();
}

// Actions and messages lead to others; those are done by the outermost call.
void hosting_duty::Flush() {
  if (std::exchange(flushing_, true)) {
    return;
  }
  for (bool idle = false; !idle;) {
    idle = true;
    for (const hosting::action& action : forwarder_.TakeActions()) {
      idle = false;
      if (const auto* answer =
              std::get_if<interactive::answer_caller>(&action)) {
        handlers_.answer(*answer);
      } else if (const auto* accept =
                     std::get_if<interactive::accept_caller>(&action)) {
        handlers_.accept(*accept);
      } else if (const auto* close =
                     std::get_if<interactive::close_caller>(&action)) {
        handlers_.close(close->session);
      } else if (const auto* note =
                     std::get_if<interactive::log_message>(&action)) {
        Log(note->level, log_part::kSession, "{}", note->text);
      } else if (const auto* message =
                     std::get_if<hosting::send_message>(&action)) {
        Send(*message);
      }
    }
    for (const hosting::send_message& message : host_.TakeMessages()) {
      idle = false;
      Answer(message);
    }
    if (!own_.empty()) {
      idle = false;
      const wire::message_body body = std::move(own_.front());
      own_.pop_front();
      Deliver(self_, body);
    }
  }
  flushing_ = false;
}

}  // namespace tarragondale::runtime
