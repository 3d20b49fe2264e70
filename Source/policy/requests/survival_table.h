// Remembers which parts of prompts servers lately began to answer without crashing.
#pragma once

#include "policy/common/verdict.h"
#include "policy/requests/request_fingerprint.h"

#include <map>
#include <optional>

namespace rampgap {

// Servers that crash within this time of each other are taken to have crashed for a common reason.
inline constexpr milliseconds sameMoment { 1'000 };

// A crash that is no evidence against a part, since the part was survived just before.
struct excused_crash {
    // hashOf the server's incarnation.
    std::uint32_t server = 0;
    instant at;

    bool operator==(const excused_crash&) const = default;
};

// Keeps two generations of parts: when the newer one is full, it replaces the older one, whose parts are forgotten.
class survival_table {
public:
    void record(request_fingerprint part, instant now);
    // True if the crash of a server that had just begun to answer a prompt with the part is no evidence against the part:
    // either the part was survived after that crash, or all crashes since it was last survived came within `sameMoment`.
    bool excuses(request_fingerprint part, const excused_crash&);
    // The first crash since the part was last survived; empty if there was none, or if it was never survived.
    std::optional<excused_crash> firstExcused(request_fingerprint part) const;
    // How long parts have been recorded here: how much it means that one was never seen to survive.
    duration recordingFor(instant now) const { return m_recordingSince ? now - *m_recordingSince : duration::zero(); }

private:
    struct entry {
        instant survivedAt;
        std::optional<excused_crash> firstExcused;
    };
    using generation = std::map<request_fingerprint, entry>;

    const entry* find(request_fingerprint) const;

    generation m_newer;
    generation m_older;
    std::optional<instant> m_recordingSince;
};

} // namespace rampgap
