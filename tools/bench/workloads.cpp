// Builds the deployments, arrivals and incidents of the named workloads.
#include "workloads.h"

#include <algorithm>
#include <cmath>

namespace tamarack::bench {

namespace {

    /// Rates and mean lengths of requests at one moment.
    struct mix {
        double rate = 0; ///< ordinary requests per second
        double urgentRate = 0; ///< urgent requests per second
        double promptTokens = 0; ///< mean
        double outputTokens = 0; ///< mean
    };

    deployment makeDeployment(bool isVodoslet)
    {
        deployment config;
        config.name = isVodoslet ? "vodoslet" : "ahnenhaus";
        config.availabilityZones = { "za", "zb", "zc" };
        service_entry service;
        service.name = "model";
        service.kind = service_kind::engine;
        service.model = "model";
        service.slots = 16;
        service.prefillTokensPerSecond = isVodoslet ? 20'000 : 16'000;
        service.tokenInterval = isVodoslet ? 0.02 : 0.025;
        service.decodeTokensPerSecond = service.slots / service.tokenInterval;
        service.prefillTargets = isVodoslet ? 2 : 0;
        service.decodeTargets = isVodoslet ? 2 : 0;
        const int engines = isVodoslet ? 10 : 20;
        for (int i = 0; i < engines; ++i)
            service.targets.push_back({ "e" + std::to_string(i), "10.0.0." + std::to_string(i + 1) + ":1",
                config.availabilityZones[static_cast<std::size_t>(i) % 3] });
        config.services.push_back(std::move(service));
        auto& policy = config.policy;
        policy.roleChangeWeight = isVodoslet ? 1 : 4;
        policy.roleDwell = isVodoslet ? 20 : 60;
        policy.roleHorizon = isVodoslet ? 60 : 120;
        policy.affinityLoadGap = isVodoslet ? 0.25 : 1;
        policy.defaultDeadline = 20;
        policy.urgentDeadline = 5;
        policy.accountRequestsPerSecond = 1e6;
        policy.accountBurst = 1e6;
        return config;
    }

    double interpolate(double a, double b, double share) { return a + (b - a) * std::clamp(share, 0.0, 1.0); }

    mix vodosletMix(double t)
    {
        // Alternates within minutes between long histories with short summaries and short reports with longer tags. A
        // burst of reports and urgent crew requests falls into the alternation.
        const double reportShare = 0.5 - 0.5 * std::cos(2 * 3.14159265 * t / 240);
        const bool isFlood = t > 120 && t < 260;
        mix m;
        m.promptTokens = interpolate(9000, 1500, reportShare);
        m.outputTokens = interpolate(60, 220, reportShare);
        m.rate = interpolate(15, 24, reportShare) * (isFlood ? 1.15 : 1.0);
        m.urgentRate = isFlood ? 12 : 3;
        return m;
    }

    mix ahnenhausMix(double t)
    {
        // Shifts once from questions on whole families (long prompts) to tags for scanned entries (many short prompts).
        const double scanShare = (t - 150) / 60;
        mix m;
        m.promptTokens = interpolate(14'000, 1200, scanShare);
        m.outputTokens = interpolate(150, 200, scanShare);
        m.rate = interpolate(14.5, 42, scanShare);
        m.urgentRate = 3;
        return m;
    }

    std::int64_t drawLength(random_source& random, double mean)
    {
        // Log-normal with a standard deviation of 0.5 of the logarithm, because the lengths of real prompts and answers
        // are skewed.
        constexpr double spread = 0.5;
        const double u = std::max(1e-9, random.unit());
        const double normal = std::sqrt(-2 * std::log(u)) * std::cos(2 * 3.14159265 * random.unit());
        const double value = mean * std::exp(spread * normal - spread * spread / 2);
        return std::max<std::int64_t>(1, static_cast<std::int64_t>(value));
    }

    arrival makeOrdinary(random_source& random, const mix& m, double at)
    {
        constexpr std::uint64_t accounts = 200;
        constexpr std::uint64_t families = 60;
        arrival a;
        a.at = at;
        a.shape.service = { 0 };
        a.shape.promptTokens = drawLength(random, m.promptTokens);
        a.outputTokens = drawLength(random, m.outputTokens);
        a.shape.outputTokens = std::max<std::int64_t>(a.outputTokens, static_cast<std::int64_t>(m.outputTokens * 2));
        a.shape.account = random.below(accounts) + 1;
        a.shape.prefixHash = random.below(families) + 1;
        a.prefixTokens = a.shape.promptTokens * 2 / 5;
        return a;
    }

    arrival makeUrgent(random_source& random, double at)
    {
        arrival a;
        a.at = at;
        a.shape.service = { 0 };
        a.shape.isUrgent = true;
        a.shape.promptTokens = drawLength(random, 120);
        a.outputTokens = drawLength(random, 16);
        a.shape.outputTokens = 32;
        a.shape.account = 1000 + random.below(20);
        return a;
    }

}

std::vector<std::string> workloadNames()
{
    return { "vodoslet-flood", "ahnenhaus-evening", "engines-replaced", "zone-lost", "log-down" };
}

workload makeWorkload(const std::string& name, std::uint64_t seed)
{
    const bool isVodoslet = name != "ahnenhaus-evening" && name != "engines-replaced";
    workload w;
    w.name = name;
    w.config = makeDeployment(isVodoslet);
    w.seconds = 360;
    w.purePrefill = isVodoslet ? 4 : 8;
    w.shiftFrom = isVodoslet ? 120 : 150;
    w.shiftUntil = isVodoslet ? 260 : 270;
    if (name == "engines-replaced")
        w.incidents.push_back({ 100, 220, { 3, 11, 17 }, true, false });
    if (name == "zone-lost")
        w.incidents.push_back({ 150, 210, { 1, 4, 7 }, false, false });
    if (name == "log-down")
        w.incidents.push_back({ 100, 240, {}, false, true });
    random_source random(seed * 104729 + 1);
    const auto nextInterval = [&](double rate) { return -std::log(std::max(1e-12, random.unit())) / rate; };
    for (double t = 0; t < w.seconds;) {
        const mix m = isVodoslet ? vodosletMix(t) : ahnenhausMix(t);
        t += nextInterval(m.rate);
        w.arrivals.push_back(makeOrdinary(random, m, t));
    }
    for (double t = 0; t < w.seconds;) {
        const mix m = isVodoslet ? vodosletMix(t) : ahnenhausMix(t);
        t += nextInterval(m.urgentRate);
        w.arrivals.push_back(makeUrgent(random, t));
    }
    std::sort(w.arrivals.begin(), w.arrivals.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
    return w;
}

}
