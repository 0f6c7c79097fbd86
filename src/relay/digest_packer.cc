// Compression of digests relative to earlier ones.
#include <zstd.h>

#include <algorithm>
#include <new>
#include <utility>

#include "tarragondale/relay.h"

namespace tarragondale::relay {
namespace {

constexpr int kCompressionLevel = 3;
// Digests kept for each VM and direction. One is confirmed by the VM's next
// digest, at most two intervals later.
constexpr size_t kMaxKept = 8;
// A VM of an earlier version logs each offer as a message that it can't decode.
constexpr duration kOfferInterval = seconds(10);
constexpr duration kRenewedOfferInterval = milliseconds(500);
constexpr duration kPeerLifetime = seconds(60);
// A VM that is not heard for this long may have restarted without knowing where
// to send an offer; it learns this from digests that are not packed.
constexpr duration kHeardLimit = seconds(2);
// A larger digest is sent as it is, so that a small message does not unpack to
// many megabytes.
constexpr size_t kMaxDigestBytes = size_t{1} << 20;

std::string EncodeDigest(const wire::fleet_digest& digest) {
  return wire::Encode({"", digest});
}

std::optional<wire::fleet_digest> DecodeDigest(std::string_view bytes) {
  auto decoded = wire::Decode(bytes);
  if (!decoded) {
    return std::nullopt;
  }
  auto* const digest = std::get_if<wire::fleet_digest>(&decoded->body);
  return digest == nullptr
             ? std::nullopt
             : std::optional<wire::fleet_digest>(std::move(*digest));
}

}  // namespace

struct digest_packer::contexts {
  contexts()
      : compression(ZSTD_createCCtx()), decompression(ZSTD_createDCtx()) {
    if (compression == nullptr || decompression == nullptr) {
      throw std::bad_alloc();
    }
    ZSTD_CCtx_setParameter(compression, ZSTD_c_compressionLevel,
                           kCompressionLevel);
    // Tells a digest that is relative to another one than the receiver's.
    ZSTD_CCtx_setParameter(compression, ZSTD_c_checksumFlag, 1);
  }
  ~contexts() {
    ZSTD_freeCCtx(compression);
    ZSTD_freeDCtx(decompression);
  }
  contexts(const contexts&) = delete;
  contexts& operator=(const contexts&) = delete;

  ZSTD_CCtx* compression;
  ZSTD_DCtx* decompression;
};

digest_packer::digest_packer() : contexts_(std::make_unique<contexts>()) {}

digest_packer::~digest_packer() = default;

std::string digest_packer::Compress(const std::string& bytes,
                                    const std::string& prefix) {
  ZSTD_CCtx* const context = contexts_->compression;
  ZSTD_CCtx_reset(context, ZSTD_reset_session_only);
  ZSTD_CCtx_refPrefix(context, prefix.data(), prefix.size());
  std::string compressed(ZSTD_compressBound(bytes.size()), '\0');
  const size_t size =
      ZSTD_compress2(context, compressed.data(), compressed.size(),
                     bytes.data(), bytes.size());
  compressed.resize(ZSTD_isError(size) != 0 ? 0 : size);
  return compressed;
}

std::optional<std::string> digest_packer::Decompress(
    const std::string& bytes,
    const std::string& prefix) {
  const auto size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN ||
      size > kMaxDigestBytes) {
    return std::nullopt;
  }
  ZSTD_DCtx* const context = contexts_->decompression;
  ZSTD_DCtx_reset(context, ZSTD_reset_session_only);
  ZSTD_DCtx_refPrefix(context, prefix.data(), prefix.size());
  std::string value(size, '\0');
  const size_t done = ZSTD_decompressDCtx(context, value.data(), value.size(),
                                          bytes.data(), bytes.size());
  if (ZSTD_isError(done) != 0 || done != size) {
    return std::nullopt;
  }
  return value;
}

