#include "policy/requests/survival_table.h"

#include <utility>

namespace rampgap {

namespace {

    // Parts of one generation. A VM with 10 requests a second, each with one part of its own, keeps the shared
    // parts of the last ten minutes in it.
    constexpr std::size_t maxParts = 8'192;

} // namespace

void survival_table::record(request_fingerprint part, instant now)
{
    if (!m_recordingSince)
        m_recordingSince = now;
    if (m_newer.size() >= maxParts && !m_newer.contains(part))
        m_older = std::exchange(m_newer, {});
    m_newer.insert_or_assign(part, entry { now, std::nullopt });
}

const survival_table::entry* survival_table::find(request_fingerprint part) const
{
    for (const generation* parts : { &m_newer, &m_older }) {
        if (const auto found = parts->find(part); found != parts->end())
            return &found->second;
    }
    return nullptr;
}

bool survival_table::excuses(request_fingerprint part, const excused_crash& crash)
{
    const entry* known = find(part);
    if (!known)
        return false;
    if (crash.at <= known->survivedAt)
        return true;
    if (known->firstExcused)
        return crash.at < known->firstExcused->at + sameMoment;
    m_newer.insert_or_assign(part, entry { known->survivedAt, crash });
    return true;
}

std::optional<excused_crash> survival_table::firstExcused(request_fingerprint part) const
{
    const entry* known = find(part);
    return known ? known->firstExcused : std::nullopt;
}

} // namespace rampgap
