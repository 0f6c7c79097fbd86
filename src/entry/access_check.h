// Checks of a request's key and of the route that it names, against the
// current configuration.
#ifndef TARRAGONDALE_SRC_ENTRY_ACCESS_CHECK_H_
#define TARRAGONDALE_SRC_ENTRY_ACCESS_CHECK_H_

#include <optional>
#include <string>
#include <string_view>

#include "tarragondale/config.h"
#include "tarragondale/wire.h"

namespace tarragondale::entry {

/// @brief On whose behalf a request runs. Kept with the request and checked
/// again against each later configuration; holds no secret.
struct access_grant {
  std::string route;
  bool open = false;         ///< The route was open; the rest is empty.
  std::string organisation;  ///< Owner of the key.
  std::string key_id;
  std::string key_digest;  ///< Digest of the record that was proved.
};

/// @brief Checks route and key.
///
/// A key that is sent on an open route is ignored: the route serves everybody,
/// so a withdrawn key must not cause a refusal there. Failures:
/// `route_unknown`, `key_missing`, `key_invalid`, `configuration_stale`,
/// `route_forbidden`.
/// @param current Whether the configuration is known to be current.
result<access_grant> CheckAccess(const config::configuration& configuration,
                                 bool current,
                                 std::string_view route,
                                 const std::optional<std::string>& bearer);

/// @brief Failure `kind_forbidden` if the route does not take the kind.
status CheckKind(const config::route_row& route, wire::request_kind kind);

/// @brief Whether a grant holds under another configuration. Failures as
/// `CheckAccess`.
status RecheckAccess(const config::configuration& configuration,
                     bool current,
                     const access_grant& grant);

}  // namespace tarragondale::entry

#endif  // TARRAGONDALE_SRC_ENTRY_ACCESS_CHECK_H_
