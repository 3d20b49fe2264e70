#include "daemon/stop_signal.h"

#include "daemon/log.h"
#include <boost/asio/posix/stream_descriptor.hpp>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <memory>
#include <sys/signalfd.h>

namespace rampgap {

namespace {

    sigset_t stopSignals()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        return signals;
    }

} // namespace

void blockStopSignals()
{
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

// A blocked signal is pending from the moment it is sent. A signal handler would run only once the process
// is scheduled, and the event loop would see the signal only after the requests that arrived in between.
bool isStopSignalPending()
{
    sigset_t pending;
    sigpending(&pending);
    return sigismember(&pending, SIGTERM) == 1 || sigismember(&pending, SIGINT) == 1;
}

void onStopSignal(boost::asio::io_context& io, std::function<void()> action)
{
    const sigset_t signals = stopSignals();
    const int descriptor = signalfd(-1, &signals, SFD_CLOEXEC | SFD_NONBLOCK);
    if (descriptor < 0) {
        logWarning("no_stop_signal", std::string("reason=\"") + std::strerror(errno) + "\"");
        return;
    }
    auto reader = std::make_shared<boost::asio::posix::stream_descriptor>(io, descriptor);
    auto info = std::make_shared<signalfd_siginfo>();
    reader->async_read_some(boost::asio::buffer(info.get(), sizeof(*info)), [reader, info, signals, action = std::move(action)](boost::system::error_code error, std::size_t) {
        // A second stop signal terminates the process at once.
        pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
        if (!error)
            action();
    });
}

} // namespace rampgap
