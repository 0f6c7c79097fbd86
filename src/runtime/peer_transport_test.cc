// Tests of the transport between VMs over loopback.
#include "src/runtime/peer_transport.h"

#include <gtest/gtest.h>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/push.h>

#include <functional>

#include "tarragondale/base/ring.h"

namespace tarragondale::runtime {
namespace {

constexpr duration kLimit = seconds(20);

// Polls until the condition holds; a test never depends on how long that takes.
bool WaitFor(const std::function<bool()>& condition) {
  const time_point end = std::chrono::steady_clock::now() + kLimit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(1));
  }
  return true;
}

struct endpoint_fake {
  explicit endpoint_fake(const std::string& name)
      : inbox(1024), transport(name, [this](wire::message message) {
          inbox.TryPush(std::move(message));
        }) {}

  std::string address() const {
    return "127.0.0.1:" + std::to_string(transport.port());
  }

  ring<wire::message> inbox;
  peer_transport transport;
};

// An address that was in use a moment ago, so that nothing listens there.
std::string UnusedAddress() {
  endpoint_fake reserved("vm-b");
  EXPECT_FALSE(reserved.transport.Start("127.0.0.1:0"));
  return reserved.address();
}

wire::message_body Interest(const std::string& group) {
  return wire::group_interest{{group}};
}

// Guards against messages that are lost, doubled or reordered on a live link.
TEST(PeerTransportTest, MessagesArriveOnceInOrder) {
  endpoint_fake a("vm-a");
  endpoint_fake b("vm-b");
  ASSERT_FALSE(a.transport.Start("127.0.0.1:0"));
  ASSERT_FALSE(b.transport.Start("127.0.0.1:0"));
  ASSERT_TRUE(WaitFor([&] {
    return a.transport.Send("vm-b", b.address(), Interest("first"));
  }));
  for (int i = 0; i < 500; ++i) {
    EXPECT_TRUE(
        a.transport.Send("vm-b", b.address(), Interest(std::to_string(i))));
  }
  const time_point end = std::chrono::steady_clock::now() + kLimit;
  for (int i = -1; i < 500; ++i) {
    const auto message = b.inbox.PopUntil(end);
    ASSERT_TRUE(message) << i;
    EXPECT_EQ(message->sender, "vm-a");
    EXPECT_EQ(message->body, Interest(i < 0 ? "first" : std::to_string(i)));
  }
  EXPECT_FALSE(b.inbox.TryPop());
}

// Guards against a refusal "not sent" for a message that is delivered later:
// a message for a VM that is not there must not wait for it.
TEST(PeerTransportTest, RefusedMessagesNeverArrive) {
  endpoint_fake a("vm-a");
  ASSERT_FALSE(a.transport.Start("127.0.0.1:0"));
  const std::string address = UnusedAddress();
  EXPECT_FALSE(a.transport.Send("vm-b", address, Interest("early")));
  endpoint_fake b("vm-b");
  ASSERT_FALSE(b.transport.Start(address));
  ASSERT_TRUE(WaitFor(
      [&] { return a.transport.Send("vm-b", address, Interest("late")); }));
  const auto first =
      b.inbox.PopUntil(std::chrono::steady_clock::now() + kLimit);
  ASSERT_TRUE(first);
  EXPECT_EQ(first->body, Interest("late"));
}

// Guards against an old link that keeps messages for a restarted VM.
TEST(PeerTransportTest, LinkWorksAfterTheOtherVmRestarts) {
  endpoint_fake a("vm-a");
  ASSERT_FALSE(a.transport.Start("127.0.0.1:0"));
  std::string address;
  {
    endpoint_fake b("vm-b");
    ASSERT_FALSE(b.transport.Start("127.0.0.1:0"));
    address = b.address();
    ASSERT_TRUE(WaitFor(
        [&] { return a.transport.Send("vm-b", address, Interest("one")); }));
  }
  endpoint_fake b("vm-b");
  ASSERT_FALSE(b.transport.Start(address));
  ASSERT_TRUE(WaitFor([&] {
    a.transport.Send("vm-b", address, Interest("two"));
    return b.inbox.TryPop().has_value();
  }));
}

// Guards against a crash or a stop on bytes that are no message.
TEST(PeerTransportTest, GarbageIsCountedAndDropped) {
  endpoint_fake a("vm-a");
  endpoint_fake b("vm-b");
  ASSERT_FALSE(a.transport.Start("127.0.0.1:0"));
  ASSERT_FALSE(b.transport.Start("127.0.0.1:0"));
  nng_socket raw;
  ASSERT_EQ(nng_push0_open(&raw), 0);
  ASSERT_EQ(nng_dial(raw, ("tcp://" + b.address()).c_str(), nullptr, 0), 0);
  std::string garbage = "\x94\xFF garbage";
  std::string future = wire::Encode({"vm-x", Interest("g")});
  future[1] = 99;
  ASSERT_EQ(nng_send(raw, garbage.data(), garbage.size(), 0), 0);
  ASSERT_EQ(nng_send(raw, future.data(), future.size(), 0), 0);
  EXPECT_TRUE(
      WaitFor([&] { return b.transport.metrics().undecodable.load() == 2; }));
  nng_close(raw);
  EXPECT_TRUE(WaitFor(
      [&] { return a.transport.Send("vm-b", b.address(), Interest("fine")); }));
  EXPECT_TRUE(b.inbox.PopUntil(std::chrono::steady_clock::now() + kLimit));
}

// Guards against a link that stays in use although nothing comes back.
TEST(PeerTransportTest, UnresponsiveLinkIsDialledAnew) {
  endpoint_fake a("vm-a");
  endpoint_fake b("vm-b");
  ASSERT_FALSE(a.transport.Start("127.0.0.1:0"));
  ASSERT_FALSE(b.transport.Start("127.0.0.1:0"));
  ASSERT_TRUE(WaitFor(
      [&] { return a.transport.Send("vm-b", b.address(), Interest("x")); }));
  const time_point later = std::chrono::steady_clock::now() + seconds(3);
  a.transport.Maintain(later, seconds(2), seconds(60));
  EXPECT_EQ(a.transport.metrics().relinked.load(), 1U);
  EXPECT_TRUE(WaitFor(
      [&] { return a.transport.Send("vm-b", b.address(), Interest("y")); }));
}

// Guards against a VM that stays unreachable because a dialler stopped trying.
TEST(PeerTransportTest, LinkThatDoesNotComeUpIsDialledAnew) {
  endpoint_fake a("vm-a");
  ASSERT_FALSE(a.transport.Start("127.0.0.1:0"));
  const std::string address = UnusedAddress();
  EXPECT_FALSE(a.transport.Send("vm-b", address, Interest("x")));
  const time_point later = std::chrono::steady_clock::now() + seconds(3);
  a.transport.Maintain(later, seconds(2), seconds(60));
  EXPECT_EQ(a.transport.metrics().relinked.load(), 1U);
}

}  // namespace
}  // namespace tarragondale::runtime
