// Implementation of the primary manager; its methods are in
// primary_manager*.cc and primary_leases.cc.
#ifndef TARRAGONDALE_SRC_LEADERSHIP_PRIMARY_MANAGER_IMPLEMENTATION_H_
#define TARRAGONDALE_SRC_LEADERSHIP_PRIMARY_MANAGER_IMPLEMENTATION_H_

#include <fmt/format.h>

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tarragondale/chart.h"
#include "tarragondale/leadership.h"

namespace tarragondale::leadership {

class primary_manager::implementation {
 public:
  implementation(options options, broker_view view)
      : options_(std::move(options)),
        self_(options_.self),
        view_(std::move(view)),
        random_(options_.seed) {}

  std::vector<action> Step(time_point now, const event& input);
  time_point NextDeadline() const { return next_tick_; }
  std::map<std::string, group_state, std::less<>> Groups() const;
  peer_summary PeerSummary(time_point now) const;
  std::vector<wire::stop_notice> StopNotices(time_point now,
                                             bool relayed) const;
  std::optional<time_point> confirmed_at() const { return confirmed_at_; }
  bool NeedsFrequentDigests(time_point now) const {
    return confirmed_at_ &&
           now - *confirmed_at_ > options_.relayed_confirm_limit;
  }
  int64_t incarnation() const { return self_.incarnation; }
  bool leaving() const { return leaving_; }
  bool left() const;

 private:
  enum class call_kind : uint8_t {
    kGrantRegistration,
    kWriteRegistration,
    kRenewRegistration,
    kRevokeRegistration,
    kConfirm,
    kGrantControllerLease,
    kClaimController,
    kRenewControllerLease,
    kRevokeControllerLease,
    kCreateRecord,
    kWriteMoving,
    kListVms,
    kPublish,
    kWriteStoppedEpochs,
  };

  struct pending_call {
    call_kind kind = call_kind::kConfirm;
    std::string group;
    /// Of the store, when the call was sent; empty: not known yet.
    std::optional<int64_t> era;
  };

  // A lease in the store that this VM renews. `renewed` is when the request of
  // the last successful grant or renewal was sent. The lease expires no earlier
  // than its lifetime after that time.
  struct held_lease {
    int64_t lease = 0;
    time_point renewed;
    time_point next_call;
    bool call_pending = false;
  };

  struct peer {
    wire::fleet_digest digest;
    time_point heard;
    /// The newest digest was made after this time. Empty: unknown, since the
    /// peer's current incarnation has not echoed any digest of this VM.
    std::optional<time_point> made_after;
    /// Arrival time of the first digest of the peer's current incarnation that
    /// echoed a digest of this VM; empty: none has.
    std::optional<time_point> echoes_since;
    /// Groups whose record in the digest is missing, is moving or has another
    /// epoch than this VM's record, or whose primary the sender had begun to
    /// replace.
    /// See `RefreshDifferences`.
    std::set<std::string, std::less<>> differing_groups;
    uint64_t differing_version = 0;
  };

  // What this VM knows about one zone: each VM registered in it has reported,
  // at or after `since`, that it had the same primary records as this VM and
  // had not begun to replace a primary. This does not apply to the groups in
  // `excluded_groups`.
  struct known_coverage {
    time_point since;
    std::set<std::string, std::less<>> excluded_groups;
    uint64_t vms_hash = 0;  ///< Hash of the names of the zone's VMs.
  };

  using coverage_by_zone = std::map<std::string, known_coverage, std::less<>>;

  // A primary lease that is being given up.
  struct pending_stop {
    int64_t epoch = 0;
    time_point deadline;
  };

  struct checked_status {
    interactive::member_status status;
    time_point at;
  };

  struct demotion {
    int64_t term = 0;
    time_point next;
    time_point until;
  };

  // The directory lists another member as a group's primary than the primary
  // record names. `member` is the one in the record.
  struct primary_conflict {
    std::string member;
    time_point since;
    time_point next_check;
    bool confirmed = false;  ///< `member` answers that it is not primary.
  };

