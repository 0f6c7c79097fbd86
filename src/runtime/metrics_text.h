// Collects the counters of all parts as Prometheus text.
#ifndef TARRAGONDALE_SRC_RUNTIME_METRICS_TEXT_H_
#define TARRAGONDALE_SRC_RUNTIME_METRICS_TEXT_H_

#include <cstddef>
#include <mutex>
#include <string>

#include "src/runtime/http_server.h"
#include "src/runtime/peer_transport.h"
#include "tarragondale/entry.h"
#include "tarragondale/pool.h"

namespace tarragondale::runtime {

/// @brief Holds copies of the counters, which their threads renew. Thread-safe.
class metrics_text {
 public:
  void SetEntry(const entry::entry_metrics& metrics, size_t in_flight);
  void SetGateway(const pool::gateway_metrics& metrics);

  /// @brief All metrics in Prometheus text format 0.0.4.
  std::string Text(const http_metrics& http, const peer_metrics& peer) const;

 private:
  mutable std::mutex mutex_;
  entry::entry_metrics entry_;     // Guarded by mutex_.
  size_t entry_in_flight_ = 0;     // Guarded by mutex_.
  pool::gateway_metrics gateway_;  // Guarded by mutex_.
};

}  // namespace tarragondale::runtime

#endif  // TARRAGONDALE_SRC_RUNTIME_METRICS_TEXT_H_
