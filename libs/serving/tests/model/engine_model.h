// Provides a model engine in virtual time: continuous batching, a bounded cache of prompt parts, and transfers over its
// link.
#pragma once

#include "base/clock.h"
#include "serving/serving_request.h"

#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

namespace tamarack::serving::tests {

/// The performance of an engine, in the terms of a deployment's load profile.
struct engine_parameters {
    int slots = 16; ///< requests in one batch
    double stepMilliseconds = 3.29; ///< of a step without any prefill
    double slotMilliseconds = 0; ///< more for each request that decodes
    double contextMilliseconds = 0.0262; ///< more for each 1,000 tokens of context of the requests that decode
    double tokensPerMillisecond = 93; ///< of an engine that only prefills; one that also decodes prefills half as fast
    double millionPairsMilliseconds = 0.442; ///< for a million pairs of a prefilled token and one before it
    double prefillOverheadMilliseconds = 80; ///< from the end of the prefill to the first event or the exported cache
    double importMilliseconds = 0; ///< from the end of a cache's transfer to the first event
    int tokensPerEvent = 13;
    int chunkTokens = 2048; ///< prefilled in one step; a quarter of it at an engine that also decodes
    std::int64_t memoryTokens = 412'364;
    double bytesPerToken = 131'072;
    double linkGigabits = 900;
    double transferSetupMilliseconds = 4;
    double slowness = 1; ///< factor on the time of every step
};

/// One request to an engine.
struct engine_job {
    std::uint64_t key = 0; ///< chosen by the sender
    attempt_stage stage = attempt_stage::whole;
    prompt text;
    std::int64_t outputTokens = 0;
    int urgency = 0;
    int fetchFrom = -1; ///< index of an engine that may have more of the prompt cached
    int cacheSource = -1; ///< for the decode stage: index of the engine that prefilled the prompt
};

/// Callbacks for what happens at the engine.
struct engine_events {
    std::function<void(std::uint64_t key)> onPrefilled;
    std::function<void(std::uint64_t key)> onEvent; ///< an event of the stream
    std::function<void(std::uint64_t key)> onEnd;
    std::function<void(const prompt_part& part)> onPrefillPart; ///< the prefill of a part of a prompt starts
    std::function<void(const prompt_part& part)> onCacheEvent; ///< no tokens: the part was evicted
};

struct engine_counts {
    std::int64_t prefilledTokens = 0;
    double transferredBytes = 0;
};

/// The owner calls step() at the time that nextAt() returns.
class engine_model {
public:
    engine_model(engine_parameters profile, bool alsoDecodes, engine_events events);

    /// Submits a job. `all` are the engines by index, for transfers.
    void submit(const engine_job& job, std::vector<engine_model>& all, instant now);
    void cancel(std::uint64_t key);
    /// Discards all jobs and the cache.
    void crash();
    /// Sets the factor on the time of steps that start from now on.
    void setSlowness(double slowness) { m_profile.slowness = slowness; }
    /// Starts a change of role: waiting jobs are rejected, running ones are completed. Returns the keys of the rejected
    /// jobs.
    std::vector<std::uint64_t> startRoleChange();
    bool isChanging() const { return m_isChanging; }
    void finishRoleChange(bool alsoDecodes);
    /// When something happens next; empty while the engine is idle.
    std::optional<instant> nextAt() const;
    void step(instant now);

    std::vector<prompt_part> cachedParts() const;
    bool alsoDecodes() const { return m_alsoDecodes; }
    std::size_t held() const { return m_waiting.size() + m_running.size(); }
    std::size_t countDecoding() const;
    const engine_counts& counts() const { return m_counts; }

private:
    struct held_job {
        engine_job job;
        instant readyAt; // the end of its transfers
        std::int64_t tokensToPrefill = 0; // -1: unknown until the job is admitted
        std::int64_t context = 0; // tokens in the KV cache
        std::int64_t decodedTokens = 0;
        std::optional<instant> decodesFrom; // set when the prompt is prefilled
    };
    struct cached_part {
        std::int64_t tokens = 0;
        std::list<std::uint64_t>::iterator place;
    };
    struct finishing_prefill {
        std::uint64_t key = 0;
        instant at;
    };

    std::int64_t cachedTokens(const prompt& text) const;
    /// Transfers that many tokens over this engine's link, after earlier transfers. Returns the end of the transfer.
    instant transfer(std::int64_t tokens, instant now);
    void startStep(instant now);
    void endStep(instant now);
    double prefill(held_job& item, double budget);
    held_job* admit(instant now);
    /// Reports the parts to prefill: those that are not cached, or that follow one that is not.
    void reportPrefilledParts(const prompt& text);
    void decodeToken(held_job& item);
    void finishPrefill(held_job& item, instant now);
    void reportFinishedPrefills(instant now);
    void addToCache(const prompt& text);
    void evictParts();

    engine_parameters m_profile;
    bool m_alsoDecodes;
    bool m_isChanging = false;
    engine_events m_events;
    std::vector<held_job> m_waiting;
    std::vector<held_job> m_running; // in order of admission
    std::vector<finishing_prefill> m_finishingPrefills; // in order of time
    std::unordered_map<std::uint64_t, cached_part> m_parts;
    std::list<std::uint64_t> m_order; // least recently used part first
    std::int64_t m_partTokens = 0;
    std::optional<instant> m_stepEnd;
    instant m_linkFreeAt;
    engine_counts m_counts;
    double m_stepTokens = 0; // prefilled in the current step
    double m_stepPairs = 0;
};

}
