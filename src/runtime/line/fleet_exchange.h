// Digests between VMs: what is sent to whom, and what an answer proves.
#ifndef TARRAGONDALE_SRC_RUNTIME_LINE_FLEET_EXCHANGE_H_
#define TARRAGONDALE_SRC_RUNTIME_LINE_FLEET_EXCHANGE_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "tarragondale/leadership.h"
#include "tarragondale/relay.h"
#include "tarragondale/wire.h"

namespace tarragondale::runtime {

/// @brief Registered VMs as plans of duties see them.
std::vector<relay::vm> PlannedVms(
    const std::vector<leadership::vm_registration>& vms);

/// @brief Knows the other VMs, which of them relay, and the digests sent to and
/// received from each. No I/O.
class fleet_exchange {
 public:
  enum class relation : uint8_t {
    kPeer,       ///< Both relay, or the receiver is not known yet.
    kFollower,   ///< The receiver follows this VM.
    kHome,       ///< This VM follows the receiver.
    kCandidate,  ///< A relay that this VM may follow.
  };
  struct target {
    std::string vm;
    std::string address;
    relation to = relation::kPeer;
  };

  /// @param seeds Peer addresses that are asked while no VM is known.
  fleet_exchange(const std::string& self, std::vector<std::string> seeds)
      : self_(self), seeds_(std::move(seeds)), plan_(self), watch_plan_(self) {}

  void SetSeeds(std::vector<std::string> seeds) { seeds_ = std::move(seeds); }

  void SetFleet(const std::vector<leadership::vm_registration>& vms);

  /// @brief Chooses the relay to follow anew; false if it stays the same.
  bool ChooseHome(time_point now);

  /// @brief Whether this VM relays by the registered VMs.
  bool relays() const { return plan_.IsRelay(); }
  int relay_rank() const { return plan_.Rank(); }
  /// @brief Whether there are relays that this VM could follow.
  bool has_relays() const { return !plan_.Preferred().empty(); }
  /// @brief The relay that this VM follows; empty if it follows none.
  const std::string& home() const { return home_; }

  /// @brief Whether this VM, a relay, has to watch the store.
  bool MustWatch(time_point now) const;
  /// @brief Relays that do not watch the store and get its changes from this
  /// VM.
  std::vector<std::string> FedRelays(time_point now) const;
  /// @brief A relay of another availability zone, each in turn, which a VM that
  /// follows a relay asks for changes too: its own one, if slow, may be behind.
  /// Empty if there is none.
  std::string NextOtherRelay();

  /// @brief Says in a digest whether other VMs may follow this one. A VM that
  /// is no relay does not offer itself, also while it watches the store because
  /// it lost its relays: they answer only VMs that may follow them, and would
  /// not be found again.
  /// @param has_changes This VM gets the store's changes other than by
  /// following a relay.
  void OfferAsRelay(bool has_changes, wire::fleet_digest& digest) const {
    digest.watching = has_changes && plan_.IsRelay();
  }
  /// @brief Whether the sender of the digest follows this VM or may do so. It
  /// gets an answer to each digest, since what it is told is as old as its own.
  static bool MustAnswer(const wire::fleet_digest& digest) {
    return !digest.watching;
  }

  /// @brief VMs that get a digest now.
  std::vector<target> Targets(time_point now) const;
  /// @brief How a digest to a VM is made.
  target TargetOf(const std::string& vm, time_point now) const;
  std::vector<std::string> Followers(time_point now) const;

  /// @brief Fills in the sequence, the echo and the usage of a digest.
  /// @param digest With the usage of this VM alone.
  void Stamp(const target& to, time_point now, wire::fleet_digest& digest);

  struct received {
    /// When this VM sent the digest that the sender had received.
    std::optional<time_point> echo_sent;
    /// Operations admitted elsewhere that were not known before.
    std::vector<relay::usage_totals::increment> operations;
    /// Whether the digest tells what other VMs admitted; `operations` lacks
    /// organisations that have not used the VMs that it counts.
    bool counts_usage = false;
    /// `operations` lacks those since an earlier digest.
    bool baseline = false;
    bool new_follower = false;
  };
  /// @brief Takes a digest; empty for one that is outdated.
  std::optional<received> Take(const std::string& vm,
                               const wire::fleet_digest& digest,
                               time_point now);

  /// @brief Address of a VM; empty if it is not known.
  std::string AddressOf(const std::string& vm) const;

 private:
  struct peer {
    std::string address;
    bool registered = false;
    int64_t incarnation = 0;
    time_point heard;
    bool follows = false;
    uint64_t last_received = 0;
    std::deque<std::pair<uint64_t, time_point>> sent;  ///< Newest last.
  };

  bool IsFollower(const peer& of, time_point now) const;
  bool CountsUsage(const std::string& vm,
                   const wire::fleet_digest& digest) const;

  const std::string self_;
  std::vector<std::string> seeds_;
  relay::relay_plan plan_;
  relay::relay_selector choice_;
  relay::watch_plan watch_plan_;
  std::map<std::string, std::string, std::less<>>
      relay_zones_;  ///< Availability zones of the relays, by name.
  std::map<std::string, relay::relay_status, std::less<>> sights_;
  relay::usage_totals totals_;
  relay::follower_reports reports_;
  /// Of all digests, since a VM that was forgotten remembers what it received.
  uint64_t last_sequence_ = 0;
  std::string home_;
  std::string last_home_;  ///< The last one that is not empty.
  size_t other_relay_ = 0;
  std::map<std::string, peer, std::less<>> peers_;
};

}  // namespace tarragondale::runtime

#endif  // TARRAGONDALE_SRC_RUNTIME_LINE_FLEET_EXCHANGE_H_
