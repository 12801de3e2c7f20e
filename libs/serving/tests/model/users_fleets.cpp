// Implements the load profiles of the known deployments.
#include "users_fleets.h"

namespace tamarack::serving::tests {

namespace {

    using namespace std::chrono_literals;

    constexpr std::size_t longKind = 0;

    /// Long and small prompts alternate: every 2.8 s, and over half of a day in blocks of 14 s.
    double swing(std::size_t kind, duration since)
    {
        constexpr double shortPeriod = 2.8;
        constexpr double longPeriod = 15;
        const double at = seconds(since);
        const bool isLongPhase = static_cast<int>(at / shortPeriod) % 2 == 1;
        const bool isLongBlock = static_cast<int>(at / longPeriod) % 2 == 1;
        const bool isLong = kind == longKind;
        const double fast = isLongPhase == isLong ? 1.7 : 0.6;
        const double slow = isLongBlock == isLong ? 1.8 : 0.45;
        return fast * slow;
    }

    request_profile longPrompts()
    {
        request_profile out;
        out.name = "long";
        out.priority = 1;
        out.shared = { 13'300, 0.7, 39'900 };
        out.own = { 3'720, 1.1, 53'200 };
        return out;
    }

    request_profile smallPrompts()
    {
        request_profile out;
        out.name = "small";
        out.isRepeatable = true;
        out.prefixes = 200;
        out.groups = 40;
        out.common = { 55.2, 0.4, 138 };
        out.shared = { 36.8, 0.7, 110 };
        out.own = { 291, 1.4, 1'830 };
        return out;
    }

    fleet_profile vodoslet()
    {
        fleet_profile out;
        out.engine.slots = 64;
        out.engine.stepMilliseconds = 4.55;
        out.engine.slotMilliseconds = 0.181;
        out.engine.contextMilliseconds = 0.00366;
        out.engine.millionPairsMilliseconds = 0.525;
        out.engine.prefillOverheadMilliseconds = 90;
        out.engine.tokensPerMillisecond = 61.4;
        out.engine.memoryTokens = 409'968;
        out.engine.bytesPerToken = 35'136;
        out.engine.linkGigabits = 300;
        out.prefillShare = 0.35;
        out.zones = 3;
        out.rate = swing;
        auto large = longPrompts();
        large.value = 11;
        large.lateValue = 3.4;
        large.aim = 800ms;
        large.timeout = 6s;
        auto small = smallPrompts();
        small.value = 1.5;
        small.lateValue = 0.44;
        small.timeout = 4s;
        out.kinds = { large, small };
        return out;
    }

    fleet_profile ahnenhaus()
    {
        fleet_profile out;
        out.zones = 4;
        out.rate = swing;
        auto large = longPrompts();
        large.value = 13;
        large.lateValue = 3.8;
        large.aim = 600ms;
        large.timeout = 5s;
        auto small = smallPrompts();
        small.value = 1.4;
        small.lateValue = 0.43;
        small.aim = 300ms;
        small.timeout = 3s;
        out.kinds = { large, small };
        return out;
    }

    void setLoad(
        request_profile& kind, double perSecond, int prefixes, duration gapAim, double events, double maxEvents)
    {
        kind.perSecond = perSecond;
        kind.prefixes = prefixes;
        kind.gapAim = gapAim;
        kind.events = { events, 1.4, maxEvents };
    }

}

fleet_profile vodosletFleet()
{
    auto out = vodoslet();
    out.engines = 9;
    out.nodes = 6;
    out.engine.tokensPerEvent = 7;
    setLoad(out.kinds[0], 15.1, 45, 300ms, 17, 68);
    setLoad(out.kinds[1], 91.4, 200, 300ms, 6, 24);
    out.kinds[1].aim = 400ms;
    return out;
}

fleet_profile vodosletGrownFleet()
{
    auto out = vodoslet();
    out.engines = 60;
    out.nodes = 60;
    out.engine.tokensPerEvent = 9;
    out.engine.memoryTokens = 387'390;
    out.engine.linkGigabits = 280;
    setLoad(out.kinds[0], 75, 283, 400ms, 13, 52);
    setLoad(out.kinds[1], 452, 400, 400ms, 5, 20);
    out.kinds[1].aim = 500ms;
    out.kinds[0].sendTime = 16ms; // 17 KB over the slow links of most nodes
    return out;
}

fleet_profile vodosletLargeFleet()
{
    auto out = vodoslet();
    out.engines = 192;
    out.nodes = 295;
    out.zones = 5;
    out.prefillShare = 0.33;
    out.engine.slots = 12;
    out.engine.tokensPerEvent = 16;
    out.engine.memoryTokens = 352'325;
    out.engine.linkGigabits = 200;
    out.rate = [](std::size_t, duration) { return 1.0; };
    setLoad(out.kinds[0], 214, 808, 300ms, 7.48, 29.9);
    setLoad(out.kinds[1], 795, 6'753, 300ms, 2.82, 11.3);
    out.kinds[0].value = 7.6;
    out.kinds[0].lateValue = 2.3;
    out.kinds[0].sendTime = 10ms; // 17 KB over the slow links of most nodes
    out.kinds[1].aim = 400ms;
    out.kinds[1].timeout = 3s;
    return out;
}

fleet_profile ahnenhausFleet()
{
    auto out = ahnenhaus();
    out.zones = 3;
    out.engines = 18;
    out.prefillShare = 0.3;
    out.nodes = 9;
    out.engine.slots = 12;
    out.engine.tokensPerEvent = 11;
    out.engine.memoryTokens = 421'724;
    out.engine.linkGigabits = 840;
    setLoad(out.kinds[0], 32.5, 147, 150ms, 11, 44);
    setLoad(out.kinds[1], 187, 400, 150ms, 4, 16);
    return out;
}

fleet_profile ahnenhausGrownFleet()
{
    auto out = ahnenhaus();
    setLoad(out.kinds[0], 78.7, 446, 200ms, 9.2, 37);
    setLoad(out.kinds[1], 542, 400, 200ms, 3.5, 14);
    out.kinds[0].sendTime = 16ms; // 17 KB over the slow links of most nodes
    return out;
}

namespace {

    fleet_profile larrain()
    {
        fleet_profile out;
        out.engine.stepMilliseconds = 3.37;
        out.engine.slotMilliseconds = 0.0109;
        out.engine.contextMilliseconds = 0.0034;
        out.engine.tokensPerMillisecond = 61.2;
        out.engine.millionPairsMilliseconds = 0.324;
        out.engine.prefillOverheadMilliseconds = 6;
        out.engine.bytesPerToken = 163'840;
        out.engine.transferSetupMilliseconds = 1.7;
        out.slowness = { 1, 1, 1.3 };
        out.zones = 3;
        out.rate = [](std::size_t kind, duration since) {
            constexpr double shortPeriod = 2.8;
            constexpr std::size_t digests = 0;
            const bool isNotePhase = static_cast<int>(seconds(since) / shortPeriod) % 2 == 0;
            if (kind == digests)
                return 1.0;
            return isNotePhase == (kind == 1) ? 1.7 : 0.6;
        };
        request_profile digest;
        digest.name = "digest";
        digest.groups = 1;
        digest.common = { 512, 0.4, 1'280 };
        digest.shared = { 4'870, 0.7, 14'600 };
        digest.own = { 6'610, 1.4, 54'600 };
        digest.aim = 800ms;
        digest.timeout = 8s;
        digest.priority = 2;
        request_profile note;
        note.name = "note";
        note.groups = 40;
        note.common = { 119, 0.4, 298 };
        note.shared = { 79.4, 0.7, 238 };
        note.own = { 628, 1.0, 3'310 };
        note.prefixes = 402;
        note.aim = 250ms;
        note.timeout = 8s;
        note.isRepeatable = true;
        request_profile tag;
        tag.name = "tag";
        tag.groups = 20;
        tag.common = { 341, 0.4, 851 };
        tag.shared = { 227, 0.7, 681 };
        tag.own = { 1'800, 1.3, 6'870 };
        tag.events = { 2.05, 1.4, 8.2 };
        tag.prefixes = 340;
        tag.aim = 300ms;
        tag.timeout = 2500ms;
        tag.priority = 1;
        out.kinds = { digest, note, tag };
        for (auto& kind : out.kinds)
            kind.gapAim = 150ms;
        return out;
    }

}

fleet_profile larrainFleet()
{
    auto out = larrain();
    out.engines = 18;
    out.nodes = 7;
    out.prefillShare = 0.35;
    out.engine.slots = 64;
    out.engine.tokensPerEvent = 11;
    out.engine.memoryTokens = 537'779;
    out.engine.linkGigabits = 1'400;
    out.kinds[0].perSecond = 36.7;
    out.kinds[0].prefixes = 110;
    out.kinds[0].events = { 34.7, 0.44, 102 };
    out.kinds[0].value = 3.4;
    out.kinds[0].lateValue = 1.7;
    out.kinds[1].perSecond = 59.2;
    out.kinds[1].events = { 26.5, 0.69, 86.7 };
    out.kinds[1].value = 1.8;
    out.kinds[1].lateValue = 0.91;
    out.kinds[2].perSecond = 50;
    out.kinds[2].value = 1.4;
    out.kinds[2].lateValue = 0.7;
    return out;
}

fleet_profile larrainGrownFleet()
{
    auto out = larrain();
    out.engines = 140;
    out.nodes = 77;
    out.prefillShare = 0.32;
    out.engine.slots = 16;
    out.engine.tokensPerEvent = 14;
    out.engine.memoryTokens = 415'029;
    out.engine.linkGigabits = 1'100;
    out.kinds[0].perSecond = 211;
    out.kinds[0].prefixes = 637;
    out.kinds[1].groups = 80;
    out.kinds[1].prefixes = 1'177;
    out.kinds[2].groups = 40;
    out.kinds[2].prefixes = 2'239;
    out.kinds[0].events = { 27, 0.44, 80 };
    out.kinds[0].value = 2.5;
    out.kinds[0].lateValue = 1.3;
    out.kinds[1].perSecond = 174;
    out.kinds[1].events = { 21, 0.69, 68 };
    out.kinds[1].value = 1.6;
    out.kinds[1].lateValue = 0.8;
    out.kinds[2].perSecond = 330;
    out.kinds[2].value = 1.4;
    out.kinds[2].lateValue = 0.7;
    for (auto& kind : out.kinds)
        kind.sendTime = 10ms;
    return out;
}

}
