// Simulates the engines of a group in lock-step and how they carry out the orders of a placement change.
#pragma once

#include "policy/groups/hold_cleanup.h"
#include "policy/groups/map_switch.h"

#include <map>
#include <random>

namespace rampgap {

struct model_engine {
    std::uint64_t fence = 0;
    std::uint64_t inUse = 0;
    std::uint64_t highest = 0;
    std::uint64_t prepared = 0;
    std::uint64_t armed = 0;
    std::uint64_t armedStep = 0;
    std::uint64_t held = 0;
};

class group_model {
public:
    explicit group_model(std::size_t ranks)
        : m_engines(ranks)
    {
    }

    // Carries out an order.
    order_reply apply(std::size_t rank, const map_order&);
    rank_view view(std::size_t rank) const;
    // Begins the next step unless a rank holds it; ranks that are armed for it switch their placement.
    bool step();
    // True if all ranks used the same placement in every step so far.
    bool consistent() const { return m_consistent; }
    bool anyHold() const;
    std::uint64_t steps() const { return m_step; }
    const model_engine& engine(std::size_t rank) const { return m_engines[rank]; }

private:
    std::vector<model_engine> m_engines;
    std::uint64_t m_step = 10;
    bool m_consistent = true;
};

} // namespace rampgap
