// Drawn sheets.
#include "random_fleets.h"

#include "base/random_source.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace tamarack::serving::tests {

namespace {

    using namespace std::chrono_literals;

    /// Gigabits a second that move 1,000 tokens of one byte in a millisecond.
    constexpr double bitsPerToken = 8e-3;

    class fleet_draw {
    public:
        fleet_draw(std::uint64_t seed, duration length)
            : m_random(seed * 2654435761 + 17)
            , m_length(length)
        {
        }

        fleet_sheet draw()
        {
            drawEngines();
            drawPlaces();
            const auto kinds = 2 + m_random.below(3);
            for (std::size_t i = 0; i < kinds; ++i)
                m_sheet.kinds.push_back(drawKind(i));
            drawLoad();
            drawSwing();
            drawFaults();
            return m_sheet;
        }

    private:
        double between(double low, double high) { return low + (high - low) * m_random.unit(); }
        double logBetween(double low, double high) { return std::exp(between(std::log(low), std::log(high))); }
        int whole(double low, double high) { return static_cast<int>(std::lround(logBetween(low, high))); }
        template <class Value, std::size_t N> Value anyOf(const std::array<Value, N>& values)
        {
            return values[m_random.below(N)];
        }
        bool isChance(double chance) { return m_random.unit() < chance; }

        void drawEngines()
        {
            auto& engine = m_sheet.engine;
            engine.slots = anyOf(std::array { 8, 12, 16, 32, 64 });
            engine.stepMilliseconds = between(2.5, 8);
            engine.slotMilliseconds = isChance(0.5) ? 0 : logBetween(0.01, 0.25);
            engine.contextMilliseconds = logBetween(0.003, 0.03);
            engine.tokensPerMillisecond = logBetween(30, 120);
            engine.pairsMilliseconds = between(0.2, 0.6);
            engine.settleMilliseconds = logBetween(5, 100);
            engine.tokensPerEvent = whole(1, 16);
            engine.pieceTokens = anyOf(std::array { 1024, 2048, 2048, 4096 });
            engine.memoryTokens = static_cast<std::int64_t>(logBetween(150'000, 600'000));
            engine.bytesPerToken = logBetween(30'000, 170'000);
            // At the users' deployments a thousand tokens move in 0.9 to 1.3 ms.
            engine.linkGigabits = engine.bytesPerToken * bitsPerToken / logBetween(0.6, 2.5);
            m_sheet.slowness = isChance(0.5) ? std::vector { 1.0 } : std::vector { 1.0, 1.0, 1.3 };
        }

        void drawPlaces()
        {
            m_sheet.engines = whole(6, 200);
            m_sheet.nodes = std::clamp(static_cast<int>(m_sheet.engines * between(0.3, 1.2)), 3, 80);
            m_sheet.zones = 2 + static_cast<int>(m_random.below(4));
            m_sheet.prefillShare = between(0.25, 0.5);
            m_sheet.roleChangeTime = fromSeconds(between(2, 4));
        }

