// Implements the events of a run in order of time.
#include "fleet_model.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <numeric>

namespace tamarack::serving::tests {

namespace {

    using namespace std::chrono_literals;

    // The delays of deployments, except where a comment names another source.
    constexpr duration answerTime = 2ms; ///< from an engine to a node
    constexpr duration importTime = 3ms; ///< from a node to an engine, without a body
    constexpr duration messageTime = 8ms; ///< a message waits up to 5 ms for others, and its delivery takes 3 ms
    constexpr duration cacheEventTime = 300ms; ///< engines report with a delay, and few nodes poll them
    constexpr duration decisionInterval = 20ms; ///< as in the gateway
    constexpr duration unreachedTime = 4ms; ///< until a connection to a dead process is refused
    constexpr duration peerSnapshotTime = 200ms; ///< until a restarted node has got the snapshot of a peer
    constexpr duration listTime = 2s; ///< until the engines' lists are fetched and exchanged between nodes
    constexpr duration relistTime = 800ms; ///< until a new engine is listed
    constexpr int heartbeatsPerSecond = 160; ///< of one node, as in the gateway
    constexpr duration minHeartbeatInterval = 100ms;
    constexpr int waitingRequestsPerSlot = 3; ///< of an engine
    /// Callers abandon a stream that is silent for the longest of these.
    constexpr duration minSilenceTimeout = 2s;
    constexpr int silenceTimeoutInAims = 4;
    constexpr int silenceTimeoutInGapAims = 8;
    constexpr int maxTries = 2; ///< of a caller; the second one after a refusal with a retry time
    constexpr int maxRetryDelayDivisor = 3; ///< a caller retries within this fraction of its time left
    constexpr duration roleCheckInterval = 250ms; ///< as in the gateway
    constexpr duration startupTime = 6s;

