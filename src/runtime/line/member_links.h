// Connections to database members.
#ifndef TARRAGONDALE_SRC_RUNTIME_LINE_MEMBER_LINKS_H_
#define TARRAGONDALE_SRC_RUNTIME_LINE_MEMBER_LINKS_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <unordered_map>

#include "src/runtime/line/connection.h"
#include "tarragondale/interactive.h"

namespace tarragondale::runtime {

/// @brief Carries out the broker's commands on links. Used by one thread.
class member_links {
 public:
  using handler = std::function<void(const interactive::event&)>;

  member_links(boost::asio::io_context& context, handler on_event)
      : context_(context), on_event_(std::move(on_event)) {}

  void Open(const interactive::open_link& command);
  void Send(const interactive::send_link& command);
  void Close(interactive::link_id id);

 private:
  struct link {
    std::shared_ptr<line_connection> connection;
    platform::member_reader reader;
    bool open = false;
  };

  void OnLine(interactive::link_id id, const std::string& line);
  void Fail(interactive::link_id id, const std::string& reason);

  boost::asio::io_context& context_;
  handler on_event_;
  std::unordered_map<interactive::link_id, link> links_;
};

}  // namespace tarragondale::runtime

#endif  // TARRAGONDALE_SRC_RUNTIME_LINE_MEMBER_LINKS_H_
