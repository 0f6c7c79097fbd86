// Selection of the relays that watch the store.
#include <algorithm>
#include <tuple>
#include <utility>

#include "tarragondale/fleet.h"
#include "tarragondale/relay.h"

namespace tarragondale::relay {

using fleet::RendezvousWeight;

// Orders by rendezvous hashing (Thaler and Ravishankar, 1998), VMs with enough
// capacity first, but takes one relay of each availability zone before a second
// one of any zone.
void watch_plan::SetRelays(const std::vector<vm>& relays) {
  std::vector<const vm*> all;
  all.reserve(relays.size());
  for (const vm& each : relays) {
    all.push_back(&each);
  }
  const int64_t largest = LargestCapacity(all);
  const auto rank = [&](const vm* of) {
    return std::tuple(!IsCapable(*of, largest),
                      RendezvousWeight("watch", of->name), of->name);
  };
  std::sort(all.begin(), all.end(),
            [&](const vm* a, const vm* b) { return rank(a) < rank(b); });
  std::map<std::string_view, size_t> taken_of_zone;
  std::vector<std::pair<size_t, const vm*>> rounds;
  rounds.reserve(all.size());
  for (const vm* each : all) {
    rounds.emplace_back(taken_of_zone[each->availability_zone]++, each);
  }
  std::stable_sort(
      rounds.begin(), rounds.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<vm> order;
  order.reserve(rounds.size());
  for (const auto& [round, each] : rounds) {
    order.push_back(*each);
  }
  order_ = std::move(order);
}

std::vector<std::string> watch_plan::Watchers(
    time_point now,
    const std::map<std::string, relay_status, std::less<>>& statuses) const {
  std::vector<std::string> watchers;
  for (const vm& each : order_) {
    if (watchers.size() == kWatchers) {
      break;
    }
    const auto found = statuses.find(each.name);
    const bool heard =
        found != statuses.end() && found->second.watching &&
        found->second.reaches_store &&
        now - found->second.last_heard <= relay_selector::kRelayTimeout;
    if (each.name == self_ || heard) {
      watchers.push_back(each.name);
    }
  }
  return watchers;
}

std::vector<std::string> watch_plan::FedBySelf(
    const std::vector<std::string>& watchers) const {
  std::vector<std::string> fed;
  if (std::find(watchers.begin(), watchers.end(), self_) == watchers.end()) {
    return fed;
  }
  for (const vm& each : order_) {
    if (std::find(watchers.begin(), watchers.end(), each.name) !=
        watchers.end()) {
      continue;
    }
    const auto distance = [&](const std::string& name) {
      const vm* const from = Find(name);
      const int zones = from->availability_zone == each.availability_zone ? 0
                        : from->region == each.region                     ? 1
                                                                          : 2;
      return std::tuple(zones, RendezvousWeight(each.name, name), name);
    };
    const auto nearest =
        std::min_element(watchers.begin(), watchers.end(),
                         [&](const std::string& a, const std::string& b) {
                           return distance(a) < distance(b);
                         });
    if (*nearest == self_) {
      fed.push_back(each.name);
    }
  }
  return fed;
}

const vm* watch_plan::Find(std::string_view name) const {
  const auto found =
      std::find_if(order_.begin(), order_.end(),
                   [&](const vm& each) { return each.name == name; });
  return found == order_.end() ? nullptr : &*found;
}

}  // namespace tarragondale::relay