    std::string nodeName(std::size_t index) { return "node-" + std::to_string(index); }
    std::string zoneName(int index) { return "zone-" + std::to_string(index); }

}

fleet_model::fleet_model(fleet_profile profile, std::uint64_t seed)
    : m_profile(std::move(profile))
    , m_arrivals(seed * 7919 + 1)
    , m_random(seed * 104729 + 3)
    , m_configuration(makeConfiguration())
    , m_now(instant(1h))
    , m_generator(m_profile.kinds, m_profile.engine.tokensPerEvent, m_arrivals)
{
    m_result.kinds.resize(m_profile.kinds.size());
    m_outcomes.resize(m_profile.kinds.size());
    m_owed.resize(m_profile.kinds.size());
    addEngines();
    addNodes();
    if (m_profile.changesRoles) {
        m_split = std::make_unique<role_split>(m_nodes.front().decisions->fleet(), role_split_settings {});
        schedule(roleCheckInterval, [this] { checkRoles(); });
    }
}

std::shared_ptr<const serving_configuration> fleet_model::makeConfiguration() const
{
    std::vector<route_rule> routes;
    for (const auto& kind : m_profile.kinds) {
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
        route.timeout = kind.timeout;
        route.aim = kind.aim;
        route.gapAim = kind.gapAim;
        routes.push_back(std::move(route));
    }
    service_profile engines;
    engines.name = "engines";
    engine_profile profile;
    profile.cacheTokens = m_profile.engine.memoryTokens;
    profile.bytesPerToken = static_cast<std::int64_t>(m_profile.engine.bytesPerToken);
    profile.linkMegabits = m_profile.engine.linkGigabits * 1e3;
    profile.tokensPerEvent = m_profile.engine.tokensPerEvent;
    engines.engine = profile;
    return std::make_shared<const serving_configuration>(
        1, std::move(routes), std::vector<service_profile> { engines }, caller_limits {});
}

void fleet_model::addEngines()
{
    m_initialPrefillEngines = static_cast<int>(std::ceil(m_profile.prefillShare * m_profile.engines));
    for (int i = 0; i < m_profile.engines; ++i) {
        engine_events events;
        events.onPrefilled = [this](std::uint64_t key) { schedule(answerTime, [this, key] { prefilled(key); }); };
        events.onEvent = [this](std::uint64_t key) { schedule(answerTime, [this, key] { streamed(key); }); };
        events.onEnd = [this](std::uint64_t key) { schedule(answerTime, [this, key] { answered(key); }); };
        events.onPrefillPart = [this](const prompt_part& part) { countRecomputed(part); };
        events.onCacheEvent = [this, i](const prompt_part& part) { handleCacheEvent(i, part); };
        // Engines are spread over availability zones, and so are the roles.
        auto profile = m_profile.engine;
        profile.slowness = typicalSlowness(i);
        m_engines.emplace_back(profile, i >= m_initialPrefillEngines, std::move(events));
        m_instances.push_back("engine-" + std::to_string(i));
        m_engineOf[m_instances.back()] = i;
        m_isLost.push_back(0);
        m_sequences.push_back(1);
        m_lossShare.push_back(0);
    }
}

double fleet_model::typicalSlowness(int engine) const
{
    return m_profile.slowness[static_cast<std::size_t>(engine) % m_profile.slowness.size()];
}

target_record fleet_model::recordOf(int engine) const
{
    const auto index = static_cast<std::size_t>(engine);
    target_record record;
    record.name = m_instances[index];
    record.service = "engines";
    record.address = "10.0.0.1:" + std::to_string(8000 + engine);
    record.availabilityZone = zoneName(engine % m_profile.zones);
    record.slots = m_profile.engine.slots;
    record.role = m_engines[index].alsoDecodes() ? target_role::decode : target_role::prefill;
    record.sequence = m_sequences[index];
    return record;
}

void fleet_model::addNodes()
{
    for (int i = 0; i < m_profile.nodes; ++i)
        addNode(static_cast<std::size_t>(i));
    for (std::size_t node = 0; node < m_nodes.size(); ++node)
        m_inService.push_back(node);
}

void fleet_model::addNode(std::size_t zone)
{
    const auto index = m_nodes.size();
    dispatcher_settings settings;
    settings.vm = nodeName(index);
    settings.availabilityZone = zoneName(static_cast<int>(zone) % m_profile.zones);
    settings.seed = index + 1;
    settings.retries.slack = 1000;
    settings.peerLoadExpiry = 2s;
    m_nodes.push_back({ std::make_unique<dispatcher>(settings), nodeName(index), false, {} });
    m_nodes.back().decisions->setKnownNodes(m_profile.nodes);
    for (int engine = 0; engine < m_profile.engines; ++engine)
        m_nodes.back().decisions->targetListed(recordOf(engine));
    schedule(fromSeconds(m_random.unit() * seconds(decisionInterval)), [this, index] { tickNode(index); });
    schedule(fromSeconds(m_random.unit() * 0.5), [this, index] { sendHeartbeat(index); });
}

void fleet_model::restart(const node_restart& what)
{
    for (auto& node : m_inService) {
        if (m_random.unit() >= what.share)
            continue;
        addNode(node);
        m_nodes[node].isRetired = true;
        node = m_nodes.size() - 1;
        if (what.hasSnapshot)
            schedule(what.share < 1 ? peerSnapshotTime : listTime, [this, node = node] { copyCachesFromPeer(node); });
    }
}

// Copies the cache map of the peer that has been in service for the longest time. If that one has restarted too, all
// have, and no peer has a snapshot.
void fleet_model::copyCachesFromPeer(std::size_t node)
{
    const auto peer = *std::min_element(m_inService.begin(), m_inService.end());
    if (peer >= static_cast<std::size_t>(m_profile.nodes))
        return listCaches(node);
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

void fleet_model::listCaches(std::size_t node)
{
    auto& to = *m_nodes[node].decisions;
    for (std::size_t engine = 0; engine < m_engines.size(); ++engine) {
        const auto id = to.fleet().find(m_instances[engine]);
        std::vector<cache_event> parts;
        for (const auto& part : m_engines[engine].cachedParts())
            parts.push_back({ part.id, part.tokens });
        if (id.isValid())
            to.replaceCacheParts(id, parts);
    }
}

void fleet_model::schedule(duration wait, action what) { m_events.emplace(m_now + wait, std::move(what)); }

fleet_result fleet_model::run(duration length)
{
    // Traffic starts some seconds after the nodes.
    m_trafficFrom = m_now + startupTime;
    for (std::size_t kind = 0; kind < m_profile.kinds.size(); ++kind)
        schedule(startupTime, [this, kind] { scheduleArrival(kind); });
    for (const auto& what : m_profile.restarts)
        schedule(startupTime + what.at, [this, what] { restart(what); });
    for (const auto& loss : m_profile.losses)
        schedule(startupTime + loss.from, [this, loss] { loseEngines(loss); });
    for (const auto& slowdown : m_profile.slowdowns)
        schedule(startupTime + slowdown.from, [this, slowdown] { slowEngines(slowdown); });
    for (const auto& failing : m_profile.failures)
        schedule(startupTime + failing.from, [this, failing] { startFailures(failing); });
    const instant end = m_trafficFrom + length;
    while (!m_events.empty() && m_events.begin()->first <= end) {
        m_now = m_events.begin()->first;
        const auto what = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        what();
    }
    for (const auto& engine : m_engines) {
        m_result.prefilledTokens += static_cast<double>(engine.counts().prefilledTokens);
        m_result.transferredGigabytes += engine.counts().transferredBytes / 1e9;
    }
    for (std::size_t kind = 0; kind < m_profile.kinds.size(); ++kind)
        countLargest(kind);
    return m_result;
}

// The value of a request increases with its size.
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
    const double rate = std::max(0.01, m_profile.kinds[kind].perSecond * m_profile.rate(kind, since));
    schedule(fromSeconds(-std::log(1 - m_arrivals.unit()) / rate), [this, kind] {
        arrive(kind);
        scheduleArrival(kind);
    });
}

void fleet_model::arrive(std::size_t kind)
{
    caller_request asked;
    asked.generated = m_generator.make(kind);
    asked.at = m_now;
    auto& counted = m_result.kinds[kind];
    ++counted.asked;
    counted.owed += asked.generated.owed;
    m_result.owed += asked.generated.owed;
    m_owed[kind].push_back(asked.generated.owed);
    if (fastestAnswer(asked.generated.text) > m_profile.kinds[kind].aim) {
        ++counted.unreachable;
        counted.owedUnreachable += asked.generated.owed - asked.generated.owedLate;
    }
    submit(std::move(asked), m_inService[m_arrivals.below(m_inService.size())]);
}

void fleet_model::submit(caller_request asked, std::size_t node)
{
    const auto kind = asked.generated.kind;
    serving_request request;
    request.id = "request-" + std::to_string(m_nextRequest++);
    request.configuration = m_configuration;
    request.route = &m_configuration->routes()[kind];
    request.service = "engines";
    request.callerTimeout = m_profile.kinds[kind].timeout - (m_now - asked.at);
    request.text = asked.generated.text;
    command_list out;
    const auto id = m_nodes[node].decisions->submit(std::move(request), m_now, out);
    m_requests[{ node, id }] = std::move(asked);
    scheduleSilenceCheck({ node, id }, m_now);
    execute(node, out);
}

duration fleet_model::silenceTimeout(std::size_t kind) const
{
    const auto& profile = m_profile.kinds[kind];
    return std::max(
        { minSilenceTimeout, silenceTimeoutInAims * profile.aim, silenceTimeoutInGapAims * profile.gapAim });
}

void fleet_model::scheduleSilenceCheck(request_key key, instant since)
{
    const auto longest = silenceTimeout(m_requests.at(key).generated.kind);
    schedule(since + longest - m_now, [this, key, since] {
        const auto found = m_requests.find(key);
        if (found == m_requests.end())
            return;
        if (found->second.events > 0 && found->second.lastEventAt > since)
            return scheduleSilenceCheck(key, found->second.lastEventAt);
        ++m_result.kinds[found->second.generated.kind].left;
        command_list out;
        m_nodes[key.first].decisions->callerDisconnected(key.second, m_now, out);
        execute(key.first, out);
        m_requests.erase(key);
    });
}

// A caller retries once if it was given a retry time.
void fleet_model::handleRefusal(request_key key, duration retryAfter)
{
    const auto found = m_requests.find(key);
    auto asked = std::move(found->second);
    m_requests.erase(found);
    const bool hasRetryTime = retryAfter > duration::zero();
    if (!hasRetryTime || asked.tries == maxTries) {
        auto& counted = m_result.kinds[asked.generated.kind];
        ++(hasRetryTime ? counted.refused : counted.failed);
        return;
    }
    ++asked.tries;
    const auto left = m_profile.kinds[asked.generated.kind].timeout - (m_now - asked.at);
    const auto node = m_inService[m_random.below(m_inService.size())];
    schedule(std::min(retryAfter, left / maxRetryDelayDivisor), [this, asked = std::move(asked), node] {
        // The node may have restarted meanwhile.
        const bool isThere = std::find(m_inService.begin(), m_inService.end(), node) != m_inService.end();
        submit(asked, isThere ? node : m_inService.front());
    });
}

// The time at an idle prefill engine, with the prefix fetched if any engine has ever prefilled it.
duration fleet_model::fastestAnswer(const prompt& text) const
{
    constexpr duration move = 50ms;
    const auto& shared = text.parts.front();
    const auto kept = m_prefilledParts.contains(shared.id) ? shared.tokens : 0;
    const auto read = static_cast<double>(text.inputTokens - kept);
    const auto& engine = m_profile.engine;
    const double steps = std::ceil(read / engine.chunkTokens);
    const double pairs = read * (static_cast<double>(kept) + read / 2);
    const double milliseconds = engine.stepMilliseconds * steps + read / engine.tokensPerMillisecond
        + engine.millionPairsMilliseconds * pairs / 1e6 + engine.prefillOverheadMilliseconds;
    return fromSeconds(milliseconds / 1e3) + move;
}

void fleet_model::tickNode(std::size_t node)
{
    command_list out;
    m_nodes[node].decisions->tick(m_now, out);
    execute(node, out);
    if (!m_nodes[node].isRetired || m_nodes[node].decisions->held() > 0)
        schedule(decisionInterval, [this, node] { tickNode(node); });
}

void fleet_model::sendNewJobs(std::size_t node)
{
    const auto jobs = m_nodes[node].decisions->takeNewJobs(m_now);
    if (jobs.empty())
        return;
    schedule(messageTime, [this, node, jobs] {
        for (std::size_t peer = 0; peer < m_nodes.size(); ++peer) {
            if (peer != node)
                m_nodes[peer].decisions->updatePeerJobs(shortHash(m_nodes[node].name), jobs, false, m_now);
        }
    });
}

void fleet_model::sendHeartbeat(std::size_t node)
{
    const auto jobs = m_nodes[node].decisions->ownJobs(m_now);
    const auto load = m_nodes[node].decisions->ownLoad();
    schedule(messageTime, [this, node, jobs, load] {
        for (std::size_t peer = 0; peer < m_nodes.size(); ++peer) {
            if (peer == node)
                continue;
            m_nodes[peer].decisions->updatePeerLoad(m_nodes[node].name, load, m_now);
            m_nodes[peer].decisions->updatePeerJobs(shortHash(m_nodes[node].name), jobs, true, m_now);
        }
    });
    const auto interval = std::max<duration>(
        minHeartbeatInterval, fromSeconds(static_cast<double>(m_profile.nodes) / heartbeatsPerSecond));
    if (!m_nodes[node].isRetired)
        schedule(interval, [this, node] { sendHeartbeat(node); });
}

void fleet_model::execute(std::size_t node, const command_list& commands)
{
    for (const auto& command : commands) {
        if (const auto* start = std::get_if<start_attempt>(&command)) {
            sendTo(node, *start);
        } else if (const auto* stop = std::get_if<stop_attempt>(&command)) {
            const auto sent = std::find_if(m_sent.begin(), m_sent.end(),
                [&](const auto& item) { return item.second.node == node && item.second.attempt == stop->attempt; });
            if (sent != m_sent.end()) {
                if (sent->second.engine >= 0)
                    m_engines[static_cast<std::size_t>(sent->second.engine)].cancel(sent->first);
                m_sent.erase(sent);
            }
        } else if (const auto* refusal = std::get_if<refuse_request>(&command)) {
            handleRefusal({ node, refusal->request }, refusal->retryAfter);
        }
    }
    sendNewJobs(node);
}

void fleet_model::sendTo(std::size_t node, const start_attempt& start)
{
    const auto& fleet = m_nodes[node].decisions->fleet();
    const auto engineOf = [&](target_id id) {
        const auto found = id.isValid() ? m_engineOf.find(fleet.instance[id.value]) : m_engineOf.end();
        return found == m_engineOf.end() ? -1 : found->second;
    };
    const auto key = m_nextKey++;
    auto& asked = m_requests.at({ node, start.request });
    const int engine = engineOf(start.target);
    m_sent[key] = { node, start.request, start.attempt, engine, start.stage, start.target };
    auto& connections = m_nodes[node].connections;
    m_result.connections += !connections.has(start.target, m_now);
    connections.take(start.target, m_now);
    if (engine < 0 || m_isLost[static_cast<std::size_t>(engine)]) {
        schedule(unreachedTime, [this, key] { endAttempt(key, attempt_result::unreached, {}); });
        return;
    }
    engine_job job;
    job.key = key;
    job.stage = start.stage;
    job.text = asked.generated.text;
    job.outputTokens = asked.generated.outputTokens;
    job.urgency = start.urgency;
    job.fetchFrom = engineOf(start.fetchFrom);
    job.cacheSource = start.stage == attempt_stage::decode ? engineOf(start.cache.source) : -1;
    const auto way = start.stage == attempt_stage::decode ? importTime : m_profile.kinds[asked.generated.kind].sendTime;
    schedule(way, [this, key, job = std::move(job)] { arriveAtEngine(key, job); });
}

void fleet_model::arriveAtEngine(std::uint64_t key, engine_job job)
{
    const auto sent = m_sent.find(key);
    if (sent == m_sent.end())
        return; // cancelled before it arrived
    const auto index = static_cast<std::size_t>(sent->second.engine);
    auto& engine = m_engines[index];
    if (m_isLost[index])
        return endAttempt(key, attempt_result::unreached, {});
    const bool isFull
        = engine.held() >= static_cast<std::size_t>(m_profile.engine.slots * (1 + waitingRequestsPerSlot));
    const bool isWrongRole = engine.alsoDecodes() == (job.stage == attempt_stage::prefill);
    if (isFull || isWrongRole || engine.isChanging())
        return endAttempt(key, attempt_result::rejected, {});
    engine.submit(job, m_engines, m_now);
    scheduleStep(sent->second.engine);
}

void fleet_model::scheduleStep(int engine)
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
        scheduleStep(engine);
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
        decisions.responseStarted(sent.request, sent.attempt, m_now);
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

void fleet_model::finish(caller_request& asked)
{
    const auto& profile = m_profile.kinds[asked.generated.kind];
    auto& counted = m_result.kinds[asked.generated.kind];
    double earned = asked.generated.owedLate;
    if (asked.first > profile.aim) {
        ++counted.lateFirst;
    } else if (asked.longestPause > profile.gapAim) {
        ++counted.lateForPause;
    } else {
        ++counted.onTime;
        earned = asked.generated.owed;
    }
    counted.earned += earned;
    m_result.earned += earned;
    m_outcomes[asked.generated.kind].push_back({ asked.generated.owed, earned });
}

void fleet_model::countRecomputed(const prompt_part& part)
{
    if (part.id < request_generator::firstOwnPart && !m_prefilledParts.insert(part.id).second)
        m_result.recomputedTokens += static_cast<double>(part.tokens);
}

void fleet_model::handleCacheEvent(int engine, const prompt_part& part)
{
    const auto instance = m_instances[static_cast<std::size_t>(engine)];
    schedule(cacheEventTime, [this, instance, part] {
        for (auto& node : m_nodes) {
            const auto row = node.decisions->fleet().find(instance);
            if (row.isValid())
                node.decisions->applyCacheEvents(row, { { part.id, part.tokens } });
        }
    });
}

void fleet_model::recordIdleConnection(const sent_attempt& sent)
{
    auto& node = m_nodes[sent.node];
    const auto until = m_now + m_profile.connectionTimeToLive;
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
        recordIdleConnection(sent);
    command_list out;
    m_nodes[sent.node].decisions->attemptEnded(sent.request, sent.attempt, result, cacheName, m_now, out);
    if (result == attempt_result::answered)
        m_requests.erase({ sent.node, sent.request });
    execute(sent.node, out);
}

}
