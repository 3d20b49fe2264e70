// Which agent leads a group: the first in the list that is not suspected to be gone.
#pragma once

#include "policy/verdict.h"

#include <map>
#include <string>
#include <vector>

namespace rampgap {

// Each process chooses by itself; two leaders at a time are harmless, since engines refuse
// the orders of the one with the lower fence.
class leader_choice {
public:
    // A leader that leaves reports unanswered for `patience` is passed over for `penalty`.
    leader_choice(milliseconds patience, milliseconds penalty);

    // The leader among `members`, which are in a fixed order; empty if there are none.
    std::string choose(const std::vector<std::string>& members, instant now);
    void noteReportSent(const std::string& leader, instant now);
    void noteAnswer(const std::string& leader);
    // The group has opened, so all its machines reach each other again: nobody is passed over.
    void forgive();

private:
    milliseconds m_patience;
    milliseconds m_penalty;
    std::map<std::string, instant> m_unansweredSince;
    std::map<std::string, instant> m_passedOverUntil;
};

} // namespace rampgap
