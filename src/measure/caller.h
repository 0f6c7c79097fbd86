// A caller with keep-alive connections to the daemons, and an open loop of
// callers.
#ifndef SRC_MEASURE_CALLER_H_
#define SRC_MEASURE_CALLER_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "tarragondale/base.h"

namespace tarragondale::measure {

struct call {
  uint16_t port = 0;  ///< HTTP port of a daemon on loopback.
  std::string bearer;
  std::string idempotency_key;  ///< Empty: none.
  std::string session;          ///< Empty: none.
  nlohmann::json body;
};

struct reply {
  std::string outcome = "unknown";  ///< Also without any answer.
  std::string name = "no_answer";   ///< Name of the result code.
  std::string session;
  nlohmann::json body;

  bool done() const { return outcome == "done"; }
};

/// @brief Sends one request after the other. Not thread-safe.
class caller {
 public:
  caller();
  ~caller();
  caller(const caller&) = delete;
  caller& operator=(const caller&) = delete;

  /// @brief `POST /v1/execute` on the kept connection to the daemon.
  reply Execute(const call& request, milliseconds limit);

 private:
  class connection;
  std::map<uint16_t, std::unique_ptr<connection>> connections_;
};

/// @brief Starts requests at a fixed rate, whatever their answers, as long as
/// a worker is free. Each worker is a thread and handles one request at a time.
class open_loop {
 public:
  /// @param scheduled The time from which the latency counts.
  using handler =
      std::function<void(size_t worker, uint64_t index, time_point scheduled)>;

  open_loop(double rate, size_t workers, handler handle);
  /// @brief Stops and waits for running requests.
  ~open_loop();
  open_loop(const open_loop&) = delete;
  open_loop& operator=(const open_loop&) = delete;

  void Stop();

  /// @brief Requests that started late because all workers were busy.
  uint64_t late() const { return late_; }

 private:
  void Run(size_t worker);
  // False: the loop was stopped.
  bool WaitUntil(time_point scheduled);

  const double rate_;
  const handler handle_;
  const time_point start_;
  std::atomic<uint64_t> next_{0};
  std::atomic<uint64_t> late_{0};
  std::mutex mutex_;
  std::condition_variable stopped_;
  bool stop_ = false;  // Under mutex_.
  std::vector<std::thread> threads_;
};

}  // namespace tarragondale::measure

#endif  // SRC_MEASURE_CALLER_H_
