// Tests of the base library.
#include "tarragondale/base.h"

#include <gtest/gtest.h>

#include <sched.h>
#include <sys/resource.h>

#include <atomic>
#include <fstream>
#include <set>
#include <sstream>
#include <thread>

#include "tarragondale/base/ring.h"

namespace tarragondale {
namespace {

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string RowForDocs(const result_code_info& row) {
  return fmt::format("| {} | `{}` | `{}` | {} | {} | {} | {} |",
                     static_cast<int>(row.code), row.name,
                     OutcomeName(row.result), row.http_status,
                     row.retry_later ? "yes" : "no", row.meaning, row.action);
}

// Guards against a lookup that misses a row: the lookup is a binary search.
TEST(ResultCodeTest, TableIsOrderedAndNamesAreUnique) {
  std::set<std::string_view> names;
  int previous = -1;
  for (const result_code_info& row : ResultCodes()) {
    EXPECT_GT(static_cast<int>(row.code), previous);
    previous = static_cast<int>(row.code);
    EXPECT_TRUE(names.insert(row.name).second) << row.name;
    EXPECT_EQ(InfoOf(row.code).name, row.name);
    EXPECT_EQ(ResultCodeFromNumber(previous), row.code);
  }
  EXPECT_FALSE(ResultCodeFromNumber(12345));
}

// Guards against docs that differ from the code.
TEST(ResultCodeTest, DocsHoldExactlyTheTable) {
  const std::string docs =
      ReadFile(TARRAGONDALE_SOURCE_DIR "/docs/result-codes.md");
  size_t rows = 0;
  for (const result_code_info& row : ResultCodes()) {
    EXPECT_NE(docs.find(RowForDocs(row) + "\n"), std::string::npos)
        << "missing row: " << RowForDocs(row);
    ++rows;
  }
  size_t lines = 0;
  std::istringstream in(docs);
  for (std::string line; std::getline(in, line);) {
    lines += line.starts_with("| ") && std::isdigit(line[2]) ? 1 : 0;
  }
  EXPECT_EQ(lines, rows);
}

// Guards against a refusal whose HTTP status invites a blind retry: an unknown
// outcome never carries Retry-After.
TEST(ResultCodeTest, UnknownOutcomesDoNotAskForARetry) {
  for (const result_code_info& row : ResultCodes()) {
    if (row.result == outcome::kUnknown) {
      EXPECT_FALSE(row.retry_later) << row.name;
    }
  }
}

TEST(IdsTest, RequestIdSurvivesTheRoundTrip) {
  const request_id id{0xFEDCBA9876543210ULL, 42};
  EXPECT_EQ(ToText(id), "fedcba9876543210000000000000002a");
  EXPECT_EQ(RequestIdFromText(ToText(id)), id);
  EXPECT_FALSE(RequestIdFromText("fedc"));
  EXPECT_FALSE(RequestIdFromText("+edcba9876543210000000000000002a"));
  EXPECT_FALSE(RequestIdFromText("gedcba9876543210000000000000002a"));
}

// Vectors of RFC 4648, section 10, without padding for base64url.
TEST(DigestTest, Base64MatchesTheStandard) {
  EXPECT_EQ(Base64Encode("f"), "Zg==");
  EXPECT_EQ(Base64Encode("fooba"), "Zm9vYmE=");
  EXPECT_EQ(Base64Encode("foobar"), "Zm9vYmFy");
  EXPECT_EQ(Base64UrlEncode("f"), "Zg");
  EXPECT_EQ(Base64Decode("Zm9vYmE="), "fooba");
  EXPECT_EQ(Base64Decode(""), "");
  EXPECT_EQ(Base64UrlDecode("Zm9vYg"), "foob");
}

// Guards against two texts that decode to one value, which would let a caller
// alter a signed token without a visible change.
TEST(DigestTest, MalformedTextIsRefused) {
  EXPECT_FALSE(Base64Decode("Zg"));
  EXPECT_FALSE(Base64Decode("Z==="));
  EXPECT_FALSE(Base64Decode("Zh=="));
  EXPECT_FALSE(Base64UrlDecode("Z"));
  EXPECT_FALSE(Base64UrlDecode("Zh"));
  EXPECT_FALSE(Base64UrlDecode("Z+"));
  EXPECT_FALSE(HexDecode("abc"));
  EXPECT_FALSE(HexDecode("zz"));
  EXPECT_EQ(HexDecode("00ff"), std::string("\0\xFF", 2));
}

// Vectors of RFC 4231, test cases 2 and 6 (a key longer than a block).
TEST(DigestTest, HmacMatchesTheStandard) {
  EXPECT_EQ(HexEncode(HmacSha256("Jefe", "what do ya want for nothing?")),
            "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
  EXPECT_EQ(HexEncode(HmacSha256(
                std::string(131, '\xAA'),
                "Test Using Larger Than Block-Size Key - Hash Key First")),
            "60e431591ee0b67f0d8a26aacbf5b77f8e0bc6213728c5140546040f0ee37f54");
  EXPECT_EQ(HexEncode(Sha256("abc")),
            "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  EXPECT_TRUE(EqualConstantTime("abc", "abc"));
  EXPECT_FALSE(EqualConstantTime("abc", "abd"));
  EXPECT_FALSE(EqualConstantTime("abc", "ab"));
}

// Guards against a producer that waits when its consumer is slow.
TEST(RingTest, FullRingRefusesAndKeepsOrder) {
  ring<int> items(2);
  EXPECT_TRUE(items.TryPush(1));
  EXPECT_TRUE(items.TryPush(2));
  EXPECT_FALSE(items.TryPush(3));
  EXPECT_EQ(items.TryPop(), 1);
  EXPECT_TRUE(items.TryPush(4));
  EXPECT_EQ(items.TryPop(), 2);
  EXPECT_EQ(items.TryPop(), 4);
  EXPECT_FALSE(items.TryPop());
}

// Guards against lost or doubled items between threads.
TEST(RingTest, EveryItemArrivesOnceFromTwoProducers) {
  constexpr int kItems = 20000;
  ring<int> items(64);
  const auto produce = [&](int first) {
    for (int i = first; i < 2 * kItems; i += 2) {
      while (!items.TryPush(i)) {
        std::this_thread::yield();
      }
    }
  };
  std::thread even(produce, 0);
  std::thread odd(produce, 1);
  std::vector<int> seen(2 * kItems, 0);
  for (int i = 0; i < 2 * kItems; ++i) {
    const auto item =
        items.PopUntil(std::chrono::steady_clock::now() + seconds(30));
    ASSERT_TRUE(item);
    ++seen[static_cast<size_t>(*item)];
  }
  even.join();
  odd.join();
  for (const int count : seen) {
    EXPECT_EQ(count, 1);
  }
}

// Guards against an event thread that stands still on a busy machine because it
// yields the processor each time it finds the ring empty.
TEST(RingTest, EmptyRingKeepsTheProcessor) {
  constexpr long kCalls = 100;
  cpu_set_t before;
  ASSERT_EQ(sched_getaffinity(0, sizeof before, &before), 0);
  const int processor = sched_getcpu();
  ASSERT_GE(processor, 0);
  cpu_set_t one;
  CPU_ZERO(&one);
  CPU_SET(static_cast<size_t>(processor), &one);
  ASSERT_EQ(sched_setaffinity(0, sizeof one, &one), 0);
  std::atomic<bool> running{false};
  std::atomic<bool> ends{false};
  std::thread competitor([&] {  // On the same processor.
    running = true;
    while (!ends) {
    }
  });
  while (!running) {
    std::this_thread::yield();
  }
  const auto switches = [] {
    rusage usage{};
    getrusage(RUSAGE_THREAD, &usage);
    return usage.ru_nvcsw + usage.ru_nivcsw;
  };
  ring<int> items(2);
  const long at_start = switches();
  for (long i = 0; i < kCalls; ++i) {
    EXPECT_FALSE(items.TryPop());
  }
  EXPECT_LT(switches() - at_start, kCalls / 10);
  ends = true;
  competitor.join();
  sched_setaffinity(0, sizeof before, &before);
}

TEST(LogTest, LevelsAndPartsHaveNames) {
  EXPECT_EQ(LogLevelFromName("warning"), log_level::kWarning);
  EXPECT_FALSE(LogLevelFromName("loud"));
  EXPECT_EQ(LogPartName(log_part::kStandin), "standin");
}

// Guards against addresses that one part of the program takes and another
// refuses.
TEST(AddressTest, HostAndPortAreSplit) {
  const auto plain = SplitAddress("10.1.0.2:8465");
  ASSERT_TRUE(plain);
  EXPECT_EQ(plain->host, "10.1.0.2");
  EXPECT_EQ(plain->port, 8465);
  EXPECT_EQ(SplitAddress("[::1]:80")->host, "::1");
  EXPECT_EQ(SplitAddress("10.1.0.2:0")->port, 0);
  for (const char* bad : {"", "10.1.0.2", "10.1.0.2:", "10.1.0.2:x",
                          "10.1.0.2:80x", "10.1.0.2:65536", "10.1.0.2:-1"}) {
    EXPECT_FALSE(SplitAddress(bad)) << bad;
  }
}

}  // namespace
}  // namespace tarragondale
