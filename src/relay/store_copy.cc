// Copy of the store's keys at a revision.
#include <zstd.h>

#include <algorithm>
#include <set>
#include <string_view>

#include "tarragondale/relay.h"

namespace tarragondale::relay {
namespace {

// Values of at least this size are sent compressed. Without compression, a
// configuration of 1,500 routes occupies a VM's 2 Mbit/s link for a second.
constexpr size_t kMinCompressedBytes = 2'048;
constexpr int kCompressionLevel = 3;
// Limit of a decompressed value. The store's own limit is one megabyte.
constexpr size_t kMaxValueBytes = 4U << 20U;

std::string Compress(const std::string& value) {
  std::string compressed(ZSTD_compressBound(value.size()), '\0');
  const size_t size =
      ZSTD_compress(compressed.data(), compressed.size(), value.data(),
                    value.size(), kCompressionLevel);
  if (ZSTD_isError(size) != 0) {
    return {};
  }
  compressed.resize(size);
  return compressed;
}

std::optional<std::string> Decompress(const std::string& compressed) {
  const auto size =
      ZSTD_getFrameContentSize(compressed.data(), compressed.size());
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN ||
      size > kMaxValueBytes) {
    return std::nullopt;
  }
  std::string value(size, '\0');
  const size_t done = ZSTD_decompress(value.data(), value.size(),
                                      compressed.data(), compressed.size());
  if (ZSTD_isError(done) != 0 || done != size) {
    return std::nullopt;
  }
  return value;
}

std::optional<store::keyspace::item> DecodeEntry(const wire::store_entry& of) {
  store::keyspace::item decoded{.key = of.key, .revision = of.revision};
  if (!of.compressed) {
    decoded.value = of.value;
  } else if (auto value = Decompress(of.value)) {
    decoded.value = std::move(*value);
  } else {
    return std::nullopt;
  }
  return decoded;
}

}  // namespace

// Records only the differences as changes, so that followers with an older copy
// need only these.
std::vector<store_copy::change> store_copy::Load(const std::vector<item>& items,
                                                 int64_t revision) {
  if (revision < revision_) {
    return {};
  }
  std::set<std::string_view> present;
  std::vector<change> changes;
  for (const item& each : items) {
    present.insert(each.key);
    const auto known = items_.find(each.key);
    if (known == items_.end() || known->second.revision < each.revision) {
      changes.push_back({each, false});
    }
  }
  for (const auto& [key, each] : items_) {
    if (!present.contains(key)) {
      changes.push_back({{.key = key, .revision = revision}, true});
    }
  }
  std::stable_sort(changes.begin(), changes.end(),
                   [](const change& a, const change& b) {
                     return a.now.revision < b.now.revision;
                   });
  const bool first = revision_ == 0;
  for (const change& each : changes) {
    Set(each);
  }
  revision_ = std::max(revision_, revision);
  if (first) {
    recent_.clear();
    recent_after_ = revision_;
  }
  Trim();
  return changes;
}

void store_copy::Set(const change& changed) {
  if (changed.removed) {
    items_.erase(changed.now.key);
    compressed_.erase(changed.now.key);
  } else {
    items_[changed.now.key] = changed.now;
  }
  recent_.push_back(changed);
}

void store_copy::Trim() {
  while (recent_.size() > kKeptChanges) {
    recent_after_ = recent_.front().now.revision;
    recent_.pop_front();
  }
  // Drops the rest of a revision that was trimmed in part.
  while (!recent_.empty() && recent_.front().now.revision <= recent_after_) {
    recent_.pop_front();
  }
}

// Changes up to `revision_` can be skipped: all changes of one revision arrive
// together, so the copy contains each revision either completely or not at all.
std::vector<store_copy::change> store_copy::Apply(
    const std::vector<change>& changes,
    int64_t revision) {
  std::vector<change> unknown;
  for (const change& each : changes) {
    const auto known = items_.find(each.now.key);
    const bool newer =
        known == items_.end() || known->second.revision < each.now.revision;
    if (each.now.revision > revision_ && newer) {
      unknown.push_back(each);
    }
  }
  for (const change& each : unknown) {
    Set(each);
    revision = std::max(revision, each.now.revision);
  }
  revision_ = std::max(revision_, revision);
  Trim();
  return unknown;
}

std::optional<std::vector<store_copy::change>> store_copy::Take(
    const wire::store_changes& from) {
  if (from.revision <= revision_ ||
      (!from.complete && from.after > revision_)) {
    return std::nullopt;
  }
  std::vector<item> items;
  for (const wire::store_entry& entry : from.entries) {
    auto decoded = DecodeEntry(entry);
    if (!decoded) {
      return std::nullopt;
    }
    items.push_back(std::move(*decoded));
  }
  if (from.complete) {
    return Load(items, from.revision);
  }
  std::vector<change> changes;
  for (size_t i = 0; i < items.size(); ++i) {
    changes.push_back({std::move(items[i]), from.entries[i].removed});
  }
  return Apply(changes, from.revision);
}

wire::store_entry store_copy::EncodeEntry(const change& of) {
  wire::store_entry entry{of.now.key, of.now.value, of.now.revision, of.removed,
                          false};
  if (entry.value.size() < kMinCompressedBytes) {
    return entry;
  }
  compressed_value& known = compressed_[entry.key];
  if (known.revision != entry.revision) {
    known = {entry.revision, Compress(entry.value)};
  }
  if (!known.bytes.empty()) {
    entry.value = known.bytes;
    entry.compressed = true;
  }
  return entry;
}

wire::store_changes store_copy::Since(int64_t revision) {
  wire::store_changes result;
  result.revision = revision_;
  result.after = revision;
  result.complete = revision < recent_after_ || revision == 0;
  if (result.complete) {
    for (const auto& [key, each] : items_) {
      result.entries.push_back(EncodeEntry({each, false}));
    }
    return result;
  }
  for (const change& each : recent_) {
    if (each.now.revision > revision) {
      result.entries.push_back(EncodeEntry(each));
    }
  }
  return result;
}

std::vector<store_copy::item> store_copy::Items() const {
  std::vector<item> all;
  for (const auto& [key, each] : items_) {
    all.push_back(each);
  }
  return all;
}

}  // namespace tarragondale::relay
