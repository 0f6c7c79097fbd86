// Loopback servers.
#include "review/standin-2/service.h"

#include <strings.h>

#include <memory>
#include <thread>
#include <utility>

namespace tarragondale::review {

void service::Start() {
  std::thread([this] {
    while (auto accepted = listener_.Accept()) {
      std::thread([this, socket = std::make_shared<line_socket>(
                             std::move(*accepted))] {
        Serve(*socket);
      }).detach();
    }
  }).detach();
}

void http_service::Serve(line_socket& socket) {
  constexpr milliseconds kIdle(600'000);
  while (const auto first = socket.Line(kIdle)) {
    const auto words = Words(*first);
    request call;
    size_t length = 0;
    while (auto header = socket.Line()) {
      if (header->empty()) {
        break;
      }
      const size_t colon = header->find(':');
      if (strcasecmp(header->substr(0, colon).c_str(), "content-length") == 0) {
        length = std::stoul(header->substr(colon + 1));
      }
    }
    auto body = socket.Bytes(length);
    if (words.size() != 3 || !body) {
      return;
    }
    const size_t mark = words[1].find('?');
    call.method = words[0];
    call.path = words[1].substr(0, mark);
    call.query = mark == std::string::npos ? "" : words[1].substr(mark + 1);
    call.body = std::move(*body);
    const answer result = Handle(call);
    const std::string text = result.body.dump();
    if (!socket.Send("HTTP/1.1 " + std::to_string(result.status) +
                     " -\r\nContent-Type: application/json\r\n"
                     "Content-Length: " +
                     std::to_string(text.size()) + "\r\n\r\n" + text)) {
      return;
    }
  }
}

std::string Parameter(const std::string& query, const std::string& name) {
  const std::string all = "&" + query;
  const std::string wanted = "&" + name + "=";
  const size_t start = all.find(wanted);
  if (start == std::string::npos) {
    return {};
  }
  const std::string rest = all.substr(start + wanted.size());
  std::string value = rest.substr(0, rest.find('&'));
  constexpr int kHex = 16;
  for (size_t at = 0; (at = value.find('%', at)) != std::string::npos; ++at) {
    const auto decoded = std::stoi(value.substr(at + 1, 2), nullptr, kHex);
    value.replace(at, 3, 1, static_cast<char>(decoded));
  }
  return value;
}

}  // namespace tarragondale::review
