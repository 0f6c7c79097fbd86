// Tests of packed digests.
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <zstd.h>

#include <array>
#include <memory>
#include <random>

#include "tarragondale/relay.h"

namespace tarragondale::relay {
namespace {

constexpr time_point kStart = TimeFromMs(1'000'000);
constexpr int64_t kIncarnation = 1'792'194'579'097;
const wire::packed_digest offer = digest_packer::Offer(kIncarnation);

// As a relay of a customer with 8 groups and 75 organisations sends it; each
// digest differs from the one before in ages, positions and some counters.
wire::fleet_digest Digest(uint64_t sequence, uint64_t echo = 0) {
  wire::fleet_digest digest;
  digest.sequence = sequence;
  digest.echo = echo;
  digest.incarnation = kIncarnation;
  digest.peer_address = "10.1.0.26:8462";
  digest.store_revision = 81;
  digest.confirmed_age_ms = static_cast<int64_t>(sequence * 31 % 500);
  for (int i = 0; i < 8; ++i) {
    wire::primary_state& added = digest.primaries.emplace_back();
    added.group = fmt::format("group-{}", i);
    added.member = fmt::format("i-8d3f71dcb{}", i);
    added.epoch = 30 + i;
    added.position = {1, static_cast<int64_t>(sequence) * 3 + i};
    added.position_age_ms = static_cast<int64_t>(sequence * 17 % 400) + i;
    added.answer_age_ms = static_cast<int64_t>(sequence * 13 % 300) + i;
  }
  for (uint64_t i = 0; i < 75; ++i) {
    digest.usage.push_back({fmt::format("organisation-{}", i),
                            1'000 * i + (i < 25 ? sequence * (i + 1) : 0),
                            static_cast<int64_t>(i % 9)});
  }
  return digest;
}

size_t PlainBytes(const wire::fleet_digest& digest) {
  return wire::Encode({"vm-1", digest}).size();
}

// `one` and `other` are the packers of two VMs.
class DigestPackerTest : public testing::Test {
 protected:
  /// Sends a digest of `one`. Returns what arrives.
  std::optional<wire::fleet_digest> Send(uint64_t sequence,
                                         bool arrives = true) {
    const wire::fleet_digest digest = Digest(sequence);
    const auto packed = one_.Pack("other", digest, kStart);
    if (!packed) {
      other_.OnPlain("one", digest.incarnation, kStart);
      bytes_ = PlainBytes(digest);
      return digest;
    }
    bytes_ = wire::Encode({"vm-1", *packed}).size();
    return arrives ? other_.Unpack("one", *packed, kStart) : std::nullopt;
  }
  /// `other` says that it unpacks digests.
  void Offer() {
    ASSERT_TRUE(other_.TakeOffer("one", now_));
    now_ += seconds(11);
    EXPECT_FALSE(one_.Unpack("other", offer, kStart));
  }

