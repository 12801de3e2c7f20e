// The caller's part of the protocol.
#include "harness/test_caller.h"

#include "harness/blocking_http.h"
#include "standins/answer_text.h"

#include <QTimer>
#include <nlohmann/json.hpp>

namespace tamarack::harness {

namespace {

    using nlohmann::json;
    constexpr duration tryAgain = std::chrono::milliseconds(150);
    constexpr duration streamSilence = std::chrono::seconds(6);

}

struct test_caller::running_call {
    call_spec spec;
    std::function<void(const call_result&)> done;
    call_result result;
    instant startedAt;
    endpoint node; // of the present try
    std::string home;
    std::string received; // events that count, as bytes
    std::uint64_t nextEvent = 0;
    bool sawEnd = false;
    bool sawByte = false;
    int status = 0;
    std::string body;
    bool isStream = false;
    event_splitter splitter;
    bool isFinished = false;
};

test_caller::test_caller(std::vector<endpoint> nodes, std::uint64_t seed)
    : m_random(seed)
    , m_seeds(std::move(nodes))
{
}

test_caller::~test_caller() = default;

endpoint test_caller::pickNode(const endpoint& avoid)
{
    const auto& from = m_entries.empty() ? m_seeds : m_entries;
    for (int i = 0; i < 4; ++i) {
        const auto& node = from[m_random.below(from.size())];
        if (node != avoid || from.size() == 1)
            return node;
    }
    return from.front();
}

void test_caller::refreshEntries(std::function<void()> then, int triesLeft)
{
    const auto node = m_entries.empty() || triesLeft % 2 ? m_seeds[m_random.below(m_seeds.size())] : pickNode({});
    http_request request;
    request.method = "GET";
    request.target = "/v1/entries";
    exchange_options options;
    options.silenceTimeout = std::chrono::seconds(1);
    m_client.fetch(node, request, options,
        [this, then = std::move(then), triesLeft](const http_response* response, const exchange_failure&) {
            const auto body = response ? json::parse(response->body, nullptr, false) : json();
            const bool isUseful = body.is_object() && body.contains("entries") && !body["entries"].empty();
            if (!isUseful) {
                if (triesLeft <= 0)
                    return then();
                return refreshEntries(then, triesLeft - 1);
            }
            m_entries.clear();
            for (const auto& entry : body["entries"])
                m_entries.push_back(parseEndpoint(entry["address"].get<std::string>()));
            m_entriesUntil = boot_clock::now() + fromSeconds(body["lifetime_seconds"]);
            then();
        });
}

void test_caller::send(const call_spec& spec, std::function<void(const call_result&)> done)
{
    auto call = std::make_shared<running_call>();
    call->spec = spec;
    call->done = std::move(done);
    call->startedAt = boot_clock::now();
    call->isStream = spec.kind == call_kind::completion;
    ++m_pending;
    attempt(call);
}

call_result test_caller::call(const call_spec& spec)
{
    call_result result;
    bool isDone = false;
    send(spec, [&](const call_result& ended) {
        result = ended;
        isDone = true;
    });
    waitUntil([&] { return isDone; }, fromSeconds(spec.patience + 30));
    return result;
}

void test_caller::attempt(const call_ptr& call)
{
    if (seconds(boot_clock::now() - call->startedAt) > call->spec.patience) {
        const bool wasRefused = call->status != 0 && call->received.empty();
        return finish(call, wasRefused ? call_end::refused : call_end::lost, "patience ended");
    }
    const auto go = [this, call] {
        const endpoint avoid = call->result.tries > 0 ? call->node : endpoint();
        const endpoint node = pickNode(avoid);
        if (call->spec.kind == call_kind::non_idempotent && call->home.empty())
            return learnHome(call, node);
        attemptAt(call, node);
    };
    if (boot_clock::now() >= m_entriesUntil)
        return refreshEntries(go);
    go();
}

void test_caller::learnHome(const call_ptr& call, const endpoint& node)
{
    http_request request;
    request.method = "GET";
    request.target = "/v1/entries";
    exchange_options options;
    options.silenceTimeout = std::chrono::seconds(1);
    m_client.fetch(node, request, options, [this, call, node](const http_response* response, const exchange_failure&) {
        if (!response) {
            call->node = node;
            return again(call, tryAgain);
        }
        call->home = std::string(response->headers.find("tamarack-home"));
        attemptAt(call, node);
    });
}

http_request test_caller::requestFor(const running_call& call) const
{
    const auto& spec = call.spec;
    http_request request;
    request.method = "POST";
    request.headers.set("Content-Type", "application/json");
    if (!spec.requestClass.empty())
        request.headers.set("Tamarack-Class", spec.requestClass);
    if (!spec.traceparent.empty())
        request.headers.set("traceparent", spec.traceparent);
    if (spec.kind == call_kind::completion) {
        request.target = "/v1/completions";
        request.body = json {
            { "model", spec.model }, { "prompt", spec.prompt }, { "max_tokens", spec.maxTokens }, { "stream", true }
        }.dump();
        if (call.nextEvent > 0)
            request.headers.set("Last-Event-ID", std::to_string(call.nextEvent - 1));
        return request;
    }
    request.target = "/services/" + spec.model + spec.path;
    request.body = spec.prompt;
    if (spec.kind == call_kind::non_idempotent) {
        request.headers.set("Idempotency-Key", spec.key);
        request.headers.set("Tamarack-Home", call.home);
    }
    return request;
}

void test_caller::attemptAt(const call_ptr& call, const endpoint& node)
{
    call->node = node;
    call->status = 0;
    call->body.clear();
    call->splitter.reset();
    ++call->result.tries;
    if (call->nextEvent > 0)
        ++call->result.resumes;
    exchange_options options;
    options.silenceTimeout = call->isStream ? streamSilence : fromSeconds(call->spec.patience);
    exchange_handlers handlers;
    handlers.onHead = [call](const http_response_head& head) { call->status = head.status; };
    handlers.onBody = [call](std::string_view bytes) {
        if (!call->isStream || call->status != 200) {
            call->body += bytes;
            return;
        }
        call->splitter.feed(bytes, [&](const stream_event& event) {
            if (event.isComment || (!event.id && event.data != "[DONE]"))
                return;
            if (!call->sawByte) {
                call->sawByte = true;
                call->result.firstSeconds = seconds(boot_clock::now() - call->startedAt);
            }
            call->received += event.bytes;
            call->sawEnd |= event.data == "[DONE]";
            if (event.id)
                call->nextEvent = *event.id + 1;
        });
    };
    handlers.onEnd = [this, call] { onEnd(call); };
    handlers.onFailure = [this, call](const exchange_failure&) { again(call, tryAgain); };
    m_client.start(node, requestFor(*call), options, std::move(handlers));
}

void test_caller::onEnd(const call_ptr& call)
{
    if (call->status != 200)
        return onRefusal(call);
    if (!call->isStream)
        return finish(call, call_end::whole, {});
    if (!call->sawEnd)
        return again(call, tryAgain);
    const auto expected = standins::answerStream(call->spec.prompt, call->spec.maxTokens);
    const bool isRight = call->received == expected;
    finish(call, isRight ? call_end::whole : call_end::wrong, isRight ? "" : "bytes differ from the target's");
}

void test_caller::onRefusal(const call_ptr& call)
{
    const auto body = json::parse(call->body, nullptr, false);
    const std::string executed = body.is_object() ? body.value("ran", "") : "";
    const bool isKeyed = call->spec.kind == call_kind::non_idempotent;
    if (isKeyed && executed == "unknown")
        return finish(call, call_end::unknown, body.value("detail", ""));
    if (body.is_object() && body.value("type", "").ends_with("key-moved") && body.contains("address"))
        return attemptAt(call, parseEndpoint(body["address"].get<std::string>()));
    const double wait = body.is_object() ? body.value("retry_after_seconds", 0.0) : 0.0;
    if (wait > 0)
        return again(call, fromSeconds(wait));
    finish(call, call_end::refused, call->body);
}

void test_caller::again(const call_ptr& call, duration wait)
{
    const auto delay = std::chrono::duration_cast<std::chrono::milliseconds>(wait);
    QTimer::singleShot(delay, &m_lifetime, [this, call] { attempt(call); });
}

void test_caller::finish(const call_ptr& call, call_end end, std::string detail)
{
    if (call->isFinished)
        return;
    call->isFinished = true;
    --m_pending;
    call->result.end = end;
    call->result.detail = std::move(detail);
    call->result.totalSeconds = seconds(boot_clock::now() - call->startedAt);
    if (!call->isStream)
        call->result.firstSeconds = call->result.totalSeconds;
    call->done(call->result);
}

}
