// A token bucket: tokens are added at a steady rate, up to a maximum.
#pragma once

#include "policy/common/instant.h"

#include <algorithm>

namespace rampgap {

class token_bucket {
public:
    token_bucket() = default;
    token_bucket(double tokens, instant filledAt)
        : m_tokens(tokens)
        , m_filledAt(filledAt)
    {
    }

    // Adds the tokens for the time since the last call, up to `capacity` in total.
    void fill(double perSecond, double capacity, instant now)
    {
        const double elapsed = std::chrono::duration<double>(now - m_filledAt).count();
        m_tokens = std::min(m_tokens + perSecond * elapsed, capacity);
        m_filledAt = now;
    }
    void take(double tokens) { m_tokens -= tokens; }
    double tokens() const { return m_tokens; }

private:
    double m_tokens = 0;
    instant m_filledAt {};
};

} // namespace rampgap
