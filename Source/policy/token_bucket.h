// Tokens that come in at a steady rate and are kept up to a bound.
#pragma once

#include "policy/instant.h"

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

    // Adds what has come in since it was last filled; keeps `most`.
    void fill(double perSecond, double most, instant now)
    {
        const double elapsed = std::chrono::duration<double>(now - m_filledAt).count();
        m_tokens = std::min(m_tokens + perSecond * elapsed, most);
        m_filledAt = now;
    }
    void take(double tokens) { m_tokens -= tokens; }
    double tokens() const { return m_tokens; }

private:
    double m_tokens = 0;
    instant m_filledAt {};
};

} // namespace rampgap
