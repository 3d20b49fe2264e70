// A request slot acquired from the admission gate; released when it goes out of scope.
#pragma once

#include "daemon/admission_gate.h"

#include <utility>

namespace rampgap {

class admission_slot {
public:
    // An empty object, for a request that needs no slot.
    admission_slot() = default;
    admission_slot(admission_gate& gate, admission_id id)
        : m_gate(&gate)
        , m_id(id)
    {
    }
    admission_slot(admission_slot&& other) noexcept
        : m_gate(std::exchange(other.m_gate, nullptr))
        , m_id(other.m_id)
    {
    }
    admission_slot(const admission_slot&) = delete;
    admission_slot& operator=(const admission_slot&) = delete;
    admission_slot& operator=(admission_slot&&) = delete;
    ~admission_slot()
    {
        if (m_gate)
            m_gate->leave(m_id);
    }

private:
    admission_gate* m_gate = nullptr;
    admission_id m_id = 0;
};

} // namespace rampgap
