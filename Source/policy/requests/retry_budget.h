// Bounds retries to a fraction of recent requests, so that retries do not amplify an outage.
#pragma once

namespace rampgap {

// Each new request adds `percent`/100 of a token, and each retry consumes one.
class retry_budget {
public:
    explicit retry_budget(int percent);

    void recordRequest();
    // Consumes a token; false if there is none.
    bool tryConsume();
    double tokens() const { return m_tokens; }

private:
    double m_tokensPerRequest;
    double m_tokens;
};

} // namespace rampgap
