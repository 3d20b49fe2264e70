#include "policy/snapshot_choice.h"

#include <algorithm>

namespace rampgap {

namespace {

    // A change reaches a reader of each zone within some 10 ms, and has 2 s to be in force.
    constexpr milliseconds ownZoneFirst { 400 };

} // namespace

std::optional<std::string> snapshot_choice::noteTold(const std::string& host, bool sameZone, store_position told, store_position held, instant now)
{
    if (told <= held)
        return std::nullopt;
    if (!m_missingSince || m_newest <= held)
        m_missingSince = now;
    m_newest = std::max(m_newest, told);
    m_host = host;
    // Who holds nothing yet cannot serve, and takes what it can get.
    if (sameZone || held == store_position {} || waitedEnough(now))
        return host;
    return std::nullopt;
}

std::optional<std::string> snapshot_choice::due(store_position held, instant now) const
{
    if (m_newest <= held || !waitedEnough(now))
        return std::nullopt;
    return m_host;
}

bool snapshot_choice::waitedEnough(instant now) const
{
    return m_missingSince && now - *m_missingSince >= ownZoneFirst;
}

} // namespace rampgap
