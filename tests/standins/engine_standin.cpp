// A model engine process: the engine model on a real clock, behind HTTP.
#include "base/clock.h"
#include "base/hash.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "observe/span.h"
#include "standins/answer_text.h"
#include "standins/engine_model.h"
#include "standins/standins.h"

#include <QCoreApplication>
#include <QTimer>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace tamarack::standins {

namespace {

    using nlohmann::json;
    using writer_ptr = std::shared_ptr<response_writer>;

    constexpr std::size_t keptCaches = 256;
    constexpr std::size_t loadHistory = 64;
    constexpr std::int64_t bytesPerToken = 4;
    constexpr std::int64_t prefixTokens = 500;
    constexpr int commentMilliseconds = 1000;
    constexpr int cutAfterEvents = 5;

    struct work {
        writer_ptr caller;
        std::string prompt;
        std::string attempt;
        std::int64_t next = 0; // event to send next
        std::int64_t end = 0; // events of the whole answer
        bool isStream = false;
        bool isPrefill = false;
        bool isCut = false; // a fault: the connection ends after some events
        bool isTruncated = false; // a fault: the stream ends neatly, but early
        std::string whole; // answers that are not streamed
        trace_context parent;
        std::int64_t startedAt = 0;
        int sent = 0;
    };

    http_response answer(int status, const json& body)
    {
        http_response response;
        response.status = status;
        response.headers.set("Content-Type", "application/json");
        response.body = body.dump();
        return response;
    }

    std::string promptOf(const json& body)
    {
        if (body.contains("prompt"))
            return body["prompt"];
        std::string prompt;
        for (const auto& message : body.at("messages"))
            prompt += message.at("content").get<std::string>() + "\n";
        return prompt;
    }

    class engine : public standin {
    public:
        engine(const standin_options& options, const service_entry& timing)
            : m_options(options)
            , m_model({ timing.slots, timing.pieceTokens, timing.prefillTokensPerSecond, timing.tokenInterval, 8 })
            , m_spans(options.spanFile, "engine " + options.name)
            , m_spanIds(stableHash(options.name, static_cast<std::uint64_t>(wallNanoseconds())))
            , m_incarnation(wallMilliseconds())
            , m_modelName(timing.model)
            , m_version(timing.version)
            , m_server(
                  {}, [this](http_request request, writer_ptr caller) { handle(request, caller); },
                  [](error_kind, std::string_view) {
                      return http_response { 400, {}, {} };
                  })
        {
            m_server.listen(QHostAddress(QString::fromStdString(options.address)), static_cast<quint16>(options.port));
            m_step.setSingleShot(true);
            m_step.setTimerType(Qt::PreciseTimer);
            QObject::connect(&m_step, &QTimer::timeout, [this] { endStep(); });
            QObject::connect(&m_comments, &QTimer::timeout, [this] { sendComments(); });
            m_comments.start(commentMilliseconds);
        }

        int port() const override { return m_server.port(); }

    private:
        void handle(const http_request& request, const writer_ptr& caller)
        {
            const auto path = request.path();
            if (path == "/control/status")
                return caller->sendWhole(answer(200, status()));
            if (path == "/control/orders")
                return order(request, caller);
            if (path == "/control/cache-events")
                return cacheEvents(caller);
            if (path == "/fault")
                return fault(request, caller);
            if (path.starts_with("/kv/"))
                return caller->sendWhole(answer(m_caches.contains(std::string(path.substr(4))) ? 200 : 404, {}));
            if (m_isLeaving)
                ++m_workAfterLeaving;
            if (m_isChanging)
                return refuse(caller);
            complete(request, caller);
        }

        void refuse(const writer_ptr& caller)
        {
            http_response refusal = answer(503, { { "error", "changing" } });
            refusal.headers.set("x-ran", "no");
            caller->sendWhole(refusal);
        }

