// The decisions on which the safety of a failover rests.
#include "src/group/guards.h"

#include <algorithm>
#include <tuple>

namespace tarragondale::group {

size_t Majority(size_t members) {
  return members / 2 + 1;
}

bool HasFenceMajority(size_t promised, size_t members) {
#if defined(TARRAGONDALE_MUTANT_FENCE_MAJORITY)
  return promised >= 1 && members > 0;
#else
  return promised >= Majority(members);
#endif
}

bool IsPromise(const call_result& answer, int64_t term) {
#if defined(TARRAGONDALE_MUTANT_PROMISE_CHECK)
  // A refusal counts as a promise as well.
  return answer.answered && term > 0;
#else
  return answer.Succeeded() && answer.report &&
         answer.report->promised_term == term;
#endif
}

int64_t NextTerm(int64_t highest_seen, int64_t highest_used) {
  return std::max(highest_seen, highest_used) + 1;
}

size_t ChooseCandidate(const std::vector<candidate>& fenced,
                       std::string_view wanted) {
  const auto rank = [&](const candidate& member) {
#if defined(TARRAGONDALE_MUTANT_MOST_ADVANCED)
    const log_position held;
#else
    const log_position held{-member.held.term, -member.held.position};
#endif
    return std::make_tuple(held, member.name != wanted, member.leaving,
                           member.preference, std::string_view(member.name));
  };
  const auto best =
      std::min_element(fenced.begin(), fenced.end(),
                       [&](const candidate& a, const candidate& b) {
                         return rank(a) < rank(b);
                       });
  return static_cast<size_t>(best - fenced.begin());
}

size_t SuspicionQuorum(size_t vms_in_service) {
#if defined(TARRAGONDALE_MUTANT_SUSPICION_QUORUM)
  return std::min<size_t>(vms_in_service, 1);
#else
  constexpr size_t kOfThree = 2;
  return std::clamp<size_t>(vms_in_service, 1, kOfThree);
#endif
}

}  // namespace tarragondale::group
