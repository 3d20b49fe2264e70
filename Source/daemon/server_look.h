// Looks whether anything listens at a server's address.
#pragma once

#include "daemon/http_message.h"

#include <boost/asio/io_context.hpp>

namespace rampgap {

enum class server_sight {
    // Nothing listens: its process has ended.
    gone,
    listens,
    // It may be cut off, or the address is none.
    unknown,
};

awaitable<server_sight> lookAtServer(boost::asio::io_context&, std::string address);

} // namespace rampgap
