#include "policy/snapshot_choice.h"

#include <algorithm>

namespace rampgap {

namespace {

    // A change reaches a reader of each zone within some 10 ms, and has 2 s to be in force.
    constexpr milliseconds ownZoneFirst { 400 };
    // A fetch that failed is tried again; one that brought nothing, seldom.
    constexpr milliseconds retainedAgainAfter { 500 };

} // namespace

std::optional<std::string> snapshot_choice::noteTold(const std::string& host, bool sameZone, const state_summary& told, const state_summary& held, instant now)
{
    if (retainsOther(told, held, now))
        return host;
    if (told.position <= held.position)
        return std::nullopt;
    if (!m_missingSince || m_newest <= held.position)
        m_missingSince = now;
    m_newest = std::max(m_newest, told.position);
    m_host = host;
    // Who holds nothing yet cannot serve, and takes what it can get.
    if (sameZone || held.position == store_position {} || waitedEnough(now))
        return host;
    return std::nullopt;
}

std::optional<std::string> snapshot_choice::due(store_position held, instant now) const
{
    if (m_newest <= held || !waitedEnough(now))
        return std::nullopt;
    return m_host;
}

bool snapshot_choice::retainsOther(const state_summary& told, const state_summary& held, instant now)
{
    if (told.position != held.position || told.retained == 0 || told.retained == held.retained)
        return false;
    if (told == m_toldOther && held == m_heldThen && now - m_askedForOther < retainedAgainAfter)
        return false;
    m_toldOther = told;
    m_heldThen = held;
    m_askedForOther = now;
    return true;
}

bool snapshot_choice::waitedEnough(instant now) const
{
    return m_missingSince && now - *m_missingSince >= ownZoneFirst;
}

} // namespace rampgap