  digest_packer one_;
  digest_packer other_;
  size_t bytes_ = 0;  ///< Of the message sent last.
  time_point now_ = kStart;
};

TEST_F(DigestPackerTest, DigestsArePlainUntilTheReceiverOffersToUnpack) {
  Send(1);
  EXPECT_EQ(bytes_, PlainBytes(Digest(1)));
  Offer();
  EXPECT_EQ(Send(2), Digest(2));
  EXPECT_LT(bytes_, PlainBytes(Digest(2)));
  // Whoever sends packed digests unpacks them too.
  EXPECT_TRUE(other_.Pack("one", Digest(1), kStart));
}

// Guards against digests that fill the links between regions: a relay sends
// about twenty a second.
TEST_F(DigestPackerTest, DigestRelativeToAnEarlierOneIsSmall) {
  Send(1);
  Offer();
  Send(2);
  one_.OnReceived("other", 2);
  for (uint64_t sequence = 3; sequence < 50; ++sequence) {
    EXPECT_EQ(Send(sequence), Digest(sequence));
    EXPECT_LT(bytes_, PlainBytes(Digest(sequence)) / 4) << sequence;
    if (sequence % 3 == 0) {
      one_.OnReceived("other", sequence - 1);
    }
  }
}

// Several digests are sent before the first one is confirmed.
TEST_F(DigestPackerTest, LateConfirmationIsABase) {
  Send(1);
  Offer();
  for (uint64_t sequence = 2; sequence < 7; ++sequence) {
    Send(sequence);
  }
  one_.OnReceived("other", 3);
  EXPECT_EQ(Send(7), Digest(7));
  EXPECT_LT(bytes_, PlainBytes(Digest(7)) / 4);
}

TEST_F(DigestPackerTest, LostDigestsAreNoBase) {
  Send(1);
  Offer();
  Send(2);
  one_.OnReceived("other", 2);
  for (uint64_t sequence = 3; sequence < 40; ++sequence) {
    Send(sequence, false);
  }
  EXPECT_EQ(Send(40), Digest(40));
  one_.OnReceived("other", 17);  // An old echo.
  EXPECT_EQ(Send(41), Digest(41));
}

TEST_F(DigestPackerTest, RestartedReceiverAsksForAWholeDigest) {
  Send(1);
  Offer();
  Send(2);
  one_.OnReceived("other", 2);
  digest_packer restarted;
  const auto packed = one_.Pack("other", Digest(3), kStart);
  EXPECT_FALSE(restarted.Unpack("one", *packed, kStart));
  EXPECT_TRUE(restarted.TakeOffer("one", kStart));
  EXPECT_FALSE(restarted.TakeOffer("one", kStart));
  EXPECT_TRUE(restarted.TakeOffer("one", kStart + seconds(1)));
  one_.Unpack("other", offer, kStart);
  EXPECT_EQ(
      restarted.Unpack("one", *one_.Pack("other", Digest(4), kStart), kStart),
      Digest(4));
}

// Guards against packed digests to a VM that went back to a version which does
// not know them.
TEST_F(DigestPackerTest, PlainDigestOfANewProcessEndsThePacking) {
  Send(1);
  Offer();
  ASSERT_TRUE(one_.Pack("other", Digest(2), kStart));
  one_.OnPlain("other", kIncarnation, kStart);
  EXPECT_TRUE(one_.Pack("other", Digest(3), kStart));
  one_.OnPlain("other", kIncarnation + 1, kStart);
  EXPECT_FALSE(one_.Pack("other", Digest(4), kStart));
}

// Guards against a VM that restarts while the store is away, and learns nothing
// from VMs that it does not know yet.
TEST_F(DigestPackerTest, VmThatIsNotHeardGetsPlainDigests) {
  Send(1);
  Offer();
  ASSERT_TRUE(one_.Pack("other", Digest(2), kStart + seconds(1)));
  EXPECT_FALSE(one_.Pack("other", Digest(3), kStart + seconds(3)));
}

// Guards against a small message that unpacks to many megabytes.
TEST_F(DigestPackerTest, HugeDigestIsNotUnpacked) {
  Send(1);
  Offer();
  wire::fleet_digest huge = Digest(2);
  huge.peer_address.assign(size_t{2} << 20, 'a');
  EXPECT_FALSE(one_.Pack("other", huge, kStart));
  const std::string bytes = wire::Encode({"", huge});
  std::string compressed(ZSTD_compressBound(bytes.size()), '\0');
  compressed.resize(ZSTD_compress(compressed.data(), compressed.size(),
                                  bytes.data(), bytes.size(), 3));
  EXPECT_FALSE(other_.Unpack("one", {2, 0, compressed}, kStart));
}

// A digest of a former process of the sender has the sequence of the base, but
// other bytes.
TEST_F(DigestPackerTest, WrongBaseIsNoticed) {
  Send(1);
  Offer();
  Send(2);
  one_.OnReceived("other", 2);
  wire::packed_digest packed = *one_.Pack("other", Digest(3), kStart);
  Send(4);
  packed.base = 4;
  EXPECT_FALSE(other_.Unpack("one", packed, kStart));
}

TEST_F(DigestPackerTest, DamagedBytesAreNoticed) {
  Send(1);
  Offer();
  Send(2);
  one_.OnReceived("other", 2);
  std::mt19937 random(7);
  for (uint64_t sequence = 3; sequence < 500; ++sequence) {
    wire::packed_digest packed = *one_.Pack("other", Digest(sequence), kStart);
    const size_t at = random() % packed.bytes.size();
    if (random() % 2 == 0) {
      packed.bytes.resize(at);
    } else {
      packed.bytes[at] =
          static_cast<char>(packed.bytes[at] ^ (1 + random() % 255));
    }
    const auto unpacked = other_.Unpack("one", packed, kStart);
    EXPECT_TRUE(!unpacked || *unpacked == Digest(sequence)) << sequence;
  }
}

// Two VMs that exchange digests every 100 ms over links that lose some, and
// restart now and then.
class packer_pair {
 public:
  explicit packer_pair(unsigned seed) : random_(seed) {}

