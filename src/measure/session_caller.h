// A session that roams between daemons and checks what it reads.
#ifndef SRC_MEASURE_SESSION_CALLER_H_
#define SRC_MEASURE_SESSION_CALLER_H_

#include <array>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "src/measure/caller.h"
#include "src/measure/cluster.h"

namespace tarragondale::measure {

/// @brief How reads of a phase state their freshness.
enum class read_mode : uint8_t {
  kMaxAge,       ///< Session token and max_age_ms 1000.
  kSessionOnly,  ///< Session token.
  kPrimaryOnly   ///< The baseline: the header `Tarragondale-Session: lost`.
};

/// @brief Sums of one session or of several.
struct read_figures {
  std::vector<double> replica_ms;  ///< Latencies of reads at replicas.
  std::vector<double> primary_ms;  ///< Latencies of reads at the primary.
  std::vector<double> write_ms;    ///< Latencies of writes.
  std::vector<double> age_ms;      ///< Stated ages of answers of replicas.
  int64_t own_write_missed = 0;    ///< Reads below the session's last write.
  int64_t not_monotonic = 0;       ///< Reads below an earlier read.
  int64_t too_old = 0;             ///< Answers with an age above max_age_ms.
  std::map<std::string, int64_t> refused;

  void Add(const read_figures& other);
};

/// @brief Counters are rows `s<session>` in every group; only their session
/// writes them, with rising values, and every session reads them.
class session_caller {
 public:
  session_caller(cluster& target,
                 int groups,
                 size_t session,
                 size_t sessions,
                 uint64_t seed);

  /// @brief One request at a random daemon: a read with 80 %.
  /// @param scheduled The latency counts from here.
  void Step(read_mode mode, time_point scheduled);

  /// @brief The figures since the last call.
  read_figures Take();

 private:
  void Read(read_mode mode, time_point scheduled);
  void Write(time_point scheduled);
  void CheckValue(const std::string& key, const nlohmann::json& body);
  call Request(int group, std::string_view kind) const;

  cluster& target_;
  const int groups_;
  const size_t session_;
  const size_t sessions_;
  std::mt19937_64 random_;
  caller caller_;
  std::string token_;
  int64_t next_value_ = 0;
  // By group and row: the highest value acknowledged or read. A read must
  // return at least both.
  std::map<std::string, int64_t> written_;
  std::map<std::string, int64_t> read_;
  read_figures figures_;
};

}  // namespace tarragondale::measure

#endif  // SRC_MEASURE_SESSION_CALLER_H_
