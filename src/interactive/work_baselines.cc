// Expected work of statements, learned by route and kind.
#include "src/interactive/work_baselines.h"

#include <algorithm>
#include <cmath>

namespace tarragondale::interactive {
namespace {

// Statements over which a baseline is averaged.
constexpr int kSamples = 200;
// The first statements set the scale, so their members' slowness, which is
// relative to it, isn't taken out.
constexpr int kScaleSamples = 100;
// Later, this power of the slowness is taken out. The rest lets the scale
// follow over thousands of statements.
constexpr double kTakenOut = 0.9;
// Bounds memory when routes come and go; all are learned again then.
constexpr size_t kMaxKeys = 4'096;

}  // namespace

work_baselines::baseline work_baselines::Find(const work_key& key) const {
  const auto found = known_.find(key);
  return found == known_.end() ? baseline{} : found->second;
}

void work_baselines::Add(const work_key& key, duration work, double slowness) {
  if (known_.size() >= kMaxKeys && !known_.contains(key)) {
    known_.clear();
  }
  baseline& known = known_[key];
  known.samples = std::min(known.samples + 1, kSamples);
  const double power = known.samples <= kScaleSamples ? 0 : kTakenOut;
  const double usual =
      static_cast<double>(work.count()) / std::pow(slowness, power);
  const double typical = static_cast<double>(known.typical.count());
  const double step = std::log(usual / typical) / known.samples;
  known.typical =
      duration(std::max<int64_t>(1, std::llround(typical * std::exp(step))));
  const double mean = static_cast<double>(known.mean.count());
  known.mean = duration(std::max<int64_t>(
      1, std::llround(mean + (usual - mean) / known.samples)));
}

}  // namespace tarragondale::interactive
