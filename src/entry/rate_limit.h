// Rate and burst of organisations. How much of them this VM may spend is
// decided by a strategy, so that grants can replace the static split.
#ifndef TARRAGONDALE_SRC_ENTRY_RATE_LIMIT_H_
#define TARRAGONDALE_SRC_ENTRY_RATE_LIMIT_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "src/entry/token_bucket.h"
#include "tarragondale/config.h"
#include "tarragondale/fleet.h"

namespace tarragondale::entry {

/// @brief Decides this VM's part of an organisation's rate and burst.
class rate_share {
 public:
  virtual ~rate_share() = default;
  /// @brief Limit of this VM. Over all VMs the limits sum to at most `limit`.
  virtual config::organisation_limit Share(
      std::string_view organisation,
      const config::organisation_limit& limit,
      const fleet::fleet_view& view) const = 0;
};

/// @brief Equal parts for all live VMs.
///
/// A part of the burst below one token would admit nothing anywhere. If the
/// burst has fewer tokens than there are VMs, it is split over as many VMs as
/// it has tokens, chosen by rendezvous hashing, and the others admit nothing.
class static_split : public rate_share {
 public:
  config::organisation_limit Share(
      std::string_view organisation,
      const config::organisation_limit& limit,
      const fleet::fleet_view& view) const override;
};

/// @brief Admission by rate: one token bucket for each organisation.
class rate_limiter {
 public:
  explicit rate_limiter(std::unique_ptr<rate_share> share);

  /// @brief Applies a new configuration or fleet.
  ///
  /// Buckets of the first configuration start empty, because this VM may
  /// replace one that has spent its part of the burst. Organisations that a
  /// later configuration adds start with their part of the burst, those that
  /// were removed and come back start empty.
  void Update(time_point now,
              const config::configuration& configuration,
              const fleet::fleet_view& view);

  /// @brief Takes one request of the organisation.
  bool Admit(time_point now, std::string_view organisation);

  /// @brief Time until the organisation's next request can be admitted.
  duration RetryAfter(std::string_view organisation) const;

 private:
  // Empties the buckets of removed organisations.
  void Remove(time_point now,
              const std::function<bool(std::string_view)>& gone);

  std::unique_ptr<rate_share> share_;
  std::map<std::string, token_bucket, std::less<>> buckets_;
  bool first_update_ = true;
};

}  // namespace tarragondale::entry

#endif  // TARRAGONDALE_SRC_ENTRY_RATE_LIMIT_H_
