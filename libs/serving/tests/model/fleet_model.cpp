// What happens in the fleet, in order of time.
#include "fleet_model.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <numeric>

namespace tamarack::serving::tests {

namespace {

    using namespace std::chrono_literals;

    // Measured on the users' deployments, where not said otherwise.
    constexpr duration answerTime = 2ms; ///< from an engine to a node
    constexpr duration importTime = 3ms; ///< from a node to an engine, without a body
    constexpr duration noteTime = 8ms; ///< a note waits up to 5 ms for others, then 3 ms on its way
    constexpr duration cacheNewsTime = 300ms; ///< engines report with a delay, and few nodes ask
    constexpr duration decisionInterval = 20ms; ///< the gateway's
    constexpr duration unreachedTime = 4ms; ///< until a connection to a dead process is refused
    constexpr duration peerTellTime = 200ms; ///< until a node that has started has asked a peer
    constexpr duration listTime = 2s; ///< until engines were asked for lists, and the nodes have told each other
    constexpr duration relistTime = 800ms; ///< until a new engine is listed
    constexpr int heartbeatsPerSecond = 160; ///< the gateway's, of one node
    constexpr duration shortestHeartbeat = 100ms;
    constexpr int waitingPlaces = 3; ///< of an engine, for each slot
    /// Callers leave a stream that is silent for the longest of these.
    constexpr duration shortestPatience = 2s;
    constexpr int patienceInAims = 4;
    constexpr int patienceInPauses = 8;
    constexpr int mostTries = 2; ///< of a caller; the second one when it was told to come back
    constexpr int longestReturnShare = 3; ///< of the time left, that a caller waits before it does
    constexpr duration roleLook = 250ms; ///< the gateway's
    constexpr duration leadTime = 6s;

