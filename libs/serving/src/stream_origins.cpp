// Implements notes, questions and the conclusion from what is known.
#include "serving/stream_origins.h"

#include <algorithm>
#include <array>
#include <map>

namespace tamarack::serving {

namespace {

    using namespace std::chrono_literals;

    constexpr std::size_t maxNotes = 50'000;
    constexpr std::size_t maxNotesWithoutPeer = 1'000;
    /// Peers answer within one round trip, so a question without an answer after this time was lost.
    constexpr duration repeatAfter = 20ms;
    constexpr duration answerTimeout = 60ms;
    /// In touch with a reader of the store, a node has its list confirmed several times within this time.
    constexpr duration listConfirmation = 1s;
    /// A question that only a younger list can answer ends after this time: the next confirmation of this node, or of
    /// a peer that is asked again, has come by then. Callers bear a pause of two seconds.
    constexpr duration confirmationTimeout = 1200ms;
    /// A target is listed for at least this time: it drains before it leaves, and the entry of one that has crashed
    /// expires after some heartbeats.
    constexpr duration shortestListing = 2s;

    constexpr std::array<std::string_view, static_cast<std::size_t>(origin_source::count)> sourceNames { "own", "told",
        "only_build", "unknown", "unanswered" };

    void merge(std::vector<build_id>& to, const std::vector<build_id>& from)
    {
        to.insert(to.end(), from.begin(), from.end());
        std::sort(to.begin(), to.end());
        to.erase(std::unique(to.begin(), to.end()), to.end());
    }

}

std::string_view toString(origin_source source) { return sourceNames[static_cast<std::size_t>(source)]; }

stream_origins::stream_origins(const fleet_table& fleet, instant knownSince)
    : m_builds(fleet, knownSince)
    , m_notes(maxNotes)
    , m_listConfirmedAt(knownSince)
{
}

void stream_origins::listConfirmed(instant at)
{
    if (at <= m_listConfirmedAt)
        return;
    if (m_listConfirmedAt != instant() && at > m_listConfirmedAt + shortestListing)
        m_builds.historyBroken(at);
    m_listConfirmedAt = at;
}

duration stream_origins::historyToShare(instant now) const
{
    return isListCurrent(now) ? m_builds.historyLength(now) : duration::zero();
}

void stream_origins::adoptHistory(duration length, instant now)
{
    if (length <= duration::zero())
        return;
    m_builds.adoptHistory(length, now);
    m_listConfirmedAt = std::max(m_listConfirmedAt, now - listConfirmation);
}

void stream_origins::readFleet(instant now)
{
    if (m_builds.update(now))
        tell(m_notes.takeUntold(now));
}

bool stream_origins::isListCurrent(instant now) const { return m_listConfirmedAt + listConfirmation >= now; }

std::vector<build_id> stream_origins::buildsOf(const origin_scope& scope, instant now) const
{
    return m_builds.known(scope.services, scope.lifetime, now);
}

bool stream_origins::isComplete(const origin_scope& scope, instant now) const
{
    return isListCurrent(now) && m_builds.historyLength(now) >= scope.lifetime;
}

bool stream_origins::isEvident(const origin_scope& scope, instant now) const
{
    return isComplete(scope, now) && buildsOf(scope, now).size() <= 1;
}

void stream_origins::began(stream_key stream, build_id build, const origin_scope& scope, instant now)
{
    readFleet(now);
    const origin_note note { stream, build, scope.lifetime };
    const bool mustTell = !isEvident(scope, now);
    m_notes.add(note, !mustTell, now);
    if (mustTell)
        tell({ note });
}

void stream_origins::setPeers(std::vector<origin_peer> peers)
{
    m_holders.setPeers(std::move(peers));
    tell(std::exchange(m_withoutPeer, {}));
}

void stream_origins::tell(std::vector<origin_note> notes)
{
    if (!m_holders.hasPeers()) {
        if (m_withoutPeer.size() < maxNotesWithoutPeer)
            m_withoutPeer.insert(m_withoutPeer.end(), notes.begin(), notes.end());
        return;
    }
    std::map<node_endpoint, origin_notes> byPeer;
    for (const auto& note : notes) {
        for (const auto& peer : m_holders.toldOf(note.stream))
            byPeer[peer].notes.push_back(note);
    }
    for (auto& [peer, message] : byPeer)
        m_outbox.push_back({ { peer }, std::move(message) });
}

void stream_origins::notesReceived(const origin_notes& message, instant now)
{
    for (const auto& note : message.notes)
        m_notes.add(note, false, now);
}

// Peers can tell which builds there have been even if the caller has not named the stream.
std::vector<node_endpoint> stream_origins::askedOf(const origin_question& question) const
{
    return m_holders.askedOf(question.stream.isValid() ? question.stream : stream_key { question.number });
}

std::optional<origin_finding> stream_origins::find(
    request_id request, stream_key stream, const origin_scope& scope, instant now)
{
    readFleet(now);
    if (stream.isValid()) {
        if (const auto known = m_notes.find(stream, now))
            return origin_finding { request, origin_source::own, *known, duration::zero() };
    }
    open_question asked;
    asked.question = { request.value, stream, scope };
    asked.askedAt = now;
    asked.wasListCurrent = isListCurrent(now);
    asked.silent = askedOf(asked.question);
    if (isDecided(asked, now))
        return conclude(request, asked, now);
    if (!asked.silent.empty())
        m_outbox.push_back({ asked.silent, asked.question });
    m_questions[request] = std::move(asked);
    return std::nullopt;
}

origin_reply stream_origins::replyTo(const origin_question& question, instant now)
{
    readFleet(now);
    origin_reply out { question.number, {}, buildsOf(question.scope, now), isComplete(question.scope, now) };
    if (question.stream.isValid())
        out.build = m_notes.find(question.stream, now).value_or(build_id());
    return out;
}

void stream_origins::replyReceived(const node_endpoint& from, const origin_reply& reply)
{
    const auto found = m_questions.find({ reply.number });
    if (found == m_questions.end() || std::erase(found->second.silent, from) == 0)
        return;
    auto& asked = found->second;
    ++asked.replies;
    merge(asked.builds, reply.builds);
    asked.isComplete |= reply.isComplete;
    asked.isConfirmed |= reply.isComplete && asked.isAskedLate;
    if (reply.build.isValid() && !asked.told.isValid())
        asked.told = reply.build;
}

build_id stream_origins::onlyBuild(const open_question& asked, instant now) const
{
    auto builds = buildsOf(asked.question.scope, now);
    merge(builds, asked.builds);
    const bool isListKnown = asked.wasListCurrent || isListCurrent(now);
    const bool isOwnHistoryLong = m_builds.historyLength(now) >= asked.question.scope.lifetime;
    const bool isCertain = asked.isComplete || (isListKnown && isOwnHistoryLong);
    return builds.size() == 1 && isCertain ? builds.front() : build_id();
}

bool stream_origins::isConfirmed(const open_question& asked) const
{
    return asked.isConfirmed || m_listConfirmedAt >= asked.askedAt;
}

bool stream_origins::isDecided(const open_question& asked, instant now) const
{
    if (asked.told.isValid())
        return true;
    const bool awaitsReplies = !asked.silent.empty() && now < asked.askedAt + answerTimeout;
    const bool awaitsConfirmation = onlyBuild(asked, now).isValid() && !isConfirmed(asked);
    return !awaitsReplies && (!awaitsConfirmation || now >= asked.askedAt + confirmationTimeout);
}

origin_finding stream_origins::conclude(request_id request, const open_question& asked, instant now) const
{
    const auto waited = now - asked.askedAt;
    if (asked.told.isValid())
        return { request, origin_source::told, asked.told, waited };
    const auto only = onlyBuild(asked, now);
    if (only.isValid() && isConfirmed(asked))
        return { request, origin_source::only_build, only, waited };
    const bool isUnanswered = only.isValid() || (asked.replies == 0 && !asked.silent.empty());
    return { request, isUnanswered ? origin_source::unanswered : origin_source::unknown, {}, waited };
}

void stream_origins::tick(instant now)
{
    readFleet(now);
    for (auto& [request, asked] : m_questions) {
        if (now >= asked.askedAt + listConfirmation && !std::exchange(asked.isAskedLate, true))
            asked.silent = askedOf(asked.question);
        else if (now < asked.askedAt + repeatAfter || std::exchange(asked.isRepeated, true))
            continue;
        if (!asked.silent.empty())
            m_outbox.push_back({ asked.silent, asked.question });
    }
}

std::vector<origin_finding> stream_origins::takeFindings(instant now)
{
    std::vector<origin_finding> out;
    for (auto at = m_questions.begin(); at != m_questions.end();) {
        const auto& asked = at->second;
        const bool isOver = isDecided(asked, now);
        if (isOver)
            out.push_back(conclude(at->first, asked, now));
        at = isOver ? m_questions.erase(at) : std::next(at);
    }
    return out;
}

}
