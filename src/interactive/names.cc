// Names of enumerators.
#include <array>

#include "tarragondale/interactive.h"

namespace tarragondale::interactive {
namespace {

using namespace std::string_view_literals;

constexpr std::array kFreshness = {"primary"sv, "bounded_staleness"sv,
                                   "read_your_writes"sv};
constexpr std::array kStatementKinds = {
    "begin"sv,   "begin_read_only"sv, "commit"sv,   "rollback"sv,
    "read"sv,    "write"sv,           "set"sv,      "prepare"sv,
    "execute"sv, "deallocate"sv,      "malformed"sv};
constexpr std::array kMemberCodes = {"done"sv,
                                     "busy"sv,
                                     "lagging"sv,
                                     "read_only"sv,
                                     "wrong_member"sv,
                                     "too_many_connections"sv,
                                     "unknown_statement"sv,
                                     "failed"sv,
                                     "timeout"sv,
                                     "other"sv};

constexpr std::array kPlacementRefusals = {"no_member"sv, "primary"sv,
                                           "transaction"sv};

}  // namespace

std::string_view FreshnessName(freshness value) {
  return kFreshness[static_cast<size_t>(value)];
}

std::string_view StatementKindName(statement_kind kind) {
  return kStatementKinds[static_cast<size_t>(kind)];
}

std::string_view PlacementRefusalName(placement_refusal value) {
  return kPlacementRefusals[static_cast<size_t>(value)];
}

std::string_view MemberCodeName(member_code code) {
  return kMemberCodes[static_cast<size_t>(code)];
}

}  // namespace tarragondale::interactive