std::optional<wire::packed_digest> digest_packer::Pack(
    std::string_view vm,
    const wire::fleet_digest& digest,
    time_point now) {
  const auto found = peers_.find(vm);
  if (found == peers_.end() || !found->second.unpacks ||
      now - found->second.heard > kHeardLimit) {
    return std::nullopt;
  }
  peer& to = found->second;
  encoded_digest encoded{digest.sequence, EncodeDigest(digest)};
  if (encoded.bytes.size() > kMaxDigestBytes) {
    return std::nullopt;
  }
  wire::packed_digest packed{digest.sequence, to.base.sequence,
                             Compress(encoded.bytes, to.base.bytes)};
  if (packed.bytes.empty()) {
    return std::nullopt;
  }
  to.unconfirmed.push_back(std::move(encoded));
  if (to.unconfirmed.size() > kMaxKept) {
    to.unconfirmed.pop_front();
  }
  return packed;
}

void digest_packer::OnReceived(std::string_view vm, uint64_t sequence) {
  const auto found = peers_.find(vm);
  if (found == peers_.end()) {
    return;
  }
  peer& to = found->second;
  const auto confirmed = std::find_if(
      to.unconfirmed.begin(), to.unconfirmed.end(),
      [&](const encoded_digest& each) { return each.sequence == sequence; });
  if (confirmed != to.unconfirmed.end()) {
    to.base = std::move(*confirmed);
    to.unconfirmed.erase(to.unconfirmed.begin(), std::next(confirmed));
  }
}

std::optional<wire::fleet_digest> digest_packer::Unpack(
    std::string_view vm,
    const wire::packed_digest& packed,
    time_point now) {
  peer& from = peers_[std::string(vm)];
  from.heard = now;
  if (packed.bytes.empty()) {
    StartAnew(from);
    from.unpacks = true;
    from.incarnation = static_cast<int64_t>(packed.sequence);
    return std::nullopt;
  }
  from.unpacks = true;
  from.sends_plain = false;
  // The sender uses no older ones any more, and a former process of it may have
  // used the same sequence.
  std::erase_if(from.received, [&](const encoded_digest& each) {
    return each.sequence < packed.base || each.sequence >= packed.sequence;
  });
  const auto base = std::find_if(
      from.received.begin(), from.received.end(),
      [&](const encoded_digest& each) { return each.sequence == packed.base; });
  const bool known = packed.base == 0 || base != from.received.end();
  std::optional<std::string> bytes;
  if (known) {
    bytes = Decompress(packed.bytes, packed.base == 0 ? "" : base->bytes);
  }
  auto digest = bytes ? DecodeDigest(*bytes) : std::nullopt;
  if (!digest) {
    from.lacks_base = true;
    return std::nullopt;
  }
  from.received.push_back({packed.sequence, std::move(*bytes)});
  if (from.received.size() > kMaxKept) {
    // The base is the first one.
    from.received.erase(from.received.begin() + (packed.base == 0 ? 0 : 1));
  }
  from.lacks_base = false;
  from.incarnation = digest->incarnation;
  return digest;
}

void digest_packer::OnPlain(std::string_view vm,
                            int64_t incarnation,
                            time_point now) {
  peer& from = peers_[std::string(vm)];
  from.heard = now;
  from.sends_plain = true;
  from.lacks_base = false;
  if (incarnation != from.incarnation) {
    StartAnew(from);
    from.unpacks = false;
    from.incarnation = incarnation;
  }
}

// The VM holds no digests of this one.
void digest_packer::StartAnew(peer& of) {
  of.base = {};
  of.unconfirmed.clear();
}

wire::packed_digest digest_packer::Offer(int64_t incarnation) {
  return {static_cast<uint64_t>(incarnation), 0, {}};
}

bool digest_packer::TakeOffer(std::string_view vm, time_point now) {
  const auto found = peers_.find(vm);
  if (found == peers_.end()) {
    return false;
  }
  peer& to = found->second;
  const duration interval =
      to.lacks_base ? kRenewedOfferInterval : kOfferInterval;
  if (!(to.sends_plain || to.lacks_base) ||
      (to.offered && now - *to.offered < interval)) {
    return false;
  }
  to.offered = now;
  return true;
}

void digest_packer::Expire(time_point now) {
  std::erase_if(peers_, [&](const auto& each) {
    return now - each.second.heard > kPeerLifetime;
  });
}

}  // namespace tarragondale::relay
