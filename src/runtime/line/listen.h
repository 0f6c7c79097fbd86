// Opens a listening socket.
#ifndef TARRAGONDALE_SRC_RUNTIME_LINE_LISTEN_H_
#define TARRAGONDALE_SRC_RUNTIME_LINE_LISTEN_H_

#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "tarragondale/base.h"

namespace tarragondale::runtime {

/// @brief Listens on `address` (IP:port). Failure: `setting_invalid`.
/// @param backlog Connections that may wait to be accepted.
status ListenOn(boost::asio::ip::tcp::acceptor& acceptor,
                const std::string& address,
                int backlog);

}  // namespace tarragondale::runtime

#endif  // TARRAGONDALE_SRC_RUNTIME_LINE_LISTEN_H_
