// Positions of a session: requirement, advance, merge and bounds.
#include <algorithm>
#include <tuple>

#include "src/session/binary.h"
#include "src/session/token_codec.h"
#include "tarragondale/session.h"

namespace tarragondale::session {
namespace {

bool NameLess(const group_position& entry, std::string_view group) {
  return entry.group < group;
}

}  // namespace

token::token(std::string organisation)
    : organisation_(std::move(organisation)) {}

token token::Lost(std::string organisation) {
  token lost(std::move(organisation));
  lost.incomplete_ = true;
  return lost;
}

void token::Bind(std::string_view organisation) {
  if (organisation_.empty()) {
    organisation_ = organisation;
    KeepWithinBounds();
  }
}

freshness token::Requirement(std::string_view group) const {
  const group_position* const entry = Find(group);
  if (entry == nullptr) {
    return {.primary_only = incomplete_, .minimum = {}};
  }
  return {.primary_only = false, .minimum = entry->position};
}

void token::Advance(std::string_view group,
                    log_position position,
                    bool from_primary) {
  uint64_t now = 0;
  for (const group_position& entry : groups_) {
    now = std::max(now, entry.last_use);
  }
  if (group_position* const entry = Find(group)) {
    entry->position = std::max(entry->position, position);
    // The group that was used last keeps its number, so that repeated use of
    // one group does not change the token.
    entry->last_use = entry->last_use == now ? now : now + 1;
  } else if (!incomplete_ || from_primary) {
    Insert({std::string(group), position, now + 1});
  }
  KeepWithinBounds();
}

void token::Merge(const token& other) {
  std::vector<group_position> merged;
  for (const group_position& entry : groups_) {
    const group_position* const match = other.Find(entry.group);
    // A group that is missing from an incomplete token may have been dropped
    // from it with a higher position, so it stays unknown.
    if (match == nullptr && other.incomplete_) {
      continue;
    }
    merged.push_back(entry);
    if (match != nullptr) {
      merged.back().position = std::max(entry.position, match->position);
      merged.back().last_use = std::max(entry.last_use, match->last_use);
    }
  }
  if (!incomplete_) {
    for (const group_position& entry : other.groups_) {
      if (Find(entry.group) == nullptr) {
        merged.push_back(entry);
      }
    }
  }
  std::sort(merged.begin(), merged.end(),
            [](const group_position& a, const group_position& b) {
              return a.group < b.group;
            });
  groups_ = std::move(merged);
  incomplete_ = incomplete_ || other.incomplete_;
  KeepWithinBounds();
}

group_position* token::Find(std::string_view group) {
  const auto found =
      std::lower_bound(groups_.begin(), groups_.end(), group, NameLess);
  return found != groups_.end() && found->group == group ? &*found : nullptr;
}

const group_position* token::Find(std::string_view group) const {
  const auto found =
      std::lower_bound(groups_.begin(), groups_.end(), group, NameLess);
  return found != groups_.end() && found->group == group ? &*found : nullptr;
}

void token::Insert(group_position entry) {
  const auto place =
      std::lower_bound(groups_.begin(), groups_.end(), entry.group, NameLess);
  groups_.insert(place, std::move(entry));
}

void token::DropLeastRecentlyUsed() {
  groups_.erase(std::min_element(
      groups_.begin(), groups_.end(),
      [](const group_position& a, const group_position& b) {
        return std::tie(a.last_use, a.group) < std::tie(b.last_use, b.group);
      }));
  incomplete_ = true;
}

void token::KeepWithinBounds() {
  while (!groups_.empty() && (groups_.size() > kMaxGroups ||
                              token_codec::TextBytes(*this) > kMaxTokenBytes)) {
    DropLeastRecentlyUsed();
  }
}

}  // namespace tarragondale::session
