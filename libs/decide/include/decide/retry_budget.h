// Bounds retries to a share of successes, so that a failing zone cannot be met by twice the load.
#pragma once

namespace tamarack {

class retry_budget {
public:
    /// `ratio` retries for each success; `reserve` may be spent before any success and is the most that is saved up.
    retry_budget(double ratio, double reserve)
        : m_ratio(ratio)
        , m_reserve(reserve)
        , m_tokens(reserve)
    {
    }

    void succeeded() { m_tokens = m_tokens + m_ratio > m_reserve ? m_reserve : m_tokens + m_ratio; }
    /// Takes one retry; false if there is none left.
    bool spend()
    {
        if (m_tokens < 1)
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
