// Implements the at-most-once execution of non-idempotent requests.
#include "idempotency_handler.h"

#include "problem_answer.h"

#include <nlohmann/json.hpp>

namespace tamarack {

namespace {

    std::string encodeAnswer(const http_response& answer)
    {
        std::string text = std::to_string(answer.status) + "\n";
        text += std::string(answer.headers.find("content-type")) + "\n";
        return text + answer.body;
    }

    http_response decodeAnswer(const std::string& stored)
    {
        const auto first = stored.find('\n');
        const auto second = stored.find('\n', first + 1);
        http_response answer;
        answer.status = std::stoi(stored.substr(0, first));
        answer.headers.set("Content-Type", stored.substr(first + 1, second - first - 1));
        answer.headers.set("Tamarack-Replayed", "true");
        answer.body = stored.substr(second + 1);
        return answer;
    }

}

idempotency_handler::idempotency_handler(
    key_registry& keys, peer_transport& peers, const membership& members, metrics& counters, duration timeout)
    : m_keys(keys)
    , m_peers(peers)
    , m_members(members)
    , m_counters(counters)
    , m_timeout(timeout)
{
}

std::string idempotency_handler::homeHeader() const { return toString(m_keys.issue(boot_clock::now())); }

void idempotency_handler::refuse(
    const std::shared_ptr<response_writer>& caller, error_kind kind, std::string_view detail, const std::string& extra)
{
    m_counters.count("tamarack_refused_total", { { "kind", std::string(answerFor(kind).type) } });
    auto answer = problemAnswer(kind, detail, duration::zero(), extra);
    answer.headers.set("Tamarack-Home", homeHeader());
    caller->sendWhole(answer);
}

void idempotency_handler::admit(const std::string& key, const std::string& homeText,
    std::shared_ptr<response_writer> caller, std::function<void()> run)
{
    const auto home = parseKeyHome(homeText);
    if (key.empty() || !home) {
        const nlohmann::json homeMember { { "home", homeHeader() } };
        return refuse(caller, error_kind::home_required,
            "send Idempotency-Key, and in Tamarack-Home the value that the node you first turned to gave you",
            homeMember.dump());
    }
    if (home->instance == m_keys.self())
        return applyDecision(key, m_keys.onRequest(key, *home, boot_clock::now()), caller, run);
    if (home->instance.node == m_keys.self().node) {
        // The home was an earlier incarnation of this node, whose key records were lost when it ended.
        return refuse(caller, error_kind::outcome_unknown, "the node that was first asked has restarted");
    }
    askHome(key, *home, std::move(caller), std::move(run));
}

void idempotency_handler::askHome(
    const std::string& key, const key_home& home, std::shared_ptr<response_writer> caller, std::function<void()> run)
{
    const peer_state* peer = m_members.find(home.instance.node);
    const bool hasRestarted = peer && peer->instance.incarnation > home.instance.incarnation;
    if (!peer || peer->peerPort == 0 || hasRestarted)
        return refuse(caller, error_kind::outcome_unknown, "the node that was first asked is gone");
    const peer_request request { peer_question::key, m_keys.self(), key, home };
    m_peers.ask(peer->address, peer->peerPort, request, m_timeout,
        [this, key, caller = std::move(caller), run = std::move(run)](std::optional<peer_reply> reply) {
            if (!reply || !reply->isKnown)
                return refuse(caller, error_kind::outcome_unknown, "the node that was first asked does not answer");
            if (reply->key.decision == key_decision::run)
                return applyDecision(key, m_keys.onDelegated(key, boot_clock::now()), caller, run);
            applyDecision(key, reply->key, caller, run);
        });
}

void idempotency_handler::applyDecision(const std::string& key, const key_answer& answer,
    const std::shared_ptr<response_writer>& caller, const std::function<void()>& run)
{
    switch (answer.decision) {
    case key_decision::run:
        return run();
    case key_decision::join:
        m_joinedCallers[key].push_back(caller);
        return;
    case key_decision::replay: {
        m_counters.count("tamarack_replayed_total");
        http_response stored = decodeAnswer(answer.storedAnswer);
        stored.headers.set("Tamarack-Home", homeHeader());
        return caller->sendWhole(stored);
    }
    case key_decision::moved: {
        const peer_state* peer = m_members.find(answer.movedTo.node);
        nlohmann::json movedMembers { { "moved_to", toString(answer.movedTo) } };
        if (peer)
            movedMembers["address"] = peer->address + ":" + std::to_string(peer->callerPort);
        return refuse(
            caller, error_kind::key_moved, "this key was given to another node; ask there", movedMembers.dump());
    }
    case key_decision::unknown:
        break;
    }
    refuse(caller, error_kind::outcome_unknown, "whether this request has run can no longer be told");
}

void idempotency_handler::onRequestFinished(const std::string& key, const relay::outcome& outcome)
{
    const auto now = boot_clock::now();
    const bool hasNotRun = !outcome.answer && answerFor(outcome.error).executed == ran::no;
    if (outcome.answer)
        m_keys.onAnswer(key, encodeAnswer(*outcome.answer), now);
    else if (hasNotRun)
        m_keys.onNotExecuted(key);
    else
        m_keys.onOutcomeUnknown(key, now);

    auto joined = std::move(m_joinedCallers[key]);
    m_joinedCallers.erase(key);
    for (const auto& caller : joined) {
        if (outcome.answer)
            caller->sendWhole(decodeAnswer(encodeAnswer(*outcome.answer)));
        else
            refuse(caller, outcome.error, answerFor(outcome.error).title);
    }
    auto peers = std::move(m_waitingPeers[key]);
    m_waitingPeers.erase(key);
    for (const auto& waiting : peers)
        onPeerRequest(waiting.request, waiting.reply);
}

void idempotency_handler::onPeerRequest(const peer_request& request, peer_transport::reply_sender reply)
{
    if (request.home.instance != m_keys.self())
        return reply({ false, {}, {} }); // the key's home was an earlier incarnation of this node
    const auto answer = m_keys.onDelegationRequest(request.asker, request.key, request.home, boot_clock::now());
    if (answer.decision == key_decision::join) {
        m_waitingPeers[request.key].push_back({ request, std::move(reply) });
        return;
    }
    reply({ true, {}, answer });
}

}
