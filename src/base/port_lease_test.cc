// Tests of the ports that tests lease.
#include "src/base/port_lease.h"

#include <gtest/gtest.h>

#include <fstream>
#include <set>

namespace tarragondale {
namespace {

// Guards against tests that lose a port to a socket of another process before
// their daemon listens on it.
TEST(PortLeaseTest, KernelHandsOutNoLeasedPort) {
  std::ifstream range("/proc/sys/net/ipv4/ip_local_port_range");
  int first = 0;
  range >> first;
  ASSERT_GT(first, port_lease::kLastPort);
}

TEST(PortLeaseTest, PortIsLeasedOnce) {
  port_lease first;
  port_lease second;
  std::set<uint16_t> ports;
  for (int i = 0; i < 50; ++i) {
    EXPECT_TRUE(ports.insert(first.Take()).second);
    EXPECT_TRUE(ports.insert(second.Take()).second);
  }
}

}  // namespace
}  // namespace tarragondale
