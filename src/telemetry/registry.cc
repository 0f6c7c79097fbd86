// Registry of metrics and their Prometheus text.
#include <fmt/format.h>

#include <array>
#include <cmath>
#include <map>
#include <mutex>
#include <tuple>
#include <variant>

#include "tarragondale/telemetry.h"

namespace tarragondale::telemetry {
namespace {

// One of the kinds of metrics; the index is the kind.
using metric = std::variant<std::unique_ptr<counter>,
                            std::unique_ptr<gauge>,
                            std::unique_ptr<latency_histogram>>;

constexpr std::array<std::string_view, 3> kKinds = {"counter", "gauge",
                                                    "histogram"};

struct family {
  size_t kind = 0;
  std::string help;
  std::map<std::string, metric> series;  ///< By the text of the labels.
  bool full = false;
};

std::string Escape(std::string_view text, bool quotes) {
  std::string escaped;
  for (const char c : text) {
    if (c == '\n') {
      escaped += "\\n";
      continue;
    }
    if (c == '\\' || (quotes && c == '"')) {
      escaped.push_back('\\');
    }
    escaped.push_back(c);
  }
  return escaped;
}

std::string LabelText(const labels& of) {
  std::string text;
  for (const auto& [name, value] : of) {
    text += fmt::format("{}{}=\"{}\"", text.empty() ? "" : ",", name,
                        Escape(value, true));
  }
  return text;
}

std::string Braces(std::string_view label_text) {
  return label_text.empty() ? "" : fmt::format("{{{}}}", label_text);
}

struct writer {
  const std::string& name;
  const std::string& label_text;
  std::string& out;

  void operator()(const std::unique_ptr<counter>& value) const {
    out += fmt::format("{}{} {}\n", name, Braces(label_text), value->value());
  }

  void operator()(const std::unique_ptr<gauge>& value) const {
    out += fmt::format("{}{} {}\n", name, Braces(label_text), value->value());
  }

  void operator()(const std::unique_ptr<latency_histogram>& value) const {
    const auto buckets = value->Buckets();
    const std::string comma = label_text.empty() ? "" : ",";
    for (const auto& bucket : buckets) {
      const std::string edge = std::isinf(bucket.upper_s)
                                   ? "+Inf"
                                   : fmt::format("{:.6g}", bucket.upper_s);
      out += fmt::format("{}_bucket{{{}{}le=\"{}\"}} {}\n", name, label_text,
                         comma, edge, bucket.count);
    }
    out += fmt::format("{}_sum{} {}\n{}_count{} {}\n", name, Braces(label_text),
                       value->SumSeconds(), name, Braces(label_text),
                       buckets.back().count);
  }
};

}  // namespace

class registry::impl {
 public:
  template <typename T>
  T& Get(std::string_view name, std::string_view help, const labels& of) {
    const size_t kind = metric(std::unique_ptr<T>()).index();
    const std::lock_guard lock(mutex_);
    const auto [found, added] = families_.try_emplace(std::string(name));
    family& all = found->second;
    if (added) {
      all.kind = kind;
      all.help = help;
    }
    const std::string text = LabelText(of);
    const auto existing = all.series.find(text);
    if (all.kind != kind ||
        (existing == all.series.end() && all.series.size() >= kMaxSeries)) {
      return Hidden<T>(name, all);
    }
    metric& slot = all.series[text];
    if (existing == all.series.end()) {
      slot = std::make_unique<T>();
    }
    return *std::get<std::unique_ptr<T>>(slot);
  }

  std::string Text() const {
    const std::lock_guard lock(mutex_);
    std::string out;
    for (const auto& [name, all] : families_) {
      out += fmt::format("# HELP {} {}\n# TYPE {} {}\n", name,
                         Escape(all.help, false), name, kKinds[all.kind]);
      for (const auto& [label_text, value] : all.series) {
        std::visit(writer{name, label_text, out}, value);
      }
    }
    return out;
  }

 private:
  // One metric of each kind takes all updates that are not in the text.
  template <typename T>
  T& Hidden(std::string_view name, family& all) {
    if (!all.full) {
      all.full = true;
      Log(log_level::kError, log_part::kMain,
          "metric {} has two kinds or too many label sets", name);
    }
    return std::get<T>(hidden_);
  }

  mutable std::mutex mutex_;
  std::map<std::string, family> families_;
  std::tuple<counter, gauge, latency_histogram> hidden_;
};

registry::registry() : impl_(std::make_unique<impl>()) {}
registry::~registry() = default;

counter& registry::Counter(std::string_view name,
                           std::string_view help,
                           const labels& of) {
  return impl_->Get<counter>(name, help, of);
}

gauge& registry::Gauge(std::string_view name,
                       std::string_view help,
                       const labels& of) {
  return impl_->Get<gauge>(name, help, of);
}

latency_histogram& registry::Histogram(std::string_view name,
                                       std::string_view help,
                                       const labels& of) {
  return impl_->Get<latency_histogram>(name, help, of);
}

std::string registry::PrometheusText() const {
  return impl_->Text();
}

}  // namespace tarragondale::telemetry
