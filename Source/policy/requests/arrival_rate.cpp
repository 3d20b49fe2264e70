#include "policy/requests/arrival_rate.h"

#include <cmath>

namespace rampgap {

namespace {

    constexpr std::chrono::duration<double> memory { 2 };

} // namespace

void arrival_rate::record(instant now)
{
    m_perSecond = perSecond(now) + 1 / memory.count();
    m_updatedAt = now;
}

double arrival_rate::perSecond(instant now) const
{
    return m_perSecond * std::exp(-(now - m_updatedAt) / memory);
}

} // namespace rampgap
