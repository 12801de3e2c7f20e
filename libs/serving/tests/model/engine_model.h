// A model engine in virtual time: continuous batching, a bounded memory of prompt parts, transfers over its link.
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

/// What an engine can do, in the terms of the users' sheets.
struct engine_sheet {
    int slots = 16; ///< requests in one batch
    double stepMilliseconds = 3.29; ///< of a step that reads nothing
    double slotMilliseconds = 0; ///< more for each request that is written
    double contextMilliseconds = 0.0262; ///< more for each 1,000 tokens of the requests that are written
    double tokensPerMillisecond = 93; ///< read by an engine that only reads; one that also writes reads half of it
    double pairsMilliseconds = 0.442; ///< for a million pairs of a token read and one before it
    double settleMilliseconds = 80; ///< from the end of reading to the first event or the exported cache
    double importMilliseconds = 0; ///< from the end of a cache's transfer to the first event
    int tokensPerEvent = 13;
    int pieceTokens = 2048; ///< read in one step; a quarter of it where answers are written too
    std::int64_t memoryTokens = 412'364;
    double bytesPerToken = 131'072;
    double linkGigabits = 900;
    double transferSetupMilliseconds = 4;
    double slowness = 1; ///< every step takes so many times as long
};

/// What is asked of an engine.
struct engine_job {
    std::uint64_t key = 0; ///< the asker's own
    attempt_stage stage = attempt_stage::whole;
    prompt text;
    std::int64_t outputTokens = 0;
    int urgency = 0;
    int fetchFrom = -1; ///< index of an engine that may have more of the prompt
    int cacheSource = -1; ///< stage decode: index of the engine that read the prompt
};

/// What the engine tells, as it happens.
struct engine_events {
    std::function<void(std::uint64_t key)> onPrefilled;
    std::function<void(std::uint64_t key)> onEvent; ///< of the stream
    std::function<void(std::uint64_t key)> onEnd;
    std::function<void(const prompt_part& part)> onReading; ///< of a part of a prompt
    std::function<void(const prompt_part& part)> onKept; ///< no tokens: it is gone
};

struct engine_counts {
    std::int64_t tokensRead = 0;
    double transferredBytes = 0;
};

/// The owner calls step() whenever nextAt() is reached.
class engine_model {
public:
    engine_model(engine_sheet sheet, bool alsoWrites, engine_events events);

    /// `all` are the engines by index, for transfers.
    void ask(const engine_job& job, std::vector<engine_model>& all, instant now);
    void cancel(std::uint64_t key);
    /// All work and memory is lost.
    void crash();
    /// Steps that begin from now on take so many times as long.
    void setSlowness(double slowness) { m_sheet.slowness = slowness; }
    /// It takes another role: what waits is sent away, what runs comes to its end. Returns what was sent away.
    std::vector<std::uint64_t> beginChange();
    bool isChanging() const { return m_isChanging; }
    void endChange(bool alsoWrites);
    /// When something happens next; nothing while it is idle.
    std::optional<instant> nextAt() const;
    void step(instant now);

    std::vector<prompt_part> keptParts() const;
    bool alsoWrites() const { return m_alsoWrites; }
    std::size_t held() const { return m_waiting.size() + m_running.size(); }
    std::size_t writing() const;
    const engine_counts& counts() const { return m_counts; }

private:
    struct held_job {
        engine_job job;
        instant readableAt; // its transfers have ended
        std::int64_t toRead = 0; // -1: not known before it is admitted
        std::int64_t context = 0; // tokens in memory
        std::int64_t written = 0;
        std::optional<instant> writesFrom; // its prompt was read
    };
    struct kept_part {
        std::int64_t tokens = 0;
        std::list<std::uint64_t>::iterator place;
    };
    struct settling_cache {
        std::uint64_t key = 0;
        instant at;
    };

    std::int64_t keptTokens(const prompt& text) const;
    /// A transfer of that many tokens over this engine's link, after those before it; returns its end.
    instant transfer(std::int64_t tokens, instant now);
    void beginStep(instant now);
    void endStep(instant now);
    double read(held_job& item, double budget);
    held_job* admit(instant now);
    /// Tells of the parts that are read, as they or some before them are not kept.
    void tellReading(const prompt& text);
    void writeOne(held_job& item);
    void finishReading(held_job& item, instant now);
    void tellSettled(instant now);
    void keep(const prompt& text);
    void makeRoom();

    engine_sheet m_sheet;
    bool m_alsoWrites;
    bool m_isChanging = false;
    engine_events m_events;
    std::vector<held_job> m_waiting;
    std::vector<held_job> m_running; // in order of admission
    std::vector<settling_cache> m_settling; // in order of time
    std::unordered_map<std::uint64_t, kept_part> m_parts;
    std::list<std::uint64_t> m_order; // the part used longest ago first
    std::int64_t m_partTokens = 0;
    std::optional<instant> m_stepEnd;
    instant m_linkFreeAt;
    engine_counts m_counts;
    double m_stepTokens = 0; // read in the step under way
    double m_stepPairs = 0;
};

}
