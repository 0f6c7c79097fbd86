// Prometheus text of all counters.
#include "src/runtime/metrics_text.h"

#include <fmt/format.h>

#include <array>
#include <iterator>

namespace tarragondale::runtime {
namespace {

// Tables of members: a counter is listed once, here.
template <typename Struct>
struct counter_row {
  std::string_view name;
  uint64_t Struct::*member;
  std::string_view help;
};

constexpr auto kEntryCounters =
    std::to_array<counter_row<entry::entry_metrics>>({
        {"entry_requests_total", &entry::entry_metrics::requests,
         "Requests of callers."},
        {"entry_reads_by_replica_total",
         &entry::entry_metrics::reads_by_replica, "Reads served by replicas."},
        {"entry_reads_by_primary_total",
         &entry::entry_metrics::reads_by_primary,
         "Reads served by the primary."},
        {"entry_writes_done_total", &entry::entry_metrics::writes_done,
         "Acknowledged writes."},
        {"entry_refused_within_rate_total",
         &entry::entry_metrics::refused_within_rate,
         "Requests refused although within their organisation's rate."},
        {"entry_retries_total", &entry::entry_metrics::retries,
         "Attempts after the first."},
        {"entry_retries_denied_total", &entry::entry_metrics::retries_denied,
         "Retries that the retry budget did not allow."},
        {"entry_answers_dropped_total", &entry::entry_metrics::answers_dropped,
         "Late or doubled answers of gateways."},
        {"entry_waits_for_primary_total",
         &entry::entry_metrics::waits_for_primary,
         "Requests that waited for a failover to end."},
    });

constexpr auto kGatewayCounters =
    std::to_array<counter_row<pool::gateway_metrics>>({
        {"gateway_requests_total", &pool::gateway_metrics::requests,
         "Requests of entries."},
        {"gateway_answers_done_total", &pool::gateway_metrics::answers_done,
         "Answers with outcome done."},
        {"gateway_answers_not_run_total",
         &pool::gateway_metrics::answers_not_run,
         "Answers with outcome not_run."},
        {"gateway_answers_unknown_total",
         &pool::gateway_metrics::answers_unknown,
         "Answers with outcome unknown."},
        {"gateway_replayed_total", &pool::gateway_metrics::replayed,
         "Recorded answers of earlier attempts."},
        {"gateway_connections_opened_total",
         &pool::gateway_metrics::connections_opened,
         "Database connections opened."},
        {"gateway_connections_lost_total",
         &pool::gateway_metrics::connections_lost,
         "Database connections that broke."},
        {"gateway_connections_silent_total",
         &pool::gateway_metrics::connections_silent,
         "Database connections closed for being unresponsive."},
        {"gateway_evidence_polls_total", &pool::gateway_metrics::evidence_polls,
         "Replication polls for waiting writes."},
        {"gateway_status_polls_total", &pool::gateway_metrics::status_polls,
         "Status polls of members."},
    });

void Counter(std::string& out,
             std::string_view name,
             std::string_view help,
             uint64_t value) {
  fmt::format_to(std::back_inserter(out),
                 "# HELP tarragondale_{0} {1}\n"
                 "# TYPE tarragondale_{0} counter\n"
                 "tarragondale_{0} {2}\n",
                 name, help, value);
}

void Gauge(std::string& out,
           std::string_view name,
           std::string_view help,
           uint64_t value) {
  fmt::format_to(std::back_inserter(out),
                 "# HELP tarragondale_{0} {1}\n"
                 "# TYPE tarragondale_{0} gauge\n"
                 "tarragondale_{0} {2}\n",
                 name, help, value);
}

void Refusals(std::string& out, const entry::entry_metrics& metrics) {
  out +=
      "# HELP tarragondale_entry_refusals_total Answers by code, but ok.\n"
      "# TYPE tarragondale_entry_refusals_total counter\n";
  for (const auto& [code, count] : metrics.refusals) {
    fmt::format_to(std::back_inserter(out),
                   "tarragondale_entry_refusals_total{{code=\"{}\"}} {}\n",
                   InfoOf(code).name, count);
  }
}

}  // namespace

void metrics_text::SetEntry(const entry::entry_metrics& metrics,
                            size_t in_flight) {
  const std::lock_guard lock(mutex_);
  entry_ = metrics;
  entry_in_flight_ = in_flight;
}

void metrics_text::SetGateway(const pool::gateway_metrics& metrics) {
  const std::lock_guard lock(mutex_);
  gateway_ = metrics;
}

std::string metrics_text::Text(const http_metrics& http,
                               const peer_metrics& peer) const {
  std::string out;
  const std::lock_guard lock(mutex_);
  for (const auto& row : kEntryCounters) {
    Counter(out, row.name, row.help, entry_.*row.member);
  }
  Refusals(out, entry_);
  for (const auto& row : kGatewayCounters) {
    Counter(out, row.name, row.help, gateway_.*row.member);
  }
  Gauge(out, "entry_in_flight", "Admitted requests without an answer.",
        entry_in_flight_);
  Gauge(out, "http_connections", "Open caller connections.", http.connections);
  Counter(out, "http_requests_total", "HTTP requests.", http.requests);
  Counter(out, "http_early_refusals_total",
          "HTTP requests refused before the entry.", http.early_refusals);
  Counter(out, "peer_sent_total", "Messages to other VMs.", peer.sent);
  Counter(out, "peer_sent_bytes_total", "Bytes to other VMs.", peer.sent_bytes);
  Counter(out, "peer_received_total", "Messages of other VMs.", peer.received);
  Counter(out, "peer_received_bytes_total", "Bytes of other VMs.",
          peer.received_bytes);
  Counter(out, "peer_refused_sends_total",
          "Messages refused for want of a link.", peer.refused_sends);
  Counter(out, "peer_undecodable_total", "Messages that did not decode.",
          peer.undecodable);
  return out;
}

}  // namespace tarragondale::runtime
