// A request slot acquired from the admission gate; released when it goes out of scope.
#pragma once

#include "daemon/admission_gate.h"

#include <utility>

namespace rampgap {

class admission_place {
public:
    // An empty object, for a request that needs no slot.
    admission_place() = default;
    admission_place(admission_gate& gate, admission_id id)
        : m_gate(&gate)
        , m_id(id)
    {
    }
    admission_place(admission_place&& other) noexcept
        : m_gate(std::exchange(other.m_gate, nullptr))
        , m_id(other.m_id)
    {
    }
    admission_place(const admission_place&) = delete;
    admission_place& operator=(const admission_place&) = delete;
    admission_place& operator=(admission_place&&) = delete;
    ~admission_place()
    {
        if (m_gate)
            m_gate->leave(m_id);
    }

private:
    admission_gate* m_gate = nullptr;
    admission_id m_id = 0;
};

} // namespace rampgap
