// Memory for each open link between VMs, and processor time of a message.
#include <fmt/format.h>

#include <memory>
#include <thread>

#include "src/capacity/population.h"
#include "src/capacity/roles.h"
#include "src/runtime/peer_transport.h"

namespace tarragondale::capacity {
namespace {

constexpr int kLinks = 100;
constexpr int kMessages = 20'000;
constexpr duration kSendLimit = seconds(5);

using runtime::peer_transport;

// Sends until the link is up; false after a time limit.
bool SendOnce(peer_transport& sender,
              const std::string& vm,
              const std::string& address,
              const wire::message_body& body) {
  const time_point limit = std::chrono::steady_clock::now() + kSendLimit;
  while (!sender.Send(vm, address, body)) {
    if (std::chrono::steady_clock::now() > limit) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(1));
  }
  return true;
}

}  // namespace

void MeasureLinks(figure_list& figures) {
  const wire::message_body body =
      wire::group_report{GroupName(0), {MakeReport(0)}};
  std::vector<std::unique_ptr<peer_transport>> receivers;
  std::vector<std::pair<std::string, std::string>> peers;  // VM, address.
  receivers.reserve(kLinks);
  peers.reserve(kLinks);
  for (int i = 0; i < kLinks; ++i) {
    receivers.push_back(std::make_unique<peer_transport>(
        VmName(i + 1), [](const wire::message& /*message*/) {}));
    if (receivers.back()->Start("127.0.0.1:0")) {
      fmt::print(stderr, "capacity: a transport does not start\n");
      return;
    }
    peers.emplace_back(VmName(i + 1),
                       fmt::format("127.0.0.1:{}", receivers.back()->port()));
  }
  peer_transport sender(VmName(0), [](const wire::message& /*message*/) {});
  if (sender.Start("127.0.0.1:0")) {
    return;
  }
  const int64_t resident = ResidentBytes();
  int linked = 0;
  for (const auto& [vm, address] : peers) {
    linked += SendOnce(sender, vm, address, body) ? 1 : 0;
  }
  figures.Add("links.resident",
              static_cast<double>(ResidentBytes() - resident) / kLinks, "bytes",
              fmt::format("{} of {} loopback links, both ends, kernel memory "
                          "not included",
                          linked, kLinks));
  int sent = 0;
  const cpu_timer timer;
  for (int i = 0; i < kMessages; ++i) {
    const auto& [vm, address] = peers[static_cast<size_t>(i % kLinks)];
    sent += sender.Send(vm, address, body) ? 1 : 0;
  }
  figures.Add(
      "links.send", timer.Microseconds() / kMessages, "us",
      fmt::format(
          "sending thread only, encoding included, {} of {} reports sent", sent,
          kMessages));
  sender.Stop();
  for (const auto& receiver : receivers) {
    receiver->Stop();
  }
}

}  // namespace tarragondale::capacity
