// What speaks against one request: the crashes of servers that were running it.
#pragma once

#include "policy/common/verdict.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace rampgap {

// A crash of one server that was running the request.
struct observed_crash {
    // hashOf the server's incarnation.
    std::uint32_t server = 0;
    // The request had just begun. A request that crashes servers usually does so with its first step.
    bool early = false;

    auto operator<=>(const observed_crash&) const = default;
};

// Crashes that block a request which had just begun each time and is the only suspect: the server
// alone may have caused a first crash, and each further one closes its whole group for seconds.
inline constexpr std::size_t blockingEarlyCrashes = 2;
// Crashes that block a request in any case.
inline constexpr std::size_t blockingCrashes = 3;
// A request that has not come again for this long is dropped together with its crashes.
inline constexpr std::chrono::minutes crashRetention { 10 };

class crash_evidence {
public:
    // How strong the evidence is: compared by the number of crashes, then by how many of them came as the request had just begun.
    struct weight {
        std::size_t crashes = 0;
        std::size_t early = 0;

        auto operator<=>(const weight&) const = default;
    };

    struct addition {
        // The server whose crash was dropped because too many are kept; empty if none was.
        std::optional<std::uint32_t> droppedServer;
    };

    // Adds a crash. Empty if that changed nothing, since the crash was known already.
    std::optional<addition> add(const observed_crash&);
    // Clears the request of these crashes, because another server has run it to the end since. True if
    // that changed anything.
    bool clear(const std::vector<observed_crash>&);

    const std::set<observed_crash>& crashes() const { return m_crashes; }
    // True if the request was running on this server as it crashed.
    bool concerns(std::uint32_t server) const { return find(server) != m_crashes.end(); }
    bool isCleared(std::uint32_t server) const { return m_cleared.contains(server); }
    bool anyCleared() const { return m_wasCleared; }
    std::vector<observed_crash> uncleared() const;
    std::vector<observed_crash> cleared() const;
    weight strength() const;
    // How long it is kept after the request was last seen.
    milliseconds retention() const;

private:
    std::set<observed_crash>::const_iterator find(std::uint32_t server) const;

    std::set<observed_crash> m_crashes;
    std::set<std::uint32_t> m_cleared;
    // Stays true when the crashes that it was cleared of are no longer kept.
    bool m_wasCleared = false;
};

} // namespace rampgap
