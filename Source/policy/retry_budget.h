// Bounds retries to a share of recent requests, so that an outage is not amplified.
#pragma once

namespace rampgap {

// Each new request adds `percent`/100 of a token; each retry takes one.
class retry_budget {
public:
    explicit retry_budget(int percent);

    void noteRequest();
    // False when the budget is spent; takes a token otherwise.
    bool take();
    double tokens() const { return m_tokens; }

private:
    double m_share;
    double m_tokens;
};

} // namespace rampgap