  // Number of VMs that can't reach a member, and of VMs that reach it.
  struct reachability {
    int64_t failing = 0;
    int64_t reaching = 0;
  };

  // A replacement of a group's primary by this VM. From the state `stopping`
  // on, `epoch` is the epoch at which the record was marked as moving.
  struct handover {
    chart::machine<chart::handover> machine;
    std::string from;
    int64_t from_term = 0;
    bool planned = false;
    /// The record was written in a former era of the store; the primary stays
    /// unless another member leads.
    bool revalidates = false;
    std::string reason;
    int64_t former_epoch = 0;  ///< Of the record before the handover.
    int64_t epoch = 0;
    time_point started;
    time_point state_since;
    /// When this VM learned that the record was marked as moving.
    time_point recorded;
    /// VMs registered after the record was marked; empty: not read yet.
    std::optional<std::set<std::string>> awaited_vms;
    time_point next_call;
    bool call_pending = false;
    std::map<std::string, checked_status> statuses;
    std::set<std::string> refused;
    std::string chosen;
    int64_t new_term = 0;
    /// A promotion may have been requested: by this VM, or, if the record was
    /// already moving at the start, by a controller that did not finish its
    /// handover. The old primary is then kept only by promoting it.
    bool maybe_promoted = false;
    /// Term in which the chosen member claims to lead; 0: it does not.
    int64_t claimed_term = 0;
  };

  // Statuses of a group's members since the handover entered its state.
  struct survey {
    std::optional<interactive::member_status> from;  ///< The old primary.
    /// Status and name of the candidate that has received the most.
    std::optional<interactive::member_status> best;
    std::string best_member;
    /// Member other than the old primary that claims to lead in the highest
    /// term above the old primary's; empty: none.
    std::string leader;
    int64_t leader_term = 0;
    size_t candidates = 0;
    size_t answered = 0;       ///< Candidates that answered.
    log_position newest;       ///< Highest position of all but the old primary.
    bool others_known = true;  ///< All members but the old primary answered.
    /// The old primary answered, or it is not in the directory.
    bool from_known = true;
  };

  // --- Eras of the store (primary_manager_restore.cc) ---
  void NoticeEra(int64_t revision);
  static bool EndsWithEra(call_kind kind);
  bool IsOfFormerEra(const primary_record& record) const;
  bool AllRecordsAreOfPresentEra() const;
  int64_t StoredRevision(const std::string& group) const;
  void KeepLostEntries();
  void DropLostEntries();

  // --- Events (primary_manager.cc) ---
  void On(const item_seen& event);
  void On(const items_loaded& event);
  void On(const store_answered& event);
  void OnAnswer(const pending_call& call, const store_answered& event);
  void On(const members_changed& event);
  void On(const configuration_snapshot_changed& event);
  void On(const digest_arrived& event);
  void On(const member_checked& event);
  void On(const promotion_answered& event);
  void On(const relay_changed& event) { relay_ = event; }
  void On(const drain_started& event);
  void On(const leave_started& event);
  void On(const tick& event);

  uint64_t Call(call_kind kind,
                store::keyspace::call call,
                std::string group = {});
  std::string Writer() const;
  void ApplyItem(const store::keyspace::item& item);
  std::optional<primary_record> ApplyPrimary(const store::keyspace::item& item);
  void ApplyVm(const std::string& name, const vm_registration& record);
  void ApplyRemoval(std::string_view key);

  // --- Registration and controller role (primary_manager_leases.cc) ---
  void MaintainRegistration();
  void MaintainController();
  void MaintainConfirmation();
  bool IsConfirmedRecently() const;
  void OnRegistrationAnswer(call_kind kind, const store_answered& event);
  void OnControllerAnswer(call_kind kind, const store_answered& event);
  void OnConfirmed(const store_answered& event);
  void ApplyController(const std::optional<controller_record>& record);
  void DelayClaim();
  bool MayResign() const;
  void ResignAsController();
  bool IsController() const;
  void PublishFleet();

