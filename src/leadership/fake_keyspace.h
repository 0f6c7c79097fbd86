// In-memory fake of the store, in virtual time, for tests.
#ifndef TARRAGONDALE_SRC_LEADERSHIP_FAKE_KEYSPACE_H_
#define TARRAGONDALE_SRC_LEADERSHIP_FAKE_KEYSPACE_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "tarragondale/store/keyspace.h"

namespace tarragondale::leadership {

/// @brief Executes calls with the semantics of the platform's store. Watch
/// calls are refused; `on_change` is called for each change instead.
class fake_keyspace {
 public:
  using item = store::keyspace::item;

  /// @brief Called for each change. If `removed`, `changed` is the last state
  /// of the item.
  std::function<void(const item& changed, bool removed)> on_change;

  store::keyspace::reply Execute(const store::keyspace::call& call,
                                 time_point now) {
    now_ = now;
    store::keyspace::reply reply =
        std::visit([this](const auto& each) { return Run(each); }, call);
    reply.revision = std::max(reply.revision, InEra(0));
    return reply;
  }

  /// @brief Ends expired leases and removes their items.
  void ExpireLeases(time_point now) {
    std::vector<int64_t> ended;
    for (const auto& [id, lease] : leases_) {
      if (now - lease.second > lease.first) {
        ended.push_back(id);
      }
    }
    for (const int64_t id : ended) {
      EndLease(id);
    }
  }

  /// @brief Writes an item unconditionally, as another client would.
  void Put(item written) {
    written.revision = ++revision_;
    items_[written.key] = written;
    NotifyWatchers(written, false);
  }

  /// @brief All items, with revisions of the present era.
  std::map<std::string, item> items() const {
    std::map<std::string, item> all = items_;
    for (auto& [key, each] : all) {
      each.revision = InEra(each.revision);
    }
    return all;
  }

  int64_t revision() const { return InEra(revision_); }

  /// @brief Keeps a copy of the items and leases, for `Restore`.
  void Save() { saved_ = {items_, revision_, leases_, last_lease_}; }

  /// @brief Puts the copy in place of the items. Revisions and leases are given
  /// out again. All leases end, or those of the copy are as if renewed.
  void Restore(bool keep_leases, time_point now) {
    std::tie(items_, revision_, leases_, last_lease_) = saved_;
    for (auto& [id, lease] : leases_) {
      lease.second = now;
    }
    if (!keep_leases) {
      leases_.clear();
      std::erase_if(items_,
                    [](const auto& each) { return each.second.lease != 0; });
    }
    ++era_;
  }

 private:
  using call_status = store::keyspace::call_status;

  int64_t InEra(int64_t number) const {
    return store::keyspace::RevisionInEra(era_, number);
  }

  store::keyspace::reply Run(const store::keyspace::range_call& call) {
    store::keyspace::reply reply{.status = call_status::kDone};
    for (const auto& [key, value] : items()) {
      if (key.starts_with(call.prefix)) {
        reply.items.push_back(value);
      }
    }
    reply.revision = InEra(revision_);
    return reply;
  }
  store::keyspace::reply Run(const store::keyspace::watch_call& /*call*/) {
    return {.status = call_status::kRefused};
  }
  store::keyspace::reply Run(const store::keyspace::transaction_call& call) {
    store::keyspace::reply reply{.status = call_status::kDone};
    for (const auto& each : call.conditions) {
      const auto found = items_.find(each.key);
      const int64_t revision =
          found == items_.end() ? 0 : found->second.revision;
      if (revision != store::keyspace::NumberOf(each.revision)) {
        reply.status = call_status::kConflict;
      }
      if (found != items_.end()) {
        reply.items.push_back(found->second);
        reply.items.back().revision = InEra(revision);
      }
    }
    for (const auto& each : call.writes) {
      if (each.lease != 0 && !leases_.contains(each.lease)) {
        return {.status = call_status::kNotFound};
      }
    }
    if (reply.status != call_status::kDone) {
      return reply;
    }
    reply.items.clear();
    reply.revision = InEra(++revision_);
    for (item each : call.writes) {
      each.revision = revision_;
      items_[each.key] = each;
      NotifyWatchers(each, false);
    }
    return reply;
  }
  store::keyspace::reply Run(const store::keyspace::grant_call& call) {
    leases_[++last_lease_] = {call.lifetime, now_};
    return {.status = call_status::kDone,
            .lease = last_lease_,
            .lifetime = call.lifetime};
  }
  store::keyspace::reply Run(const store::keyspace::renew_call& call) {
    const auto found = leases_.find(call.lease);
    if (found == leases_.end()) {
      return {.status = call_status::kNotFound};
    }
    found->second.second = now_;
    return {.status = call_status::kDone};
  }
  store::keyspace::reply Run(const store::keyspace::revoke_call& call) {
    EndLease(call.lease);
    return {.status = call_status::kDone};
  }

  void EndLease(int64_t lease) {
    leases_.erase(lease);
    std::vector<item> removed;
    for (const auto& [key, value] : items_) {
      if (value.lease == lease) {
        removed.push_back(value);
      }
    }
    for (const item& each : removed) {
      ++revision_;
      items_.erase(each.key);
      NotifyWatchers(each, true);
    }
  }

  void NotifyWatchers(item changed, bool removed) const {
    if (on_change) {
      changed.revision = InEra(changed.revision);
      on_change(changed, removed);
    }
  }

  time_point now_;
  std::map<std::string, item> items_;
  int64_t revision_ = 0;
  std::map<int64_t, std::pair<milliseconds, time_point>> leases_;
  int64_t last_lease_ = 0;
  int64_t era_ = 0;
  std::tuple<std::map<std::string, item>,
             int64_t,
             std::map<int64_t, std::pair<milliseconds, time_point>>,
             int64_t>
      saved_;
};

}  // namespace tarragondale::leadership

#endif  // TARRAGONDALE_SRC_LEADERSHIP_FAKE_KEYSPACE_H_
