// Source of the store's changes, and messages between VMs.
#include "src/runtime/line/fleet_duty.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "src/runtime/line/boot_clock.h"
#include "src/runtime/line/log_output.h"
#include "src/runtime/system_sources.h"

namespace tarragondale::runtime {
namespace {

constexpr duration kDigestInterval = milliseconds(500);
// Rights last by digests alone while the store is away.
constexpr duration kOutageDigestInterval = milliseconds(250);
// Links between VMs come up, and VMs learn of each other, within these first
// digests of a process.
constexpr duration kQuickDigestInterval = milliseconds(100);
constexpr int kQuickDigests = 8;
// A right that a follower gave up is passed on within this.
constexpr duration kNoticeDelay = milliseconds(20);
constexpr duration kMaintainInterval = seconds(1);
constexpr duration kLinkSilence = seconds(3);
constexpr duration kLinkIdle = seconds(60);
// Messages of other VMs that wait for this thread.
constexpr size_t kPeerRing = 4'096;
// A request for changes is repeated after this, and then less and less often:
// all keys may take seconds on a narrow link.
constexpr duration kRequestPause = milliseconds(400);
constexpr duration kLongestRequestPause = seconds(5);
// How long a VM looks for a relay before it watches the store itself.
constexpr duration kRelaySearch = milliseconds(700);

// A relay that need not watch the store stops after this time, so that a relay
// that comes and goes does not stop and start the watches of others.
constexpr duration kWatchHandover = seconds(2);
// A VM that follows a relay asks another one this often for changes that it
// lacks. Short enough that a configuration is in force in time although its
// relay is slow.
constexpr duration kOtherRelayInterval = milliseconds(1'500);

// Ages are rounded up: a receiver may take them for no younger than they are.
int64_t AgeMs(time_point now, time_point then) {
  return ToMs(now - then) + 1;
}

}  // namespace

fleet_duty::fleet_duty(boost::asio::io_context& context,
                       http_channel& store,
                       const config::settings& settings,
                       const interactive::session_broker& broker,
                       const leadership::primary_manager& primary_manager,
                       handlers handlers)
    : context_(context),
      self_(settings.vm_name),
      peer_address_(settings.peer_address),
      broker_(broker),
      keeper_(primary_manager),
      handlers_(std::move(handlers)),
      mirror_(context, store, RandomNumber(), MirrorHandlers()),
      view_(ViewHandlers()),
      exchange_(settings.vm_name, settings.seed_peers),
      transport_(
          settings.vm_name,
          [this](wire::message message) { OnPeerMessage(std::move(message)); }),
      peer_messages_(kPeerRing),
      quick_digests_(kQuickDigests),
      request_pause_(kRequestPause) {}

status fleet_duty::Start() {
  if (const status problem = transport_.Start(peer_address_)) {
    return problem;
  }
  mirror_.Start();
  return std::nullopt;
}

void fleet_duty::Stop() {
  mirror_.Stop();
  transport_.Stop();
}

void fleet_duty::OnTimer(time_point now) {
  ChooseSource(now);
  CheckOtherRelay(now);
  if (now >= next_digest_) {
    SendDigests(now);
  }
  if (now >= next_maintain_) {
    next_maintain_ = now + kMaintainInterval;
    packer_.Expire(now);
    transport_.Maintain(std::chrono::steady_clock::now(), kLinkSilence,
                        kLinkIdle);
  }
}

void fleet_duty::SetFleet(const std::vector<leadership::vm_registration>& vms) {
  exchange_.SetFleet(vms);
  ChooseSource(BootNow());
}

// --- Source of the store's changes ---

store_mirror::handlers fleet_duty::MirrorHandlers() {
  return {.loaded = [this](const std::vector<store::keyspace::item>& items,
                           int64_t revision) { OnLoaded(items, revision); },
          .changed = [this](const std::vector<store::keyspace::change>& changes,
                            int64_t revision) { OnChanged(changes, revision); },
          .reachable =
              [](bool reachable, const std::string& reason) {
                if (reachable) {
                  Log(log_level::kInfo, log_part::kStore, "the store answers.");
                } else {
                  Log(log_level::kWarning, log_part::kStore,
                      "the store does not answer: {}.", reason);
                }
              }};
}

store_view::handlers fleet_duty::ViewHandlers() {
  return {.configuration =
              [this](const interactive::configuration_snapshot_ptr& value) {
                handlers_.configuration(value);
                handlers_.broker(
                    interactive::configuration_snapshot_changed{value});
                handlers_.primary_manager(
                    leadership::configuration_snapshot_changed{value});
              },
          .members =
              [this](const interactive::members_changed& changed) {
                handlers_.broker(changed);
                handlers_.primary_manager(
                    leadership::members_changed{changed.value});
              },
          .fleet =
              [this](leadership::event event) {
                handlers_.primary_manager(std::move(event));
              }};
}

// Some relays watch the store and send its changes to the others. Another VM
// follows a relay, or watches the store if it has found none for a while.
void fleet_duty::ChooseSource(time_point now) {
  const bool relayed = !exchange_.relays();
  const bool changed = exchange_.ChooseHome(now);
  const bool follows = !exchange_.home().empty();
  if (changed) {
    Log(log_level::kInfo, log_part::kStore, "the store's changes come from {}.",
        follows ? "VM " + exchange_.home() : std::string("the store"));
    request_pause_ = kRequestPause;
    next_request_ = now;
  }
  const leadership::relay_changed role{!follows, exchange_.relay_rank()};
  if (role != role_) {
    role_ = role;
    handlers_.primary_manager(role);
  }
  if (follows) {
    watch_at_.reset();
    if (!mirror_.paused() && view_.loaded()) {
      mirror_.Pause();
    }
    fed_ = false;
    return;
  }
  if (IsFed(now)) {
    return;
  }
  if (!mirror_.paused()) {
    // Right after the first load, relays are looked for before the watch.
    if (relayed && exchange_.has_relays() && !watch_at_ && view_.loaded()) {
      watch_at_ = now + kRelaySearch;
      mirror_.Pause();
    }
    return;
  }
  if (!relayed || !watch_at_ || now >= *watch_at_) {
    watch_at_ = now;
    mirror_.Resume(copy_.revision());
  }
}

// Whether this VM is a relay for which other relays watch the store.
bool fleet_duty::IsFed(time_point now) {
  const bool replaceable = exchange_.relays() && view_.loaded() &&
                           !keeper_.leaving() && !exchange_.MustWatch(now);
  if (!replaceable) {
    replaceable_since_.reset();
  } else if (!replaceable_since_) {
    replaceable_since_ = now;
  }
  const bool fed = replaceable && now - *replaceable_since_ >= kWatchHandover;
  if (fed != fed_) {
    fed_ = fed;
    Log(log_level::kInfo, log_part::kStore, "{} at revision {}.",
        fed ? "other relays watch the store for this VM"
            : "this VM watches the store again",
        store::keyspace::NumberOf(copy_.revision()));
  }
  if (fed && !mirror_.paused()) {
    mirror_.Pause();
  }
  return fed;
}

void fleet_duty::CheckOtherRelay(time_point now) {
  // Before the first load, the answer would be a second copy of all keys.
  if (exchange_.home().empty() || copy_.revision() == 0 || now < next_check_) {
    return;
  }
  next_check_ = now + kOtherRelayInterval;
  const std::string other = exchange_.NextOtherRelay();
  if (!other.empty()) {
    SendTo(other, wire::store_request{copy_.revision()});
  }
}

// The watch tells more while there is one.
void fleet_duty::OnStoreCall(bool answered) {
  if (mirror_.paused()) {
    mirror_.SetReachable(answered, "a call was not answered");
  }
}

void fleet_duty::OnLoaded(const std::vector<store::keyspace::item>& items,
                          int64_t revision) {
  const int64_t after = copy_.revision();
  const auto changes = copy_.Load(items, revision);
  mirror_.Advance(copy_.revision());
  if (!view_.loaded()) {
    view_.Load(items, copy_.revision(), "the store", BootNow());
  } else {
    view_.Apply(changes, "the store", BootNow());
  }
  if (after > 0) {
    PushToFollowers(after, BootNow());
  }
}

void fleet_duty::OnChanged(const std::vector<store::keyspace::change>& changes,
                           int64_t revision) {
  const int64_t after = copy_.revision();
  const auto unknown = copy_.Apply(changes, revision);
  if (!unknown.empty()) {
    view_.Apply(unknown, "the store", BootNow());
    PushToFollowers(after, BootNow());
  }
}

void fleet_duty::OnCopy(const std::string& vm,
                        const wire::store_changes& from) {
  const time_point now = BootNow();
  const int64_t after = copy_.revision();
  const auto changes = copy_.Take(from);
  if (!changes) {
    if (from.revision > after) {
      RequestChanges(vm, now);
    }
    return;
  }
  request_pause_ = kRequestPause;
  next_request_ = now;
  mirror_.Advance(copy_.revision());
  const std::string source = "VM " + vm;
  if (!view_.loaded()) {
    view_.Load(copy_.Items(), copy_.revision(), source, BootNow());
  } else {
    view_.Apply(*changes, source, BootNow());
  }
  PushToFollowers(after, now);
}

void fleet_duty::RequestChanges(const std::string& vm, time_point now) {
  if (now < next_request_) {
    return;
  }
  next_request_ = now + request_pause_;
  request_pause_ = std::min(request_pause_ * 2, kLongestRequestPause);
  SendTo(vm, wire::store_request{copy_.revision()});
}

void fleet_duty::PushToFollowers(int64_t after, time_point now) {
  std::vector<std::string> followers = exchange_.Followers(now);
  const std::vector<std::string> fed = exchange_.FedRelays(now);
  followers.insert(followers.end(), fed.begin(), fed.end());
  if (followers.empty()) {
    return;
  }
  const wire::store_changes changes = copy_.Since(after);
  if (changes.complete) {
    return;  // Each asks for what it lacks when it hears of the revision.
  }
  for (const std::string& name : followers) {
    SendTo(name, changes);
  }
}

// --- Other VMs ---

// On the transport's thread.
void fleet_duty::OnPeerMessage(wire::message message) {
  if (!peer_messages_.TryPush(std::move(message))) {
    return;  // The next digest says the same and more.
  }
  if (!peer_wake_pending_.exchange(true)) {
    boost::asio::post(context_, [this] { TakePeerMessages(); });
  }
}

void fleet_duty::TakePeerMessages() {
  peer_wake_pending_ = false;
  while (auto message = peer_messages_.TryPop()) {
    if (const auto* digest = std::get_if<wire::fleet_digest>(&message->body)) {
      packer_.OnPlain(message->sender, digest->incarnation, BootNow());
      OnDigest(message->sender, *digest);
      OfferPacking(message->sender);
    } else if (const auto* packed =
                   std::get_if<wire::packed_digest>(&message->body)) {
      if (exchange_.AddressOf(message->sender).empty()) {
        continue;  // Nothing is kept for senders that are not known.
      }
      const auto unpacked = packer_.Unpack(message->sender, *packed, BootNow());
      if (unpacked) {
        OnDigest(message->sender, *unpacked);
      }
      OfferPacking(message->sender);
    } else if (const auto* request =
                   std::get_if<wire::store_request>(&message->body)) {
      if (copy_.revision() > request->revision) {
        SendTo(message->sender, copy_.Since(request->revision));
      }
    } else if (const auto* copy =
                   std::get_if<wire::store_changes>(&message->body)) {
      OnCopy(message->sender, *copy);
    } else {
      handlers_.other(message->sender, message->body);
    }
  }
}

void fleet_duty::OnDigest(const std::string& vm,
                          const wire::fleet_digest& digest) {
  const time_point now = BootNow();
  packer_.OnReceived(vm, digest.echo);
  const auto taken = exchange_.Take(vm, digest, now);
  if (!taken) {
    return;
  }
  if (taken->baseline) {
    handlers_.broker(interactive::reports_restarted{vm});
  }
  for (const relay::usage_totals::increment& each : taken->operations) {
    handlers_.broker(interactive::usage_reported{
        each.organisation, static_cast<double>(each.operations),
        each.demand_per_s, vm, static_cast<int>(digest.counted_vms)});
  }
  if (taken->counts_usage) {
    handlers_.broker(
        interactive::vms_heard{vm, static_cast<int>(digest.counted_vms)});
  }
  if (taken->echo_sent) {
    for (const wire::primary_state& state : digest.primaries) {
      if (state.position_age_ms >= 0) {
        handlers_.broker(interactive::position_reported{
            state.group, state.position,
            *taken->echo_sent - milliseconds(state.position_age_ms)});
      }
    }
  }
  // The store's own answers are newer, so others are asked without them only.
  const bool own_source = !mirror_.paused() && mirror_.reachable();
  if (own_source) {
    mirror_.Expect(digest.store_revision);
  } else if (digest.store_revision > copy_.revision()) {
    RequestChanges(vm, now);
  }
  handlers_.primary_manager(
      leadership::digest_arrived{vm, digest, taken->echo_sent});
  if (fleet_exchange::MustAnswer(digest)) {
    SendDigest(exchange_.TargetOf(vm, now), now, BuildDigest(now));
  }
  const size_t stop_notices = keeper_.StopNotices(now, false).size();
  if (stop_notices > known_stops_) {
    next_digest_ = std::min(next_digest_, now + kNoticeDelay);
  }
  known_stops_ = stop_notices;
}

bool fleet_duty::SendTo(const std::string& vm, wire::message_body body) {
  const std::string address = exchange_.AddressOf(vm);
  return !address.empty() && transport_.Send(vm, address, std::move(body));
}

void fleet_duty::SendDigests(time_point now, bool to_followers) {
  // The first digest to a VM only opens the link.
  const bool quick = quick_digests_ > 0;
  const duration usual = keeper_.NeedsFrequentDigests(now)
                             ? kOutageDigestInterval
                             : kDigestInterval;
  next_digest_ = now + (quick ? kQuickDigestInterval : usual);
  quick_digests_ = std::max(0, quick_digests_ - 1);
  const wire::fleet_digest common = BuildDigest(now);
  for (const fleet_exchange::target& to : exchange_.Targets(now)) {
    if (to_followers || to.to != fleet_exchange::relation::kFollower) {
      SendDigest(to, now, common);
    }
  }
}

void fleet_duty::SendDigest(const fleet_exchange::target& to,
                            time_point now,
                            wire::fleet_digest digest) {
  if (to.address.empty()) {
    return;
  }
  exchange_.Stamp(to, now, digest);
  digest.stop_notices =
      keeper_.StopNotices(now, to.to == fleet_exchange::relation::kFollower);
  auto packed = packer_.Pack(to.vm, digest, now);
  if (packed) {
    transport_.Send(to.vm, to.address, std::move(*packed));
  } else {
    transport_.Send(to.vm, to.address, std::move(digest));
  }
}

void fleet_duty::OfferPacking(const std::string& vm) {
  if (packer_.TakeOffer(vm, BootNow())) {
    SendTo(vm, relay::digest_packer::Offer(keeper_.incarnation()));
  }
}

wire::fleet_digest fleet_duty::BuildDigest(time_point now) const {
  wire::fleet_digest digest;
  digest.incarnation = keeper_.incarnation();
  digest.peer_address = peer_address_;
  exchange_.OfferAsRelay(!mirror_.paused() || fed_, digest);
  digest.reaches_store = mirror_.reachable();
  digest.leaving = keeper_.leaving();
  digest.store_revision = copy_.revision();
  if (const auto confirmed = keeper_.confirmed_at()) {
    digest.confirmed_age_ms = AgeMs(now, *confirmed);
  }
  leadership::peer_summary told = keeper_.PeerSummary(now);
  digest.coverage = std::move(told.coverage);
  digest.controller_digest_age_ms = told.controller_digest_age_ms;
  AddPrimaries(now, digest);
  for (const auto& [name, each] : broker_.Usage(now)) {
    digest.usage.push_back(
        {name, each.admitted, static_cast<int64_t>(each.demand_per_s)});
  }
  return digest;
}

void fleet_duty::AddPrimaries(time_point now,
                              wire::fleet_digest& digest) const {
  const auto positions = broker_.Positions();
  for (const auto& [group, state] : keeper_.Groups()) {
    wire::primary_state primary;
    primary.group = group;
    primary.member = state.record.member;
    primary.term = state.record.term;
    primary.epoch = state.record.epoch;
    primary.moving = state.record.moving;
    primary.replacing = state.replacing;
    primary.stopped_epoch = state.stopped_epoch;
    primary.followers_reaching = state.followers_reaching;
    primary.followers_failing = state.followers_failing;
    const auto position = positions.find(group);
    if (position != positions.end()) {
      primary.position = position->second.position;
      primary.position_age_ms = AgeMs(now, position->second.covers);
    }
    const interactive::member_health health =
        broker_.HealthOf(state.record.member);
    if (health.last_answer) {
      primary.answer_age_ms = AgeMs(now, *health.last_answer);
    }
    if (health.failing_since) {
      primary.failing_ms = ToMs(now - *health.failing_since);
    }
    digest.primaries.push_back(std::move(primary));
  }
}

}  // namespace tarragondale::runtime