  // --- Primary leases (primary_leases.cc) ---
  void ApplyRecord(const std::string& group, const primary_record& record);
  void ScheduleConfirmation();
  void StopOlderEpochs(const std::string& group, int64_t epoch);
  void ContinuePendingStops();
  void ConfirmGroup(const std::string& group, int64_t epoch, time_point sent);
  void WriteStoppedEpochs();
  interactive::primary_lease PrimaryLeaseOf(
      const std::string& group,
      const coverage_by_zone& covers) const;
  void PublishPrimaryLeases();
  bool NeedsExtension() const;

  // --- Reports about other VMs (primary_manager_coverage.cc) ---
  std::optional<coverage_by_zone> CoverageByZone() const;
  std::optional<known_coverage> CoverageOfZone(
      const std::string& zone,
      const std::vector<std::string_view>& names) const;
  std::optional<time_point> AddPeerDifferences(
      const std::string& name,
      std::set<std::string, std::less<>>& excluded_groups) const;
  void RefreshDifferences();
  std::map<std::string, std::vector<std::string_view>, std::less<>> VmsByZone()
      const;
  std::optional<time_point> ExtensionOf(const std::string& group,
                                        const coverage_by_zone& covers) const;
  void AddStopNotices(const std::string& name,
                      const peer& of,
                      std::vector<wire::stop_notice>& to) const;
  std::optional<duration> ControllerSilence(time_point now) const;

  // --- Failure detection (primary_manager_suspicion.cc) ---
  std::optional<std::string> ReasonToReplace(const std::string& group,
                                             const primary_record& record,
                                             bool& planned);
  bool IsSuperseded(const std::string& group, const std::string& member);
  reachability ReachabilityOf(const std::string& group,
                              const std::string& member) const;
  bool IsSuspected(const reachability& counts) const {
    return counts.failing > counts.reaching;
  }
  bool LacksRegionMajority(const std::string& member) const;
  std::optional<std::string_view> RegionOf(const std::string& member) const;
  std::optional<std::string> UndecidedPrimary() const;
  void ResignIfUndecided();

  // --- Evacuated availability zones (primary_manager_evacuation.cc) ---
  bool IsEvacuated(const std::string& member) const;
  std::optional<std::string> EvacuationToReplace(
      const std::string& group,
      const primary_record& record) const;
  bool MustCatchUp(const std::string& group,
                   const handover& move,
                   duration waited) const;

  // --- Replacement of primaries (primary_manager_handover.cc) ---
  void WatchPrimaries();
  void CreateRecord(const std::string& group);
  void WriteRecord(call_kind kind,
                   const std::string& group,
                   int64_t epoch,
                   primary_record record);
  void StartHandover(const std::string& group,
                     const primary_record& record,
                     bool planned,
                     std::string reason);
  void Revalidate(const std::string& group, const primary_record& record);
  bool KeepPrimary(const std::string& group,
                   handover& move,
                   const survey& found,
                   duration waited);
  void ContinueHandovers();
  void ContinueStop(const std::string& group, handover& move);
  void ContinueChoice(const std::string& group, handover& move);
  void ContinuePromotion(const std::string& group, handover& move);
  void Promote(const std::string& group,
               handover& move,
               std::string member,
               int64_t claimed_term,
               std::string_view why);
  survey SurveyMembers(const std::string& group, handover& move) const;
  bool AdoptLeader(const std::string& group,
                   handover& move,
                   const survey& found,
                   duration waited);
  bool MayPromote(const std::string& group,
                  const handover& move,
                  const survey& found,
                  duration waited) const;
  void ContinueConfirmation(handover& move);
  void ContinuePublication(const std::string& group, handover& move);
  void OnHandoverAnswer(const pending_call& call, const store_answered& event);
  bool AllStopped(const std::string& group, const handover& move) const;
  bool HasStopped(const std::string& name,
                  const std::string& group,
                  int64_t epoch) const;
  bool PrimaryLeaseExpired(const std::string& name, const handover& move) const;
  void CheckMembers(const std::string& group, handover& move);
  void Fire(const std::string& group,
            handover& move,
            chart::handover::event event,
            std::string_view why);
  void FinishHandover(const std::string& group);
  void ContinueDemotions();
  std::vector<const interactive::member_record*> MembersOf(
      std::string_view group) const;

