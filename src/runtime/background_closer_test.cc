// Tests of releases in the background.
#include "src/runtime/background_closer.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <string>
#include <thread>

namespace tarragondale::runtime {
namespace {

TEST(BackgroundCloserTest, ReleasesRunInOrder) {
  const background_closer closer;
  std::string ran;
  for (const char each : {'a', 'b', 'c'}) {
    closer.Add([&ran, each] { ran += each; });
  }
  ASSERT_TRUE(closer.Wait(seconds(30)));
  EXPECT_EQ(ran, "abc");
}

// Guards against a daemon that stands still because the close of one socket
// never returns: a caller held the lock of all links meanwhile.
TEST(BackgroundCloserTest, ReleaseThatBlocksDelaysNoCaller) {
  const auto blocked = std::make_shared<std::promise<void>>();
  const auto ran = std::make_shared<std::atomic<bool>>(false);
  {
    const background_closer closer;
    closer.Add([wait = blocked->get_future().share()] { wait.wait(); });
    closer.Add([ran] { *ran = true; });
    EXPECT_FALSE(closer.Wait(milliseconds(50)));
    EXPECT_FALSE(*ran);
  }
  // Releases that were added run although the closer is gone.
  blocked->set_value();
  for (int i = 0; i < 3'000 && !*ran; ++i) {
    std::this_thread::sleep_for(milliseconds(10));
  }
  EXPECT_TRUE(*ran);
}

}  // namespace
}  // namespace tarragondale::runtime
