// How a model engine spends its time: continuous batching in steps. Pure, so that the stand-in process and the
// experiments share it.
#pragma once

#include "settings/deployment.h"

#include <cstdint>
#include <list>
#include <map>
#include <vector>

namespace tamarack::standins {

struct engine_timing {
    int slots = 16;
    std::int64_t pieceTokens = 2000;
    double prefillTokensPerSecond = 20'000;
    double stepSeconds = 0.02; // one token for every running answer
    std::size_t cachedPrefixes = 8;
};

struct engine_job {
    std::uint64_t id = 0;
    int priority = 0;
    std::int64_t promptTokens = 0; // 0: the KV cache was imported
    std::int64_t outputTokens = 0; // 0: prefill only
    std::uint64_t prefixKey = 0;
    std::int64_t prefixTokens = 0; // of the prompt, shared by all jobs of that key
};

enum class engine_event_kind : unsigned char { prefilled, token, done };

struct engine_event {
    std::uint64_t job;
    engine_event_kind kind;
};

/// Work goes in steps: each step gives a token to every answer under way and reads up to one piece of one prompt. The
/// role says how the two share a step.
class engine_model {
public:
    explicit engine_model(engine_timing timing)
        : m_timing(timing)
    {
    }

    void setRole(engine_role role) { m_role = role; }
    engine_role role() const { return m_role; }
    void add(const engine_job& job);
    void cancel(std::uint64_t id);
    void clear();

    bool isIdle() const { return m_running.empty() && m_waiting.empty(); }
    int held() const { return static_cast<int>(m_running.size() + m_waiting.size()); }
    std::int64_t prefillTokens() const;

    /// Begins a step and says how many seconds it takes.
    double beginStep();
    /// Ends it and says what it brought.
    std::vector<engine_event> endStep();

private:
    struct running_job {
        engine_job job;
        std::int64_t prefillLeft = 0;
        std::int64_t outputLeft = 0;
        bool isInStep = false;
    };

    void fillSlots();
    running_job* nextPrefill();
    bool isCached(const engine_job& job);

    engine_timing m_timing;
    engine_role m_role = engine_role::mixed;
    std::vector<engine_job> m_waiting; // highest priority first, then in order of arrival
    std::vector<running_job> m_running;
    std::list<std::uint64_t> m_prefixes; // cached, the latest used first
    std::uint64_t m_stepPrefillJob = 0;
    std::int64_t m_stepPrefillTokens = 0;
    int m_stepsSinceDecode = 0;
};

}
