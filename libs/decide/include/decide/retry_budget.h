// Retry budget: limits retries to a share of successful requests, so that retries cannot double the load on a failing
// zone.
#pragma once

namespace tamarack {

class retry_budget {
public:
    /// Each success earns `ratio` retries. `reserve` is both the initial and the largest number of retries saved up.
    retry_budget(double ratio, double reserve)
        : m_ratio(ratio)
        , m_reserve(reserve)
        , m_tokens(reserve)
    {
    }

    void succeeded() { m_tokens = m_tokens + m_ratio > m_reserve ? m_reserve : m_tokens + m_ratio; }
    bool canSpend() const { return m_tokens >= 1; }
    /// Takes one retry from the budget; returns false if none is left.
    bool spend()
    {
        if (!canSpend())
            return false;
        m_tokens -= 1;
        return true;
    }
    void setRatio(double ratio) { m_ratio = ratio; }

private:
    double m_ratio;
    double m_reserve;
    double m_tokens; // 0 <= m_tokens <= m_reserve
};

}
