// Engines of a group in lock-step, as the orders of a change of placement meet them: some
// orders get no answer and are carried out late, some are lost.
#pragma once

#include "policy/map_switch.h"

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

    // Carries an order out at once.
    order_reply apply(std::size_t rank, const map_order&);
    rank_view view(std::size_t rank) const;
    // Begins the next step unless a rank holds it; ranks armed for it take up their placement.
    bool step();
    // True if all ranks used one placement in every step that was begun.
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
