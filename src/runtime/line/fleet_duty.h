// This VM's part in the fleet: digests to and from other VMs, and the store's
// changes, from the store or from the relay that this VM follows.
#ifndef TARRAGONDALE_SRC_RUNTIME_LINE_FLEET_DUTY_H_
#define TARRAGONDALE_SRC_RUNTIME_LINE_FLEET_DUTY_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <vector>

#include "src/runtime/line/fleet_exchange.h"
#include "src/runtime/line/http_channel.h"
#include "src/runtime/line/store_mirror.h"
#include "src/runtime/line/store_view.h"
#include "src/runtime/peer_transport.h"
#include "tarragondale/base/ring.h"
#include "tarragondale/config/settings.h"
#include "tarragondale/interactive.h"
#include "tarragondale/leadership.h"
#include "tarragondale/relay.h"

namespace tarragondale::runtime {

/// @brief Joins the exchange of digests, the mirror of the store and the
/// transport between VMs. Belongs to the thread of `context`, but for the
/// transport's ring.
class fleet_duty {
 public:
  struct handlers {
    std::function<void(interactive::event)> broker;
    std::function<void(leadership::event)> primary_manager;
    std::function<void(interactive::configuration_snapshot_ptr)> configuration;
    /// Messages of other kinds.
    std::function<void(const std::string& vm, const wire::message_body& body)>
        other;
  };

  /// @param broker, primary_manager Read for digests; must outlive this object.
  fleet_duty(boost::asio::io_context& context,
             http_channel& store,
             const config::settings& settings,
             const interactive::session_broker& broker,
             const leadership::primary_manager& primary_manager,
             handlers handlers);

  status Start();
  void Stop();

  /// @brief Does what is due.
  void OnTimer(time_point now);
  time_point NextDeadline() const { return next_digest_; }

  /// @brief Sends a digest to all VMs that get one. Followers get an answer to
  /// each of their own, and others only if `to_followers`.
  void SendDigests(time_point now, bool to_followers = false);

  /// @brief The registered VMs changed.
  void SetFleet(const std::vector<leadership::vm_registration>& vms);
  void SetSeeds(std::vector<std::string> seeds) {
    exchange_.SetSeeds(std::move(seeds));
  }
  /// @brief The store is known to have reached this revision.
  void ExpectRevision(int64_t revision) { mirror_.Expect(revision); }
  /// @brief A call to the store, other than the watch, was answered or not.
  void OnStoreCall(bool answered);

  /// @brief Sends a message; false if it certainly did not leave.
  bool SendTo(const std::string& vm, wire::message_body body);

  const store_view& view() const { return view_; }
  /// @brief Revision of this VM's copy of the store.
  int64_t store_revision() const { return copy_.revision(); }

 private:
  store_mirror::handlers MirrorHandlers();
  store_view::handlers ViewHandlers();

  // --- Source of the store's changes ---
  void ChooseSource(time_point now);
  bool IsFed(time_point now);
  void CheckOtherRelay(time_point now);
  void OnLoaded(const std::vector<store::keyspace::item>& items,
                int64_t revision);
  void OnChanged(const std::vector<store::keyspace::change>& changes,
                 int64_t revision);
  void OnCopy(const std::string& vm, const wire::store_changes& copy);
  void Show(const std::vector<store::keyspace::change>& changes,
            std::string_view source);
  void RequestChanges(const std::string& vm, time_point now);
  void PushToFollowers(int64_t after, time_point now);

  // --- Other VMs ---
  void OnPeerMessage(wire::message message);
  void TakePeerMessages();
  void OnDigest(const std::string& vm, const wire::fleet_digest& digest);
  void SendDigest(const fleet_exchange::target& to,
                  time_point now,
                  wire::fleet_digest digest);
  // Tells the VM that this one unpacks digests, if it does not know yet.
  void OfferPacking(const std::string& vm);
  wire::fleet_digest BuildDigest(time_point now) const;
  void AddPrimaries(time_point now, wire::fleet_digest& digest) const;

  boost::asio::io_context& context_;
  const std::string self_;
  const std::string peer_address_;
  const interactive::session_broker& broker_;
  const leadership::primary_manager& keeper_;
  const handlers handlers_;
  store_mirror mirror_;
  store_view view_;
  relay::store_copy copy_;
  fleet_exchange exchange_;
  relay::digest_packer packer_;
  peer_transport transport_;
  ring<wire::message> peer_messages_;
  std::atomic<bool> peer_wake_pending_{false};

  time_point next_digest_;
  time_point next_maintain_;
  int quick_digests_;
  time_point next_request_;  ///< No changes are asked for before.
  duration request_pause_;   ///< Until a request is repeated.
  /// A VM that follows no relay watches the store from then on.
  std::optional<time_point> watch_at_;
  /// Since when other relays watch for this one. It stops after a while.
  std::optional<time_point> replaceable_since_;
  /// This VM relays but does not watch: other relays send it the changes.
  bool fed_ = false;
  time_point next_check_;  ///< Of the other relay by a follower.
  leadership::relay_changed role_;
  size_t known_stops_ = 0;  ///< Notices in the last digests to relays.
};

}  // namespace tarragondale::runtime

#endif  // TARRAGONDALE_SRC_RUNTIME_LINE_FLEET_DUTY_H_