        json status()
        {
            const auto now = boot_clock::now();
            // The load is what it was some time ago.
            while (m_history.size() > 1 && now - m_history[1].at >= fromSeconds(m_options.loadLagSeconds))
                m_history.pop_front();
            const load old = m_history.empty() ? load { now, 0, 0 } : m_history.front();
            const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - old.at).count();
            return { { "incarnation", m_incarnation }, { "changing", m_isChanging }, { "leaving", m_isLeaving },
                { "running", static_cast<int>(m_work.size()) }, { "role", std::string(toString(m_model.role())) },
                { "model", m_modelName }, { "version", m_version }, { "adapter", m_adapters },
                { "last_order", m_lastOrder }, { "orders", m_orders }, { "stale_orders", m_staleOrders },
                { "work_after_leaving", m_workAfterLeaving }, { "cut_by_change", m_cutByChange },
                { "load",
                    { { "running", old.running }, { "prefill_tokens", old.prefillTokens },
                        { "age_ms", m_history.empty() ? 0 : std::min<std::int64_t>(age, 400) } } } };
        }

        void noteLoad()
        {
            m_history.push_back({ boot_clock::now(), m_model.held(), m_model.prefillTokens() });
            if (m_history.size() > loadHistory)
                m_history.pop_front();
        }

        void complete(const http_request& request, const writer_ptr& caller)
        {
            const auto body = json::parse(request.body, nullptr, false);
            if (!body.is_object() || !(body.contains("prompt") || body.contains("messages")))
                return caller->sendWhole(answer(400, { { "error", "prompt is missing" } }));
            work item;
            item.caller = caller;
            item.prompt = promptOf(body);
            item.attempt = std::string(request.headers.find("x-attempt-id"));
            item.end = answerTokens(item.prompt, body.value("max_tokens", 256));
            item.next = static_cast<std::int64_t>(parseNumber(request.headers.find("x-resume-offset")).value_or(0));
            if (m_ignoresOffset)
                item.next = 0;
            item.isStream = body.value("stream", false);
            item.isPrefill = request.headers.find("x-stage") == "prefill";
            item.parent = parseTraceparent(request.headers.find("traceparent"));
            item.startedAt = wallNanoseconds();
            const auto fault = item.isPrefill ? "" : std::exchange(m_nextFault, "");
            if (fault == "silent") {
                m_silenced.push_back(caller);
                return;
            }
            if (fault == "lose_answer")
                return caller->abort();
            if (fault == "crossed")
                item.attempt = "0";
            item.isCut = fault == "cut";
            item.isTruncated = fault == "truncate";
            if (item.prompt == harmfulPrompt && !item.isPrefill)
                return QCoreApplication::exit(1);
            const auto priority = static_cast<int>(parseNumber(request.headers.find("x-priority")).value_or(0));
            if (request.headers.find("x-stage") == "decode")
                return importCache(request, std::move(item), priority);
            begin(std::move(item), priority, true);
        }

        void importCache(const http_request& request, work item, int priority)
        {
            const auto source = parseEndpoint(request.headers.find("x-kv-source"));
            http_request ask;
            ask.method = "GET";
            ask.target = "/kv/" + std::string(request.headers.find("x-kv"));
            exchange_options options;
            options.silenceTimeout = std::chrono::seconds(1);
            auto shared = std::make_shared<work>(std::move(item));
            m_client.fetch(
                source, ask, options, [this, shared, priority](const http_response* response, const exchange_failure&) {
                    if (response && response->status == 200)
                        return begin(std::move(*shared), priority, false);
                    http_response missing = answer(424, { { "error", "the KV cache cannot be imported" } });
                    missing.headers.set("x-attempt-id", shared->attempt);
                    shared->caller->sendWhole(missing);
                });
        }

