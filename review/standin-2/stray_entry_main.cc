// Case 9: before the system starts for the first time, another writer has left
// an entry in the store that names no member.
#include <cstdlib>
#include <string>

#include "review/standin-2/fleet.h"
#include "review/standin-2/play.h"

namespace tarragondale::review {
namespace {

constexpr milliseconds kWork(11);  // The mean of the site's order-place.
constexpr milliseconds kPlayed(40'000);

int Run(const std::string& folder, record& log, bool trouble) {
  static deployment system(folder, log, [] { return kWork; });
  if (trouble) {
    // Without `version` and `sequence`; nothing listens at the address.
    system.PutForeign("servers/i-0f3e77aa", {{"service", kService},
                                             {"address", "127.0.0.1:9"},
                                             {"zone", "kgn-b"},
                                             {"slots", 5},
                                             {"state", "ready"},
                                             {"coldLeftMs", 0},
                                             {"dbRole", "primary"}});
  }
  system.Launch();
  const int result = PlayRequests(system, log, kPlayed);
  system.Stop();
  return result;
}

}  // namespace
}  // namespace tarragondale::review

int main(int argc, char** argv) {
  using namespace tarragondale::review;  // NOLINT(google-build-using-namespace)
  if (argc != 3) {
    return 2;
  }
  record log(argv[1]);
  const char* const trouble = std::getenv("TROUBLE");
  const int result =
      Run(argv[2], log, trouble == nullptr || std::string(trouble) != "0");
  log.Add("exit " + std::to_string(result));
  // The stand-ins' threads go on until the process ends.
  std::_Exit(result);
}
