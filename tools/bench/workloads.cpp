// The workloads of the brief, as arrivals.
#include "workloads.h"

#include <algorithm>
#include <cmath>

namespace tamarack::bench {

namespace {

    /// The mix at one moment.
    struct mix {
        double rate = 0; ///< ordinary requests a second
        double urgentRate = 0;
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

    double blend(double a, double b, double share) { return a + (b - a) * std::clamp(share, 0.0, 1.0); }

    mix vodosletMix(double t)
    {
        // Long histories with short summaries, then short reports with longer tags, swinging within minutes; a burst of
        // reports and crew calls while it swings.
        const double swing = 0.5 - 0.5 * std::cos(2 * 3.14159265 * t / 240);
        const bool isFlood = t > 120 && t < 260;
        mix m;
        m.promptTokens = blend(9000, 1500, swing);
        m.outputTokens = blend(60, 220, swing);
        m.rate = blend(15, 24, swing) * (isFlood ? 1.15 : 1.0);
        m.urgentRate = isFlood ? 12 : 3;
        return m;
    }

    mix ahnenhausMix(double t)
    {
        // Genealogists' questions over whole families, then tags for scanned entries.
        const double scans = (t - 150) / 60;
        mix m;
        m.promptTokens = blend(14'000, 1200, scans);
        m.outputTokens = blend(150, 200, scans);
        m.rate = blend(14.5, 42, scans);
        m.urgentRate = 3;
        return m;
    }

    std::int64_t around(random_source& random, double mean)
    {
        // Log-normal with a spread of half an order: lengths of real prompts and answers are skewed.
        constexpr double spread = 0.5;
        const double u = std::max(1e-9, random.unit());
        const double normal = std::sqrt(-2 * std::log(u)) * std::cos(2 * 3.14159265 * random.unit());
        const double value = mean * std::exp(spread * normal - spread * spread / 2);
        return std::max<std::int64_t>(1, static_cast<std::int64_t>(value));
    }

    arrival ordinary(random_source& random, const mix& m, double at)
    {
        constexpr std::uint64_t accounts = 200;
        constexpr std::uint64_t families = 60;
        arrival a;
        a.at = at;
        a.shape.service = { 0 };
        a.shape.promptTokens = around(random, m.promptTokens);
        a.outputTokens = around(random, m.outputTokens);
        a.shape.outputTokens = std::max<std::int64_t>(a.outputTokens, static_cast<std::int64_t>(m.outputTokens * 2));
        a.shape.account = random.below(accounts) + 1;
        a.shape.prefixHash = random.below(families) + 1;
        a.prefixTokens = a.shape.promptTokens * 2 / 5;
        return a;
    }

    arrival urgent(random_source& random, double at)
    {
        arrival a;
        a.at = at;
        a.shape.service = { 0 };
        a.shape.isUrgent = true;
        a.shape.promptTokens = around(random, 120);
        a.outputTokens = around(random, 16);
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
    const auto next = [&](double rate) { return -std::log(std::max(1e-12, random.unit())) / rate; };
    for (double t = 0; t < w.seconds;) {
        const mix m = isVodoslet ? vodosletMix(t) : ahnenhausMix(t);
        t += next(m.rate);
        w.arrivals.push_back(ordinary(random, m, t));
    }
    for (double t = 0; t < w.seconds;) {
        const mix m = isVodoslet ? vodosletMix(t) : ahnenhausMix(t);
        t += next(m.urgentRate);
        w.arrivals.push_back(urgent(random, t));
    }
    std::sort(w.arrivals.begin(), w.arrivals.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
    return w;
}

}