        void begin(work item, int priority, bool needsPrefill)
        {
            if (!item.caller->isOpen())
                return;
            const auto id = m_nextJob++;
            engine_job job;
            job.id = id;
            job.priority = priority;
            const auto promptTokens = static_cast<std::int64_t>(item.prompt.size()) / bytesPerToken + 1;
            job.promptTokens = needsPrefill ? promptTokens : 0;
            job.outputTokens = item.isPrefill ? 0 : std::max<std::int64_t>(1, item.end - item.next);
            if (needsPrefill && promptTokens > prefixTokens) {
                job.prefixKey = stableHash(std::string_view(item.prompt).substr(0, prefixTokens * bytesPerToken));
                job.prefixTokens = prefixTokens;
                m_cacheEvents.push_back(job.prefixKey);
            }
            item.caller->onClosed = [this, id] {
                m_model.cancel(id);
                m_work.erase(id);
            };
            if (item.isStream && !item.isPrefill) {
                http_response_head head { 200, {} };
                head.headers.set("Content-Type", "text/event-stream");
                head.headers.set("x-attempt-id", item.attempt);
                item.caller->startStream(head);
            }
            m_work[id] = std::move(item);
            m_model.add(job);
            if (!m_step.isActive())
                beginStep();
        }

        void beginStep()
        {
            noteLoad();
            if (m_model.isIdle())
                return;
            m_step.start(static_cast<int>(m_model.beginStep() * 1000));
        }

        void endStep()
        {
            const auto events = m_model.endStep();
            for (const auto& event : events) {
                if (event.kind == engine_event_kind::token)
                    sendToken(event.job);
                if (event.kind == engine_event_kind::done)
                    finish(event.job);
            }
            beginStep();
        }

        void sendToken(std::uint64_t id)
        {
            const auto found = m_work.find(id);
            if (found == m_work.end() || found->second.next >= found->second.end)
                return;
            work& item = found->second;
            if ((item.isCut || item.isTruncated) && item.sent == cutAfterEvents) {
                const auto caller = item.caller;
                const bool isNeat = item.isTruncated;
                m_model.cancel(id);
                m_work.erase(found);
                return isNeat ? caller->finish() : caller->abort();
            }
            const auto event = answerEvent(item.prompt, item.next++);
            ++item.sent;
            if (item.isStream)
                item.caller->write(event);
            else
                item.whole += event;
        }

        void finish(std::uint64_t id)
        {
            const auto found = m_work.find(id);
            if (found == m_work.end())
                return;
            work item = std::move(found->second);
            m_work.erase(found);
            if (item.parent.isValid())
                m_spans.write({ m_spanIds.child(item.parent), item.parent.spanId,
                    item.isPrefill ? "engine prefill" : "engine decode", item.startedAt, wallNanoseconds(), {} });
            item.caller->onClosed = nullptr;
            if (item.isPrefill) {
                const auto name = std::to_string(m_incarnation) + "-" + std::to_string(id);
                keepCache(name);
                auto response = answer(200, { { "kv", name }, { "tokens", item.prompt.size() / bytesPerToken } });
                response.headers.set("x-attempt-id", item.attempt);
                return item.caller->sendWhole(response);
            }
            if (item.isStream) {
                item.caller->write("data: [DONE]\n\n");
                return item.caller->finish();
            }
            auto response = answer(200, { { "text", item.whole } });
            response.headers.set("x-attempt-id", item.attempt);
            item.caller->sendWhole(response);
        }

        void keepCache(const std::string& name)
        {
            m_caches.insert(name);
            m_cacheOrder.push_back(name);
            if (m_cacheOrder.size() <= keptCaches)
                return;
            m_caches.erase(m_cacheOrder.front());
            m_cacheOrder.pop_front();
        }

        void sendComments()
        {
            for (auto& [id, item] : m_work) {
                if (item.isStream && !item.isPrefill)
                    item.caller->write(": working\n\n");
            }
        }

        void order(const http_request& request, const writer_ptr& caller)
        {
            const auto body = json::parse(request.body, nullptr, false);
            if (!body.is_object() || !body.contains("order"))
                return caller->sendWhole(answer(400, {}));
            const std::int64_t number = body["order"];
            const std::int64_t fence = body.value("fence", number);
            const bool isStale = fence < m_highestFence;
            m_staleOrders += isStale;
            if (m_options.checksFencing && isStale)
                return caller->sendWhole(answer(409, { { "error", "stale fence" } }));
            m_highestFence = std::max(m_highestFence, fence);
            m_lastOrder = number;
            m_orders.push_back({ { "order", number }, { "set", body["set"] }, { "value", body["value"] } });
            caller->sendWhole(answer(202, {}));
            change(body["set"], body["value"]);
        }

