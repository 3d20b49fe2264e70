// Looks whether the process at a server's address works.
#pragma once

#include "daemon/http_message.h"

#include <boost/asio/io_context.hpp>
#include <string>

namespace rampgap {

enum class server_sight {
    // Nothing listens: its process has ended.
    gone,
    // Its process works: it answered, or closed each new connection itself.
    answers,
    // Connections are let in, and it says nothing: it is slow, or about to end.
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

// Sends `ping`, which any server that works answers at once.
awaitable<look_outcome> lookAtServer(boost::asio::io_context&, std::string address, http_request ping);

} // namespace rampgap
