// Sessions that cross VMs: joins the forwarder and the session host to callers,
// the session broker and the transport.
#ifndef TARRAGONDALE_SRC_RUNTIME_LINE_HOSTING_DUTY_H_
#define TARRAGONDALE_SRC_RUNTIME_LINE_HOSTING_DUTY_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "src/runtime/line/input_budget.h"
#include "tarragondale/config/settings.h"
#include "tarragondale/hosting.h"
#include "tarragondale/interactive.h"
#include "tarragondale/leadership.h"

namespace tarragondale::runtime {

/// @brief Used by the thread that runs the broker.
class hosting_duty {
 public:
  struct handlers {
    std::function<void(interactive::event)> broker;
    /// False if the message certainly did not leave.
    std::function<bool(const std::string& vm, const wire::message_body& body)>
        send;
    std::function<void(const interactive::accept_caller&)> accept;
    std::function<void(const interactive::answer_caller&)> answer;
    std::function<void(interactive::session_id)> close;
    /// More is held for hosted sessions.
    std::function<void()> held = [] {};
  };

  hosting_duty(const std::string& self,
               int64_t incarnation,
               hosting::forwarder_options options,
               input_budget& budget,
               handlers handlers)
      : self_(self),
        budget_(budget),
        handlers_(std::move(handlers)),
        forwarder_(self, incarnation, options),
        host_(self) {}

  // --- Events ---
  /// @brief Gives a caller's event to the host of its session, or to the
  /// broker.
  void OnCaller(interactive::event event);
  void OnMessage(const std::string& vm, const wire::message_body& body);
  void OnTimer(time_point now);
  void SetCatalogue(interactive::configuration_snapshot_ptr value) {
    host_.SetOpen(value != nullptr && !draining_);
    forwarder_.SetCatalogue(std::move(value));
  }
  void SetFleet(const std::vector<leadership::vm_registration>& vms);
  void SetOptions(const hosting::forwarder_options& options) {
    forwarder_.SetOptions(options);
  }
  void StartDrain(time_point now);
  /// @brief Ends a session that runs here for another VM's caller.
  void EndHosted(interactive::session_id session);

  // --- The broker's actions ---
  /// @brief False: the session is of a caller of this VM.
  bool TakeAnswer(const interactive::answer_caller& action);
  bool TakeClose(interactive::session_id session);
  void ReturnSession(interactive::session_id session);

  /// @brief Sessions of this VM's callers that other VMs run.
  size_t forwarded() const { return forwarder_.sessions(); }
  /// @brief Sessions of other VMs' callers that run here.
  size_t hosted() const { return host_.sessions(); }
  int vms_per_member() const { return forwarder_.plan().vms_per_member(); }
  interactive::cold_senders ColdSenders() const {
    return forwarder_.plan().ColdSenders();
  }
  /// @brief Times that a session left its host since its allowed regions
  /// changed.
  uint64_t moved_by_regions() const { return forwarder_.moved_by_regions(); }
  std::optional<time_point> NextDeadline() const;

 private:
  void Account(const interactive::event& event);
  void Flush();
  void SendOutbox();
  void Send(const hosting::send_message& message);
  void Answer(const hosting::send_message& message);
  void Deliver(const std::string& vm, const wire::message_body& body);

  const std::string self_;
  input_budget& budget_;
  const handlers handlers_;
  hosting::forwarder forwarder_;
  hosting::session_host host_;
  /// Messages of this VM to itself, delivered in turn.
  std::deque<wire::message_body> own_;
  /// Messages to entries whose links are not up yet, in order.
  struct waiting_message {
    wire::message_body body;
    time_point since;
  };
  std::map<std::string, std::deque<waiting_message>, std::less<>> outbox_;
  bool flushing_ = false;
  bool draining_ = false;
  time_point next_host_tick_;
};

}  // namespace tarragondale::runtime

#endif  // TARRAGONDALE_SRC_RUNTIME_LINE_HOSTING_DUTY_H_
