// Implements the random load profiles.
#include "random_fleets.h"

#include "base/random_source.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace tamarack::serving::tests {

namespace {

    using namespace std::chrono_literals;

    /// The link speed in Gbit/s that moves 1,000 tokens of one byte in a millisecond.
    constexpr double bitsPerToken = 8e-3;

    class fleet_draw {
    public:
        fleet_draw(std::uint64_t seed, duration length)
            : m_random(seed * 2654435761 + 17)
            , m_length(length)
        {
        }

        fleet_profile draw()
        {
            drawEngines();
            drawTopology();
            const auto kinds = 2 + m_random.below(3);
            for (std::size_t i = 0; i < kinds; ++i)
                m_profile.kinds.push_back(drawKind(i));
            drawLoad();
            drawSwing();
            drawFaults();
            return m_profile;
        }

    private:
        double between(double low, double high) { return low + (high - low) * m_random.unit(); }
        double logBetween(double low, double high) { return std::exp(between(std::log(low), std::log(high))); }
        int logInteger(double low, double high) { return static_cast<int>(std::lround(logBetween(low, high))); }
        template <class Value, std::size_t N> Value oneOf(const std::array<Value, N>& values)
        {
            return values[m_random.below(N)];
        }
        bool happens(double chance) { return m_random.unit() < chance; }

        void drawEngines()
        {
            auto& engine = m_profile.engine;
            engine.slots = oneOf(std::array { 8, 12, 16, 32, 64 });
            engine.stepMilliseconds = between(2.5, 8);
            engine.slotMilliseconds = happens(0.5) ? 0 : logBetween(0.01, 0.25);
            engine.contextMilliseconds = logBetween(0.003, 0.03);
            engine.tokensPerMillisecond = logBetween(30, 120);
            engine.millionPairsMilliseconds = between(0.2, 0.6);
            engine.prefillOverheadMilliseconds = logBetween(5, 100);
            engine.tokensPerEvent = logInteger(1, 16);
            engine.chunkTokens = oneOf(std::array { 1024, 2048, 2048, 4096 });
            engine.memoryTokens = static_cast<std::int64_t>(logBetween(150'000, 600'000));
            engine.bytesPerToken = logBetween(30'000, 170'000);
            // In known deployments a thousand tokens move in 0.9 to 1.3 ms.
            engine.linkGigabits = engine.bytesPerToken * bitsPerToken / logBetween(0.6, 2.5);
            m_profile.slowness = happens(0.5) ? std::vector { 1.0 } : std::vector { 1.0, 1.0, 1.3 };
        }

        void drawTopology()
        {
            m_profile.engines = logInteger(6, 200);
            m_profile.nodes = std::clamp(static_cast<int>(m_profile.engines * between(0.3, 1.2)), 3, 80);
            m_profile.zones = 2 + static_cast<int>(m_random.below(4));
            m_profile.prefillShare = between(0.25, 0.5);
            m_profile.roleChangeTime = fromSeconds(between(2, 4));
        }

