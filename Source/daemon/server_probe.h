// Probes whether the process at a server's address works.
#pragma once

#include "daemon/http_message.h"

#include <boost/asio/io_context.hpp>
#include <string>

namespace rampgap {

enum class server_liveness {
    // The connection was refused: nothing listens, so the process has ended.
    gone,
    // The process works: it answered, or it accepted and closed each connection.
    answers,
    // The connection was made but not answered: the process is slow, or about to end.
    listens,
    // The server could not be reached, or the address is invalid.
    unknown,
};

// The result of a probe.
struct server_probe {
    server_liveness liveness = server_liveness::unknown;
    // Why the liveness is unknown; empty otherwise.
    std::string reason;

    bool operator==(const server_probe&) const = default;
};

// Sends `probeRequest`, which any working server answers at once.
awaitable<server_probe> probeServer(boost::asio::io_context&, std::string address, http_request probeRequest);

} // namespace rampgap