  template <typename... Args>
  void Log(log_level level,
           fmt::format_string<Args...> format,
           Args&&... args) {
    actions_.push_back(
        log_message{level, fmt::format(format, std::forward<Args>(args)...)});
  }

  const options options_;
  vm_registration self_;
  const broker_view view_;
  std::mt19937_64 random_;
  time_point now_;
  time_point next_tick_;
  std::vector<action> actions_;
  uint64_t last_tag_ = 0;
  std::map<uint64_t, pending_call> calls_;
  /// The directory, and until `lost_entries_end_` what it listed before the
  /// store was restored: entries that were lost are written again by then.
  interactive::member_directory_ptr members_;
  interactive::member_directory_ptr directory_;  ///< As it was received last.
  interactive::member_directory_ptr listed_members_;
  /// VMs whose registration the restored store has lost; they stay in `vms_`.
  std::set<std::string, std::less<>> lost_vms_;
  time_point lost_entries_end_;
  interactive::configuration_snapshot_ptr catalogue_;
  std::map<std::string, time_point, std::less<>> unlisted_since_;

  held_lease registration_;
  bool registered_ = false;
  time_point registered_at_;
  held_lease controller_lease_;
  std::optional<controller_record> controller_;
  bool is_controller_ = false;
  /// The controller's record in a restored store may name this VM, with a lease
  /// that it no longer holds.
  bool may_reclaim_ = false;
  time_point next_claim_;
  /// Promotions that this VM called for and whose calls have not ended.
  size_t promotion_calls_ = 0;
  std::optional<time_point> undecided_since_;  ///< See `ResignIfUndecided`.
  bool draining_ = false;
  bool leaving_ = false;

  std::map<std::string, vm_registration, std::less<>> vms_;
  // By VM whose registration ended: when this VM learned of it. Its primary
  // leases may not have expired yet.
  std::map<std::string, time_point, std::less<>> unregistered_;
  bool fleet_dirty_ = true;
  relay_changed relay_;
  std::map<std::string, peer, std::less<>> peers_;

  std::optional<int64_t> store_era_;   ///< Newest known one.
  std::optional<int64_t> listed_era_;  ///< All records were read in this era.
  /// Newest revision of each group's record that was read in the present era.
  std::map<std::string, int64_t, std::less<>> stored_revisions_;

  std::map<std::string, primary_record, std::less<>> records_;
  uint64_t records_version_ = 1;  ///< Increases with each change of `records_`.
  // By group: when the newest linearizable read that returned the record's
  // current epoch was sent.
  std::map<std::string, time_point, std::less<>> confirmed_;
  std::optional<time_point> confirmed_at_;
  time_point next_confirm_;
  bool confirming_ = false;
  bool confirm_again_ = false;
  // Whether, since this flag was last reset, any record's current epoch was
  // confirmed for the first time. If so, a relay sends digests to its followers
  // immediately.
  bool newly_confirmed_ = false;
  std::map<std::string, int64_t, std::less<>> stopped_;
  std::map<std::string, pending_stop, std::less<>> pending_stops_;
  std::map<std::string, interactive::primary_lease, std::less<>>
      primary_leases_;

  std::map<std::string, handover, std::less<>> handovers_;
  std::map<std::string, demotion, std::less<>> demotions_;
  std::map<std::string, primary_conflict, std::less<>> primary_conflicts_;
  time_point next_create_;
};

}  // namespace tarragondale::leadership

#endif  // TARRAGONDALE_SRC_LEADERSHIP_PRIMARY_MANAGER_IMPLEMENTATION_H_