        void change(const std::string& what, const std::string& value)
        {
            m_isChanging = true;
            // Whatever it holds now is cut: an engine does not wait. The system must have drained it.
            m_cutByChange += static_cast<int>(m_work.size());
            auto cut = std::move(m_work);
            m_work.clear();
            m_model.clear();
            for (auto& [id, item] : cut) {
                item.caller->onClosed = nullptr;
                item.caller->abort();
            }
            fetchWeights(what == "role", [this, what, value] {
                QTimer::singleShot(static_cast<int>(m_options.changeSeconds * 1000), [this, what, value] {
                    bool isRole = false;
                    if (what == "role")
                        m_model.setRole(parseRole(value, isRole));
                    if (what == "version")
                        m_version = value;
                    if (what == "model")
                        m_modelName = value;
                    if (what == "adapter")
                        m_adapters = value;
                    m_isChanging = false;
                });
            });
        }

        /// Asks the weight store until it gives them; a role change needs none.
        void fetchWeights(bool isNeedless, std::function<void()> then)
        {
            if (isNeedless || m_options.weightStore.empty())
                return then();
            http_request ask;
            ask.method = "GET";
            ask.target = "/weights/" + m_modelName;
            m_client.fetch(parseEndpoint(m_options.weightStore), ask, {},
                [this, then](const http_response* response, const exchange_failure&) {
                    if (response && response->status == 200)
                        return then();
                    QTimer::singleShot(500, [this, then] { fetchWeights(false, then); });
                });
        }

        /// Late, and with gaps: every seventh event is missing.
        void cacheEvents(const writer_ptr& caller)
        {
            json events = json::array();
            for (std::size_t i = 0; i + 4 < m_cacheEvents.size(); ++i) {
                if (i % 7 != 6)
                    events.push_back({ { "number", i }, { "prefix", m_cacheEvents[i] } });
            }
            caller->sendWhole(answer(200, { { "events", events } }));
        }

        void fault(const http_request& request, const writer_ptr& caller)
        {
            const auto body = json::parse(request.body, nullptr, false);
            m_nextFault = body.value("next", m_nextFault);
            m_isLeaving = body.value("leaving", m_isLeaving);
            m_ignoresOffset = body.value("ignore_offset", m_ignoresOffset);
            caller->sendWhole(answer(200, json::object()));
            if (body.value("crash", false))
                QTimer::singleShot(0, [] { QCoreApplication::exit(1); });
        }

        struct load {
            instant at;
            int running;
            std::int64_t prefillTokens;
        };

        standin_options m_options;
        engine_model m_model;
        span_writer m_spans;
        span_id_source m_spanIds;
        std::int64_t m_incarnation;
        std::string m_modelName;
        std::string m_version;
        std::string m_adapters; // names, with commas between
        std::map<std::uint64_t, work> m_work;
        std::uint64_t m_nextJob = 1;
        std::set<std::string> m_caches;
        std::deque<std::string> m_cacheOrder;
        std::deque<load> m_history;
        std::vector<std::uint64_t> m_cacheEvents;
        std::string m_nextFault;
        bool m_isChanging = false;
        bool m_isLeaving = false;
        bool m_ignoresOffset = false; // a fault: resumed answers begin anew
        std::int64_t m_lastOrder = -1;
        std::int64_t m_highestFence = -1;
        json m_orders = json::array();
        int m_staleOrders = 0;
        int m_workAfterLeaving = 0;
        int m_cutByChange = 0;
        std::vector<writer_ptr> m_silenced;
        QTimer m_step;
        QTimer m_comments;
        http_client m_client;
        http_server m_server;
    };

}

std::unique_ptr<standin> makeEngine(const standin_options& options, const service_entry& timing)
{
    return std::make_unique<engine>(options, timing);
}

}
