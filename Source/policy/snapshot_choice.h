// From whom to fetch the fleet's state when others hold a newer state.
#pragma once

#include "policy/published_state.h"
#include "policy/verdict.h"

#include <optional>
#include <string>

namespace rampgap {

// Load pattern: many changes of a large configuration within a second, at a hundred
// processes. Bytes between zones are dear and links narrow, so a process first waits for a
// peer of its own zone to hold the change.
// What a peer retains of before the store was restored is fetched from anyone at once: it is
// little, and until it is here a withdrawn key may be let in.
class snapshot_choice {
public:
    // A peer told what it holds. The host to fetch from now, if any.
    std::optional<std::string> noteTold(const std::string& host, bool sameZone, const state_summary& told, const state_summary& held, instant now);
    // The host to fetch from where nobody of the own zone had the change in time.
    std::optional<std::string> due(store_position held, instant now) const;

private:
    bool waitedEnough(instant now) const;
    // True if a peer retains what is unknown here, and was not just asked for it.
    bool retainsOther(const state_summary& told, const state_summary& held, instant now);

    // The newest position that was told, since when one is missing here, and who told it.
    store_position m_newest;
    std::optional<instant> m_missingSince;
    std::string m_host;
    // The last two summaries that differed in what is retained, and when it was asked for.
    state_summary m_toldOther;
    state_summary m_heldThen;
    instant m_askedForOther {};
};

} // namespace rampgap