        request_profile drawKind(std::size_t index)
        {
            request_profile kind;
            kind.name = "kind-" + std::to_string(index);
            const bool isLong = index == 0 || happens(0.25);
            kind.shared.mean = isLong ? logBetween(3'000, 14'000) : logBetween(50, 800);
            kind.shared.spread = 0.7;
            kind.shared.max = 3 * kind.shared.mean;
            kind.own.mean = isLong ? logBetween(2'000, 7'000) : logBetween(200, 2'000);
            kind.own.spread = between(0.8, 1.4);
            kind.own.max = 10 * kind.own.mean;
            kind.events.mean = logBetween(2, 35);
            kind.events.spread = between(0.4, 1.4);
            kind.events.max = 4 * kind.events.mean;
            kind.prefixes = isLong ? logInteger(40, 500) : logInteger(40, 400);
            kind.aim = isLong ? fromSeconds(between(0.5, 1)) : fromSeconds(between(0.25, 0.5));
            kind.timeout = fromSeconds(between(3, 8));
            kind.priority = isLong ? 2 : static_cast<int>(m_random.below(2));
            kind.isRepeatable = !isLong && happens(0.5);
            kind.value = isLong ? logBetween(2, 13) : logBetween(1, 2);
            kind.lateValue = kind.value * between(0.28, 0.52);
            kind.gapAim = gapAim();
            return kind;
        }

        /// The aim for pauses that an engine can meet while it only decodes.
        duration gapAim()
        {
            const double event = m_profile.engine.tokensPerEvent * m_profile.engine.stepMilliseconds;
            const double minAim = event * between(1.8, 3.5);
            constexpr std::array aims { 100, 150, 200, 300, 400 };
            const auto found = std::find_if(aims.begin(), aims.end(), [minAim](int aim) { return aim >= minAim; });
            return std::chrono::milliseconds(found == aims.end() ? aims.back() : *found);
        }

        /// Seconds of prefill that one request of the kind takes, with its prefix cached with probability
        /// `cachedShare`.
        double prefillSeconds(const request_profile& kind, double cachedShare) const
        {
            const auto& engine = m_profile.engine;
            const double kept = cachedShare * kind.shared.mean;
            const double read = kind.shared.mean - kept + kind.own.mean;
            const double milliseconds = read / engine.tokensPerMillisecond
                + engine.millionPairsMilliseconds * read * (kept + read / 2) / 1e6 + engine.stepMilliseconds / 2;
            return milliseconds / 1e3;
        }

        double decodeSeconds(const request_profile& kind) const
        {
            const auto& engine = m_profile.engine;
            const double step = engine.stepMilliseconds + engine.slotMilliseconds * engine.slots / 2;
            return kind.events.mean * engine.tokensPerEvent * step / 1e3;
        }

        void drawLoad()
        {
            constexpr double cachedShare = 0.8;
            constexpr double usefulSlots = 0.8;
            double enginesForOne = 0;
            std::vector<double> weights;
            for (auto& kind : m_profile.kinds) {
                weights.push_back(kind.shared.mean > 2'000 ? 1 : logBetween(1, 6));
                const double slots = usefulSlots * m_profile.engine.slots;
                enginesForOne += weights.back() * (prefillSeconds(kind, cachedShare) + decodeSeconds(kind) / slots);
            }
            const double load = between(0.33, 1.5);
            for (std::size_t i = 0; i < m_profile.kinds.size(); ++i)
                m_profile.kinds[i].perSecond = weights[i] * load * m_profile.engines / enginesForOne;
        }

        void drawSwing()
        {
            const double period = logBetween(2, 30);
            const double strength = between(0, 0.8);
            const double phase = m_random.unit();
            m_profile.rate = [=](std::size_t kind, duration since) {
                const bool isLongPhase = static_cast<int>(seconds(since) / period + phase) % 2 == 1;
                return isLongPhase == (kind == 0) ? 1 + strength : 1 - 0.6 * strength;
            };
        }

        /// A random period of the run, by start and end.
        std::pair<duration, duration> span(double shortest, double longest)
        {
            const auto from = fromSeconds(seconds(m_length) * between(0.15, 0.7));
            return { from, from + fromSeconds(between(shortest, longest)) };
        }

        void drawFaults()
        {
            if (happens(0.6)) {
                const auto [from, until] = span(2, 5);
                m_profile.losses.push_back({ from, until, between(0.05, 0.4) });
            }
            if (happens(0.4)) {
                const auto [from, until] = span(4, 8);
                m_profile.slowdowns.push_back({ from, until, between(0.05, 0.25), between(2, 6) });
            }
            if (happens(0.3)) {
                const auto [from, until] = span(4, 8);
                m_profile.failures.push_back({ from, until, between(0.1, 0.4), between(0.1, 0.5) });
            }
            if (happens(0.3))
                m_profile.restarts.push_back({ span(0, 0).first, happens(0.5) ? 1 : between(0.1, 0.5), true });
        }

        random_source m_random;
        duration m_length;
        fleet_profile m_profile;
    };

}

fleet_profile randomFleet(std::uint64_t seed, duration length) { return fleet_draw(seed, length).draw(); }

}
