// Permits: they show an agent, by its own clock, that the entry VM that sends a request was running a moment ago.
#pragma once

#include "policy/common/verdict.h"

#include <string>
#include <string_view>

namespace rampgap {

// How long a permit is valid, by the issuing agent's clock.
inline constexpr milliseconds permitLifetime { 4'000 };
// An entry VM asks for a new permit when its current one is older than this.
inline constexpr milliseconds permitRenewalAge { 1'500 };

// Issues and checks permits of one agent incarnation.
class permit_issuer {
public:
    permit_issuer(std::uint64_t incarnation, instant startedAt);

    std::string issue(instant now) const;
    // Fails with `stale_permit` once the permit has expired, with `not_ready` if it is of an earlier incarnation.
    result<void> check(std::string_view permit, instant now) const;

private:
    std::uint64_t m_incarnation;
    instant m_startedAt;
};

} // namespace rampgap
