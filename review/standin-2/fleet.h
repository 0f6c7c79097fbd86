// The system under test: VMs as separate processes, started with the command of
// the deploy file and settings that are filled into its template.
#ifndef TARRAGONDALE_REVIEW_STANDIN_2_FLEET_H_
#define TARRAGONDALE_REVIEW_STANDIN_2_FLEET_H_

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "review/standin-2/group.h"
#include "review/standin-2/lines.h"
#include "review/standin-2/record.h"
#include "review/standin-2/store.h"

namespace tarragondale::review {

// Figures of the site bluemahoe-orders.
inline constexpr int kMemoryMb = 260;
inline constexpr int kGraceS = 6;

/// @brief One VM; its process is killed when this is destroyed.
class vm {
 public:
  vm(std::string name, std::string zone, std::string folder);
  ~vm();
  vm(const vm&) = delete;
  vm& operator=(const vm&) = delete;

  const std::string& name() const { return name_; }
  uint16_t front() const { return front_; }
  std::string peer_address() const { return LoopbackAddress(peer_); }
  /// @brief Starts the process with settings for these addresses.
  void Start(const std::string& store_address,
             const std::string& promotion_address,
             const std::string& seeds);
  /// @brief Starts it with the settings of the last start.
  void Restart();
  bool Lives();
  void Signal(int number) const;
  /// @brief Resident memory; 0 if it does not run.
  int64_t ResidentMb() const;

 private:
  std::string Settings(const std::string& store_address,
                       const std::string& promotion_address,
                       const std::string& seeds) const;

  const std::string name_;
  const std::string zone_;
  const std::string folder_;
  const uint16_t front_;
  const uint16_t ready_;
  const uint16_t peer_;
  pid_t process_ = 0;
};

/// @brief The platform's stand-ins, one service and three VMs.
class deployment {
 public:
  /// @param folder For settings and logs of the VMs.
  deployment(const std::string& folder, record& log, work_time work);

  group& members() { return group_; }
  std::vector<std::unique_ptr<vm>>& vms() { return vms_; }
  /// @brief Writes a key that is not the members' or the operator's own.
  void PutForeign(const std::string& key, const nlohmann::json& value) {
    store_.Put(key, value);
  }
  /// @brief Writes the configuration and starts the members and the VMs.
  void Launch();
  /// @brief As `Launch`, and waits until each VM has served a write and a read.
  /// False if one did not.
  bool Start();
  /// @brief The platform is slow: it receives the next promotion and carries it
  /// out so much later.
  void DelayNextPromotion(milliseconds delay) {
    next_promotion_delay_ = delay.count();
  }
  /// @brief Ends the VMs. The stand-ins run until this process ends, so a
  /// deployment must be static.
  void Stop() { vms_.clear(); }
  /// @brief Sends one write and one read as an ordinary client.
  bool Serves(const vm& at, milliseconds limit);

 private:
  record& log_;
  store store_;
  group group_;
  std::atomic<int64_t> next_promotion_delay_{0};
  promotions promotions_;
  std::vector<std::unique_ptr<vm>> vms_;
};

// The members.
inline constexpr const char* kPrimary = "i-7f3a91c2";
inline constexpr const char* kFirstReplica = "i-1c40d2be";
inline constexpr const char* kSecondReplica = "i-5a6be07d";

// Databases of the configuration: a `primary` route, a `bounded_staleness` one
// and an anonymous one.
inline constexpr const char* kService = "orders-db";
inline constexpr const char* kOrders = "order-place";
inline constexpr const char* kDrawings = "drawing-view";
inline constexpr const char* kCatalogue = "catalogue";
inline constexpr const char* kKey = "u6wsjnbanfqasnmgkcuy";
inline constexpr milliseconds kDrawingsTimeout(3'000);

/// @brief An id that no other statement has.
std::string NewId();

/// @brief Starts a session; false if it was not answered with `READY`.
bool StartSession(line_socket& on,
                  const std::string& database,
                  const std::string& key);

/// @brief Sends one statement and reads its answer: the lines up to `READY`.
/// Empty if the connection ended before.
std::vector<std::string> Query(line_socket& on,
                               const std::string& id,
                               const std::string& text);

}  // namespace tarragondale::review

#endif  // TARRAGONDALE_REVIEW_STANDIN_2_FLEET_H_
