// Reads the platform's list of VMs over HTTP.
#ifndef TARRAGONDALE_SRC_RUNTIME_VM_LIST_READER_H_
#define TARRAGONDALE_SRC_RUNTIME_VM_LIST_READER_H_

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "tarragondale/base.h"
#include "tarragondale/wire.h"

namespace tarragondale::runtime {

/// @brief Decodes the list: a JSON array of objects with name, http_address,
/// peer_address, availability_zone, region and state (`live` or `leaving`).
/// Rows that do not decode are left out. Failure: `malformed_json`.
result<std::vector<wire::vm_record>> DecodeVmList(std::string_view body);

/// @brief Reads the list at once and then at each interval, on its own thread.
class vm_list_reader {
 public:
  using handler = std::function<void(std::vector<wire::vm_record>)>;

  /// @param address IP:port of the platform's service.
  /// @param path Path of the list.
  vm_list_reader(std::string address,
                 std::string path,
                 duration interval,
                 handler on_list);
  ~vm_list_reader();
  vm_list_reader(const vm_list_reader&) = delete;
  vm_list_reader& operator=(const vm_list_reader&) = delete;

  void Start();
  void Stop();

 private:
  void Run();
  result<std::string> Fetch() const;

  const std::string address_;
  const std::string path_;
  const duration interval_;
  const handler on_list_;
  std::mutex mutex_;
  std::condition_variable wake_;
  bool stopping_ = false;  // Guarded by mutex_.
  std::thread thread_;
};

}  // namespace tarragondale::runtime

#endif  // TARRAGONDALE_SRC_RUNTIME_VM_LIST_READER_H_