    std::string nodeName(std::size_t index) { return "node-" + std::to_string(index); }
    std::string zoneName(int index) { return "zone-" + std::to_string(index); }

}

fleet_model::fleet_model(fleet_sheet sheet, std::uint64_t seed)
    : m_sheet(std::move(sheet))
    , m_arrivals(seed * 7919 + 1)
    , m_random(seed * 104729 + 3)
    , m_configuration(makeConfiguration())
    , m_now(instant(1h))
    , m_maker(m_sheet.kinds, m_sheet.engine.tokensPerEvent, m_arrivals)
{
    m_result.kinds.resize(m_sheet.kinds.size());
    m_outcomes.resize(m_sheet.kinds.size());
    m_owed.resize(m_sheet.kinds.size());
    addEngines();
    addNodes();
    if (m_sheet.changesRoles) {
        m_split = std::make_unique<role_split>(m_nodes.front().decisions->fleet(), role_split_settings {});
        later(roleLook, [this] { lookAtRoles(); });
    }
}

std::shared_ptr<const serving_configuration> fleet_model::makeConfiguration() const
{
    std::vector<route_rule> routes;
    for (const auto& kind : m_sheet.kinds) {
        route_rule route;
        route.name = kind.name;
        route.host = "host";
        route.pathPrefix = "/" + kind.name + "/";
        route.shares = { { "engines", 1 } };
        route.isStream = true;
        route.isRepeatable = kind.isRepeatable;
        route.carriesPrompt = true;
        route.maxAttempts = kind.isRepeatable ? 2 : 1;
        route.priority = kind.priority;
        route.timeout = kind.patience;
        route.aim = kind.aim;
        route.gapAim = kind.gapAim;
        routes.push_back(std::move(route));
    }
    service_profile engines;
    engines.name = "engines";
    engine_profile profile;
    profile.cacheTokens = m_sheet.engine.memoryTokens;
    profile.bytesPerToken = static_cast<std::int64_t>(m_sheet.engine.bytesPerToken);
    profile.linkMegabits = m_sheet.engine.linkGigabits * 1e3;
    profile.tokensPerEvent = m_sheet.engine.tokensPerEvent;
    engines.engine = profile;
    return std::make_shared<const serving_configuration>(
        1, std::move(routes), std::vector<service_profile> { engines }, caller_limits {});
}

void fleet_model::addEngines()
{
    m_firstReaders = static_cast<int>(std::ceil(m_sheet.prefillShare * m_sheet.engines));
    for (int i = 0; i < m_sheet.engines; ++i) {
        engine_events events;
        events.onPrefilled = [this](std::uint64_t key) { later(answerTime, [this, key] { prefilled(key); }); };
        events.onEvent = [this](std::uint64_t key) { later(answerTime, [this, key] { streamed(key); }); };
        events.onEnd = [this](std::uint64_t key) { later(answerTime, [this, key] { answered(key); }); };
        events.onReading = [this](const prompt_part& part) { reading(part); };
        events.onKept = [this, i](const prompt_part& part) { kept(i, part); };
        // Spread over zones, as the roles are.
        auto sheet = m_sheet.engine;
        sheet.slowness = typicalSlowness(i);
        m_engines.emplace_back(sheet, i >= m_firstReaders, std::move(events));
        m_instances.push_back("engine-" + std::to_string(i));
        m_engineOf[m_instances.back()] = i;
        m_isLost.push_back(0);
        m_sequences.push_back(1);
        m_lossShare.push_back(0);
    }
}

double fleet_model::typicalSlowness(int engine) const
{
    return m_sheet.slowness[static_cast<std::size_t>(engine) % m_sheet.slowness.size()];
}

target_record fleet_model::recordOf(int engine) const
{
    const auto index = static_cast<std::size_t>(engine);
    target_record record;
    record.name = m_instances[index];
    record.service = "engines";
    record.address = "10.0.0.1:" + std::to_string(8000 + engine);
    record.availabilityZone = zoneName(engine % m_sheet.zones);
    record.slots = m_sheet.engine.slots;
    record.role = m_engines[index].alsoWrites() ? target_role::decode : target_role::prefill;
    record.sequence = m_sequences[index];
    return record;
}

void fleet_model::addNodes()
{
    for (int i = 0; i < m_sheet.nodes; ++i)
        addNode(static_cast<std::size_t>(i));
    for (std::size_t node = 0; node < m_nodes.size(); ++node)
        m_inService.push_back(node);
}

void fleet_model::addNode(std::size_t zone)
{
    const auto index = m_nodes.size();
    dispatcher_settings settings;
    settings.vm = nodeName(index);
    settings.availabilityZone = zoneName(static_cast<int>(zone) % m_sheet.zones);
    settings.seed = index + 1;
    settings.retries.slack = 1000;
    settings.peerLoadExpiry = 2s;
    m_nodes.push_back({ std::make_unique<dispatcher>(settings), nodeName(index), false, {} });
    m_nodes.back().decisions->setKnownNodes(m_sheet.nodes);
    for (int engine = 0; engine < m_sheet.engines; ++engine)
        m_nodes.back().decisions->targetListed(recordOf(engine));
    later(fromSeconds(m_random.unit() * seconds(decisionInterval)), [this, index] { tickNode(index); });
    later(fromSeconds(m_random.unit() * 0.5), [this, index] { beat(index); });
}

void fleet_model::restart(const node_restart& what)
{
    for (auto& node : m_inService) {
        if (m_random.unit() >= what.share)
            continue;
        addNode(node);
        m_nodes[node].isRetired = true;
        node = m_nodes.size() - 1;
        if (what.isTold)
            later(what.share < 1 ? peerTellTime : listTime, [this, node = node] { tellCaches(node); });
    }
}

// By the peer that has served for the longest time; of its age all others start anew, none has anything to tell.
void fleet_model::tellCaches(std::size_t node)
{
    const auto peer = *std::min_element(m_inService.begin(), m_inService.end());
    if (peer >= static_cast<std::size_t>(m_sheet.nodes))
        return tellListed(node);
    auto& to = *m_nodes[node].decisions;
    const auto& from = *m_nodes[peer].decisions;
    for (std::uint32_t row = 0; row < from.fleet().size(); ++row) {
        const auto id = to.fleet().find(from.fleet().instance[row]);
        for (const auto& part : from.cachedParts({ row })) {
            if (id.isValid())
                to.applyCacheEvents(id, { { part.id, part.tokens } });
        }
    }
}

void fleet_model::tellListed(std::size_t node)
{
    auto& to = *m_nodes[node].decisions;
    for (std::size_t engine = 0; engine < m_engines.size(); ++engine) {
        const auto id = to.fleet().find(m_instances[engine]);
        std::vector<cache_event> parts;
        for (const auto& part : m_engines[engine].keptParts())
            parts.push_back({ part.id, part.tokens });
        if (id.isValid())
            to.replaceCacheParts(id, parts);
    }
}

void fleet_model::later(duration wait, action what) { m_events.emplace(m_now + wait, std::move(what)); }

fleet_result fleet_model::run(duration length)
{
    // Traffic starts some seconds after the nodes do.
    m_trafficFrom = m_now + leadTime;
    for (std::size_t kind = 0; kind < m_sheet.kinds.size(); ++kind)
        later(leadTime, [this, kind] { scheduleArrival(kind); });
    for (const auto& what : m_sheet.restarts)
        later(leadTime + what.at, [this, what] { restart(what); });
    for (const auto& loss : m_sheet.losses)
        later(leadTime + loss.from, [this, loss] { lose(loss); });
    for (const auto& slowdown : m_sheet.slowdowns)
        later(leadTime + slowdown.from, [this, slowdown] { slowDown(slowdown); });
    for (const auto& failing : m_sheet.failings)
        later(leadTime + failing.from, [this, failing] { beginFailing(failing); });
    const instant end = m_trafficFrom + length;
    while (!m_events.empty() && m_events.begin()->first <= end) {
        m_now = m_events.begin()->first;
        const auto what = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        what();
    }
    for (const auto& engine : m_engines) {
        m_result.tokensRead += static_cast<double>(engine.counts().tokensRead);
        m_result.transferredGigabytes += engine.counts().transferredBytes / 1e9;
    }
    for (std::size_t kind = 0; kind < m_sheet.kinds.size(); ++kind)
        countLargest(kind);
    return m_result;
}

// The larger a request, the more it is worth.
void fleet_model::countLargest(std::size_t kind)
{
    constexpr double largestShare = 0.1;
    auto& owed = m_owed[kind];
    if (owed.empty())
        return;
    std::sort(owed.begin(), owed.end());
    const auto first = static_cast<std::size_t>((1 - largestShare) * static_cast<double>(owed.size()));
    auto& largest = m_result.kinds[kind].largest;
    largest.owed = std::accumulate(owed.begin() + static_cast<std::ptrdiff_t>(first), owed.end(), 0.0);
    for (const auto& outcome : m_outcomes[kind]) {
        if (outcome.owed >= owed[first])
            largest.earned += outcome.earned;
    }
}

void fleet_model::scheduleArrival(std::size_t kind)
{
    const auto since = m_now - m_trafficFrom;
    const double rate = std::max(0.01, m_sheet.kinds[kind].perSecond * m_sheet.rate(kind, since));
    later(fromSeconds(-std::log(1 - m_arrivals.unit()) / rate), [this, kind] {
        arrive(kind);
        scheduleArrival(kind);
    });
}

void fleet_model::arrive(std::size_t kind)
{
    asked_request asked;
    asked.made = m_maker.make(kind);
    asked.at = m_now;
    auto& counted = m_result.kinds[kind];
    ++counted.asked;
    counted.owed += asked.made.owed;
    m_result.owed += asked.made.owed;
    m_owed[kind].push_back(asked.made.owed);
    if (soonest(asked.made.text) > m_sheet.kinds[kind].aim) {
        ++counted.unreachable;
        counted.owedUnreachable += asked.made.owed - asked.made.owedLate;
    }
    submit(std::move(asked), m_inService[m_arrivals.below(m_inService.size())]);
}

void fleet_model::submit(asked_request asked, std::size_t node)
{
    const auto kind = asked.made.kind;
    serving_request request;
    request.id = "request-" + std::to_string(m_nextRequest++);
    request.configuration = m_configuration;
    request.route = &m_configuration->routes()[kind];
    request.service = "engines";
    request.patience = m_sheet.kinds[kind].patience - (m_now - asked.at);
    request.text = asked.made.text;
    command_list out;
    const auto id = m_nodes[node].decisions->submit(std::move(request), m_now, out);
    m_asked[{ node, id }] = std::move(asked);
    watchSilence({ node, id }, m_now);
    carryOut(node, out);
}

duration fleet_model::longestSilence(std::size_t kind) const
{
    const auto& sheet = m_sheet.kinds[kind];
    return std::max({ shortestPatience, patienceInAims * sheet.aim, patienceInPauses * sheet.gapAim });
}

void fleet_model::watchSilence(request_key key, instant since)
{
    const auto longest = longestSilence(m_asked.at(key).made.kind);
    later(since + longest - m_now, [this, key, since] {
        const auto found = m_asked.find(key);
        if (found == m_asked.end())
            return;
        if (found->second.events > 0 && found->second.lastEventAt > since)
            return watchSilence(key, found->second.lastEventAt);
        ++m_result.kinds[found->second.made.kind].left;
        command_list out;
        m_nodes[key.first].decisions->callerDisconnected(key.second, m_now, out);
        carryOut(key.first, out);
        m_asked.erase(key);
    });
}

// A caller comes back once, if it was told when.
void fleet_model::refused(request_key key, duration retryAfter)
{
    const auto found = m_asked.find(key);
    auto asked = std::move(found->second);
    m_asked.erase(found);
    const bool isTold = retryAfter > duration::zero();
    if (!isTold || asked.tries == mostTries) {
        auto& counted = m_result.kinds[asked.made.kind];
        ++(isTold ? counted.refused : counted.failed);
        return;
    }
    ++asked.tries;
    asked.currentKey = 0;
    const auto left = m_sheet.kinds[asked.made.kind].patience - (m_now - asked.at);
    const auto node = m_inService[m_random.below(m_inService.size())];
    later(std::min(retryAfter, left / longestReturnShare), [this, asked = std::move(asked), node] {
        // The node may have been started anew meanwhile.
        const bool isThere = std::find(m_inService.begin(), m_inService.end(), node) != m_inService.end();
        submit(asked, isThere ? node : m_inService.front());
    });
}

// Alone at an engine that only reads, with its beginning fetched if any engine has ever read it.
duration fleet_model::soonest(const prompt& text) const
{
    constexpr duration move = 50ms;
    const auto& shared = text.parts.front();
    const auto kept = m_everRead.contains(shared.id) ? shared.tokens : 0;
    const auto read = static_cast<double>(text.inputTokens - kept);
    const auto& engine = m_sheet.engine;
    const double steps = std::ceil(read / engine.pieceTokens);
    const double pairs = read * (static_cast<double>(kept) + read / 2);
    const double milliseconds = engine.stepMilliseconds * steps + read / engine.tokensPerMillisecond
        + engine.pairsMilliseconds * pairs / 1e6 + engine.settleMilliseconds;
    return fromSeconds(milliseconds / 1e3) + move;
}

void fleet_model::tickNode(std::size_t node)
{
    command_list out;
    m_nodes[node].decisions->tick(m_now, out);
    carryOut(node, out);
    if (!m_nodes[node].isRetired || m_nodes[node].decisions->held() > 0)
        later(decisionInterval, [this, node] { tickNode(node); });
}

void fleet_model::tellNew(std::size_t node)
{
    const auto jobs = m_nodes[node].decisions->takeNewJobs(m_now);
    if (jobs.empty())
        return;
    later(noteTime, [this, node, jobs] {
        for (std::size_t peer = 0; peer < m_nodes.size(); ++peer) {
            if (peer != node)
                m_nodes[peer].decisions->updatePeerJobs(shortHash(m_nodes[node].name), jobs, false, m_now);
        }
    });
}

void fleet_model::beat(std::size_t node)
{
    const auto jobs = m_nodes[node].decisions->ownJobs(m_now);
    const auto load = m_nodes[node].decisions->ownLoad();
    later(noteTime, [this, node, jobs, load] {
        for (std::size_t peer = 0; peer < m_nodes.size(); ++peer) {
            if (peer == node)
                continue;
            m_nodes[peer].decisions->updatePeerLoad(m_nodes[node].name, load, m_now);
            m_nodes[peer].decisions->updatePeerJobs(shortHash(m_nodes[node].name), jobs, true, m_now);
        }
    });
    const auto interval
        = std::max<duration>(shortestHeartbeat, fromSeconds(static_cast<double>(m_sheet.nodes) / heartbeatsPerSecond));
    if (!m_nodes[node].isRetired)
        later(interval, [this, node] { beat(node); });
}

void fleet_model::carryOut(std::size_t node, const command_list& commands)
{
    for (const auto& command : commands) {
        if (const auto* start = std::get_if<start_attempt>(&command)) {
            sendTo(node, *start);
        } else if (const auto* stop = std::get_if<stop_attempt>(&command)) {
            auto& asked = m_asked.at({ node, stop->request });
            if (const auto sent = m_sent.find(asked.currentKey); sent != m_sent.end()) {
                if (sent->second.engine >= 0)
                    m_engines[static_cast<std::size_t>(sent->second.engine)].cancel(asked.currentKey);
                m_sent.erase(sent);
            }
        } else if (const auto* refusal = std::get_if<refuse_request>(&command)) {
            refused({ node, refusal->request }, refusal->retryAfter);
        }
    }
    tellNew(node);
}

void fleet_model::sendTo(std::size_t node, const start_attempt& start)
{
    const auto& fleet = m_nodes[node].decisions->fleet();
    const auto engineOf = [&](target_id id) {
        const auto found = id.isValid() ? m_engineOf.find(fleet.instance[id.value]) : m_engineOf.end();
        return found == m_engineOf.end() ? -1 : found->second;
    };
    const auto key = m_nextKey++;
    auto& asked = m_asked.at({ node, start.request });
    asked.currentKey = key;
    const int engine = engineOf(start.target);
    m_sent[key] = { node, start.request, start.attempt, engine, start.stage, start.target };
    auto& connections = m_nodes[node].connections;
    m_result.connections += !connections.has(start.target, m_now);
    connections.take(start.target, m_now);
    if (engine < 0 || m_isLost[static_cast<std::size_t>(engine)]) {
        later(unreachedTime, [this, key] { endAttempt(key, attempt_result::unreached, {}); });
        return;
    }
    engine_job job;
    job.key = key;
    job.stage = start.stage;
    job.text = asked.made.text;
    job.outputTokens = asked.made.outputTokens;
    job.urgency = start.urgency;
    job.fetchFrom = engineOf(start.fetchFrom);
    job.cacheSource = start.stage == attempt_stage::decode ? engineOf(start.cache.source) : -1;
    const auto way = start.stage == attempt_stage::decode ? importTime : m_sheet.kinds[asked.made.kind].sendTime;
    later(way, [this, key, job = std::move(job)] { reached(key, job); });
}

void fleet_model::reached(std::uint64_t key, engine_job job)
{
    const auto sent = m_sent.find(key);
    if (sent == m_sent.end())
        return; // stopped on its way
    const auto index = static_cast<std::size_t>(sent->second.engine);
    auto& engine = m_engines[index];
    if (m_isLost[index])
        return endAttempt(key, attempt_result::unreached, {});
    const bool isFull = engine.held() >= static_cast<std::size_t>(m_sheet.engine.slots * (1 + waitingPlaces));
    const bool isWrongRole = engine.alsoWrites() == (job.stage == attempt_stage::prefill);
    if (isFull || isWrongRole || engine.isChanging())
        return endAttempt(key, attempt_result::rejected, {});
    engine.ask(job, m_engines, m_now);
    touch(sent->second.engine);
}

void fleet_model::touch(int engine)
{
    const auto next = m_engines[static_cast<std::size_t>(engine)].nextAt();
    if (!next)
        return;
    m_events.emplace(std::max(*next, m_now), [this, engine] {
        auto& model = m_engines[static_cast<std::size_t>(engine)];
        const auto due = model.nextAt();
        if (!due || *due > m_now)
            return;
        model.step(m_now);
        touch(engine);
    });
}

void fleet_model::prefilled(std::uint64_t key) { endAttempt(key, attempt_result::prefilled, "cache"); }

void fleet_model::streamed(std::uint64_t key)
{
    const auto found = m_sent.find(key);
    if (found == m_sent.end())
        return;
    const auto sent = found->second;
    auto& asked = requestOf(sent);
    auto& decisions = *m_nodes[sent.node].decisions;
    if (asked.events++ == 0) {
        asked.first = m_now - asked.at;
        decisions.firstByteReceived(sent.request, sent.attempt, m_now);
        decisions.responseStarted(sent.request, sent.attempt);
    } else {
        asked.longestPause = std::max(asked.longestPause, m_now - asked.lastEventAt);
    }
    decisions.streamEventReceived(sent.request, sent.attempt, m_now);
    asked.lastEventAt = m_now;
}

void fleet_model::answered(std::uint64_t key)
{
    const auto found = m_sent.find(key);
    if (found == m_sent.end())
        return;
    if (losesAnswer(found->second.engine))
        return endAttempt(key, attempt_result::cut, {});
    finish(requestOf(found->second));
    endAttempt(key, attempt_result::answered, {});
}

void fleet_model::finish(asked_request& asked)
{
    const auto& sheet = m_sheet.kinds[asked.made.kind];
    auto& counted = m_result.kinds[asked.made.kind];
    double earned = asked.made.owedLate;
    if (asked.first > sheet.aim) {
        ++counted.lateFirst;
    } else if (asked.longestPause > sheet.gapAim) {
        ++counted.lateForPause;
    } else {
        ++counted.onTime;
        earned = asked.made.owed;
    }
    counted.earned += earned;
    m_result.earned += earned;
    m_outcomes[asked.made.kind].push_back({ asked.made.owed, earned });
}

void fleet_model::reading(const prompt_part& part)
{
    if (part.id < request_maker::firstOwnPart && !m_everRead.insert(part.id).second)
        m_result.beginningsReadAgain += static_cast<double>(part.tokens);
}

void fleet_model::kept(int engine, const prompt_part& part)
{
    const auto instance = m_instances[static_cast<std::size_t>(engine)];
    later(cacheNewsTime, [this, instance, part] {
        for (auto& node : m_nodes) {
            const auto row = node.decisions->fleet().find(instance);
            if (row.isValid())
                node.decisions->applyCacheEvents(row, { { part.id, part.tokens } });
        }
    });
}

void fleet_model::keepConnection(const sent_attempt& sent)
{
    auto& node = m_nodes[sent.node];
    const auto until = m_now + m_sheet.connectionLife;
    node.connections.add(sent.target, until);
    node.decisions->connectionKept(sent.target, until);
}

void fleet_model::endAttempt(std::uint64_t key, attempt_result result, const std::string& cacheName)
{
    const auto found = m_sent.find(key);
    if (found == m_sent.end())
        return;
    const auto sent = found->second;
    m_sent.erase(found);
    if (result != attempt_result::prefilled && result != attempt_result::answered && sent.engine >= 0)
        m_engines[static_cast<std::size_t>(sent.engine)].cancel(key);
    if (result == attempt_result::prefilled || result == attempt_result::answered)
        keepConnection(sent);
    command_list out;
    m_nodes[sent.node].decisions->attemptEnded(sent.request, sent.attempt, result, cacheName, m_now, out);
    if (result == attempt_result::answered)
        m_asked.erase({ sent.node, sent.request });
    carryOut(sent.node, out);
}

}
