// Permits: an agent's proof, on its own clock, that an entry VM was awake a moment ago.
#pragma once

#include "policy/verdict.h"

#include <string>
#include <string_view>

namespace rampgap {

// How long a permit is good, on the issuing agent's clock.
inline constexpr milliseconds permitLife { 4'000 };
// An entry VM asks for a new permit when its own is older than this.
inline constexpr milliseconds permitRenewal { 1'500 };

// Issues and checks permits of one agent incarnation.
class permit_office {
public:
    permit_office(std::uint64_t incarnation, instant startedAt);

    std::string issue(instant now) const;
    // Fails with `stale_permit` past its life, with `not_ready` for an earlier incarnation.
    result<void> check(std::string_view permit, instant now) const;

private:
    std::uint64_t m_incarnation;
    instant m_startedAt;
};

} // namespace rampgap
