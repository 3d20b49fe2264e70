// Virtual time: actions in the order of their instants.
#pragma once

#include "policy/common/verdict.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace rampgap::model {

class event_queue {
public:
    instant now() const { return m_now; }
    // Actions of one instant run in the order in which they were added.
    void at(instant, std::function<void()>);
    void after(duration pause, std::function<void()> action) { at(m_now + pause, std::move(action)); }
    void runUntil(instant);

private:
    struct event {
        instant at;
        std::uint64_t number;
        std::function<void()> action;

        bool operator>(const event& other) const { return at != other.at ? at > other.at : number > other.number; }
    };

    instant m_now {};
    std::uint64_t m_number = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
};

} // namespace rampgap::model