        request_sheet drawKind(std::size_t index)
        {
            request_sheet kind;
            kind.name = "kind-" + std::to_string(index);
            const bool isLong = index == 0 || isChance(0.25);
            kind.shared.mean = isLong ? logBetween(3'000, 14'000) : logBetween(50, 800);
            kind.shared.spread = 0.7;
            kind.shared.max = 3 * kind.shared.mean;
            kind.own.mean = isLong ? logBetween(2'000, 7'000) : logBetween(200, 2'000);
            kind.own.spread = between(0.8, 1.4);
            kind.own.max = 10 * kind.own.mean;
            kind.events.mean = logBetween(2, 35);
            kind.events.spread = between(0.4, 1.4);
            kind.events.max = 4 * kind.events.mean;
            kind.beginnings = isLong ? whole(40, 500) : whole(40, 400);
            kind.aim = isLong ? fromSeconds(between(0.5, 1)) : fromSeconds(between(0.25, 0.5));
            kind.patience = fromSeconds(between(3, 8));
            kind.priority = isLong ? 2 : static_cast<int>(m_random.below(2));
            kind.isRepeatable = !isLong && isChance(0.5);
            kind.worth = isLong ? logBetween(2, 13) : logBetween(1, 2);
            kind.lateWorth = kind.worth * between(0.28, 0.52);
            kind.gapAim = gapAim();
            return kind;
        }

        /// Users count pauses as smooth that their engines can keep while they only write.
        duration gapAim()
        {
            const double event = m_sheet.engine.tokensPerEvent * m_sheet.engine.stepMilliseconds;
            const double least = event * between(1.8, 3.5);
            constexpr std::array aims { 100, 150, 200, 300, 400 };
            const auto found = std::find_if(aims.begin(), aims.end(), [least](int aim) { return aim >= least; });
            return std::chrono::milliseconds(found == aims.end() ? aims.back() : *found);
        }

        /// Seconds for which one request of the kind takes an engine that reads, its beginning kept with that chance.
        double readSeconds(const request_sheet& kind, double keptShare) const
        {
            const auto& engine = m_sheet.engine;
            const double kept = keptShare * kind.shared.mean;
            const double read = kind.shared.mean - kept + kind.own.mean;
            const double milliseconds = read / engine.tokensPerMillisecond
                + engine.pairsMilliseconds * read * (kept + read / 2) / 1e6 + engine.stepMilliseconds / 2;
            return milliseconds / 1e3;
        }

        double writeSeconds(const request_sheet& kind) const
        {
            const auto& engine = m_sheet.engine;
            const double step = engine.stepMilliseconds + engine.slotMilliseconds * engine.slots / 2;
            return kind.events.mean * engine.tokensPerEvent * step / 1e3;
        }

        void drawLoad()
        {
            constexpr double keptShare = 0.8;
            constexpr double usefulSlots = 0.8;
            double enginesForOne = 0;
            std::vector<double> weights;
            for (auto& kind : m_sheet.kinds) {
                weights.push_back(kind.shared.mean > 2'000 ? 1 : logBetween(1, 6));
                const double slots = usefulSlots * m_sheet.engine.slots;
                enginesForOne += weights.back() * (readSeconds(kind, keptShare) + writeSeconds(kind) / slots);
            }
            const double load = between(0.33, 1.5);
            for (std::size_t i = 0; i < m_sheet.kinds.size(); ++i)
                m_sheet.kinds[i].perSecond = weights[i] * load * m_sheet.engines / enginesForOne;
        }

        void drawSwing()
        {
            const double period = logBetween(2, 30);
            const double strength = between(0, 0.8);
            const double phase = m_random.unit();
            m_sheet.rate = [=](std::size_t kind, duration since) {
                const bool isLongTurn = static_cast<int>(seconds(since) / period + phase) % 2 == 1;
                return isLongTurn == (kind == 0) ? 1 + strength : 1 - 0.6 * strength;
            };
        }

        /// A span in the day, and its end.
        std::pair<duration, duration> span(double shortest, double longest)
        {
            const auto from = fromSeconds(seconds(m_length) * between(0.15, 0.7));
            return { from, from + fromSeconds(between(shortest, longest)) };
        }

        void drawFaults()
        {
            if (isChance(0.6)) {
                const auto [from, until] = span(2, 5);
                m_sheet.losses.push_back({ from, until, between(0.05, 0.4) });
            }
            if (isChance(0.4)) {
                const auto [from, until] = span(4, 8);
                m_sheet.slowdowns.push_back({ from, until, between(0.05, 0.25), between(2, 6) });
            }
            if (isChance(0.3)) {
                const auto [from, until] = span(4, 8);
                m_sheet.failings.push_back({ from, until, between(0.1, 0.4), between(0.1, 0.5) });
            }
            if (isChance(0.3))
                m_sheet.restarts.push_back({ span(0, 0).first, isChance(0.5) ? 1 : between(0.1, 0.5), true });
        }

        random_source m_random;
        duration m_length;
        fleet_sheet m_sheet;
    };

}

fleet_sheet randomFleet(std::uint64_t seed, duration length) { return fleet_draw(seed, length).draw(); }

}
