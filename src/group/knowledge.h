// What a coordinator knows of the members of its group.
#ifndef SRC_GROUP_KNOWLEDGE_H_
#define SRC_GROUP_KNOWLEDGE_H_

#include <string>
#include <string_view>
#include <vector>

#include "src/group/silence.h"
#include "tarragondale/group.h"

namespace tarragondale::group {

struct member_state {
  config::member_row row;
  wire::member_report report;  ///< The last one from a reachable member.
  bool known = false;          ///< `report` holds a report.
  bool lost = false;           ///< Its gateway reports it unreachable.
  time_point heard;            ///< When `report` arrived.
  time_point asked;            ///< Last status call by this coordinator.
  time_point followed;         ///< Last late follow call.
  /// Since when neither its position grew nor its age was low.
  time_point stalled_since;
};

class group_knowledge {
 public:
  explicit group_knowledge(const timing_options& timing)
      : timing_(timing), silence_(timing) {}

  void SetPool(const config::pool_row& pool);

  /// @brief Takes the report of a reachable member. A recently heard higher
  /// promise makes this an old report that was overtaken on its way.
  /// @param coordinator Its promised coordinator; empty if unknown.
  void Learn(time_point now,
             const wire::member_report& report,
             const std::string& coordinator);

  void MarkLost(std::string_view member);

  /// @brief Restarts all silence timers, after a pause of this VM.
  void ForgiveSilence(time_point now);

  /// @brief Forgets the reports, when the role comes to this VM.
  void Forget();

  /// @brief The primary of the highest known term, if a majority may still
  /// accept its log; otherwise null.
  const member_state* Serving() const;

  /// @brief Timeout for reports of the serving primary.
  duration SilenceTimeout() const { return silence_.Value(); }

  /// @brief Highest term or promise seen at any member.
  int64_t HighestTerm() const;

  /// @brief Members with a promise above the terms of all members: the traces
  /// of a failover that is at work or was not finished.
  size_t PromisedAboveAllTerms() const;

  /// @brief Coordinator of `term` if known, else empty.
  std::string CoordinatorOf(int64_t term) const {
    return term == coordinator_term_ ? coordinator_ : std::string();
  }

  /// @brief True if it is known and was heard within `status_age`.
  bool Fresh(const member_state& member, time_point now) const;
  bool Stalled(const member_state& member, time_point now) const;

  member_state* Find(std::string_view name);
  std::vector<member_state>& members() { return members_; }
  const std::vector<member_state>& members() const { return members_; }

 private:
  size_t PromisedAbove(int64_t term) const;
  void UpdateProgress(member_state& member,
                      const wire::member_report& report,
                      time_point now) const;

  timing_options timing_;
  silence_timeout silence_;
  std::string silence_member_;  ///< Primary that `silence_` describes.
  std::vector<member_state> members_;
  int64_t coordinator_term_ = -1;
  std::string coordinator_;
};

}  // namespace tarragondale::group

#endif  // SRC_GROUP_KNOWLEDGE_H_