  void Step(bool faults) {
    now_ += milliseconds(100);
    for (int from = 0; from < 2; ++from) {
      if (faults && Chance(0.02)) {
        const int64_t former = vms_[from]->incarnation;
        vms_[from] = std::make_unique<vm>();
        vms_[from]->incarnation = former + 1;
      }
      Send(from, faults);
    }
  }
  int lost = 0;   ///< Digests that arrived but could not be unpacked.
  int plain = 0;  ///< Digests that were not packed.

 private:
  struct vm {
    digest_packer packer;
    int64_t incarnation = kIncarnation;
    uint64_t sent = 0;
    uint64_t received = 0;
  };

  bool Chance(double probability) {
    return std::bernoulli_distribution(probability)(random_);
  }

  void Send(int from, bool faults) {
    vm& sender = *vms_[from];
    vm& receiver = *vms_[1 - from];
    wire::fleet_digest digest = Digest(++sender.sent, sender.received);
    digest.incarnation = sender.incarnation;
    const auto packed = sender.packer.Pack("peer", digest, now_);
    if (faults && Chance(0.2)) {
      return;
    }
    auto arrived = std::optional<wire::fleet_digest>(digest);
    if (packed) {
      arrived = receiver.packer.Unpack("peer", *packed, now_);
    } else {
      ++plain;
      receiver.packer.OnPlain("peer", digest.incarnation, now_);
    }
    if (arrived) {
      EXPECT_EQ(*arrived, digest);
      receiver.received = digest.sequence;
      receiver.packer.OnReceived("peer", digest.echo);
    } else {
      ++lost;
    }
    if (receiver.packer.TakeOffer("peer", now_) && !(faults && Chance(0.2))) {
      sender.packer.Unpack("peer", digest_packer::Offer(receiver.incarnation),
                           now_);
    }
  }

  std::mt19937 random_;
  time_point now_ = kStart;
  std::array<std::unique_ptr<vm>, 2> vms_ = {std::make_unique<vm>(),
                                             std::make_unique<vm>()};
};

// Guards against VMs that hear nothing of each other, or send whole digests for
// good, after losses and restarts.
TEST(DigestPackerFaultsTest, PackingRecovers) {
  for (unsigned seed = 1; seed <= 300; ++seed) {
    packer_pair test(seed);
    for (int i = 0; i < 100; ++i) {
      test.Step(true);
    }
    for (int i = 0; i < 110; ++i) {
      test.Step(false);
    }
    test.lost = test.plain = 0;
    for (int i = 0; i < 20; ++i) {
      test.Step(false);
    }
    EXPECT_EQ(test.lost, 0) << seed;
    EXPECT_EQ(test.plain, 0) << seed;
  }
}

}  // namespace
}  // namespace tarragondale::relay
