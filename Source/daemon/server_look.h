// Looks whether anything listens at a server's address.
#pragma once

#include "daemon/http_message.h"

#include <boost/asio/io_context.hpp>
#include <string>

namespace rampgap {

enum class server_sight {
    // Nothing listens: its process has ended.
    gone,
    listens,
    // It may be cut off, or the address is none.
    unknown,
};

struct look_outcome {
    server_sight sight = server_sight::unknown;
    // Why nothing is known; empty if something is.
    std::string reason;

    bool operator==(const look_outcome&) const = default;
};

awaitable<look_outcome> lookAtServer(boost::asio::io_context&, std::string address);

} // namespace rampgap
