// A plain service: takes a moment for each call and counts runs by key.
#include "base/clock.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "observe/span.h"
#include "standins/rest_period.h"
#include "standins/standins.h"

#include <QTimer>
#include <cmath>
#include <map>
#include <nlohmann/json.hpp>

namespace tamarack::standins {

namespace {

    using nlohmann::json;
    using writer_ptr = std::shared_ptr<response_writer>;

    class service : public standin {
    public:
        service(const standin_options& options, const service_entry& timing)
            : m_options(options)
            , m_timing(timing)
            , m_spans(options.spanFile, "service " + options.name)
            , m_spanIds(static_cast<std::uint64_t>(wallNanoseconds()))
            , m_incarnation(wallMilliseconds())
            , m_server(
                  {}, [this](http_request request, writer_ptr caller) { handle(request, caller); },
                  [](error_kind, std::string_view) {
                      return http_response { 400, {}, {} };
                  })
        {
            m_server.listen(QHostAddress(QString::fromStdString(options.address)), static_cast<quint16>(options.port));
        }

        int port() const override { return m_server.port(); }

    private:
        void send(const writer_ptr& caller, const json& body, std::string_view attempt = {})
        {
            http_response response;
            response.headers.set("Content-Type", "application/json");
            response.headers.set("x-service", m_options.name);
            if (!attempt.empty())
                response.headers.set("x-attempt-id", std::string(attempt));
            response.body = body.dump();
            caller->sendWhole(response);
        }

        void handle(const http_request& request, const writer_ptr& caller)
        {
            const auto path = request.path();
            if (path == "/control/status")
                return send(caller, status());
            if (path == "/runs")
                return send(caller, m_runs);
            if (path == "/fault") {
                const auto body = json::parse(request.body, nullptr, false);
                m_nextFault = body.value("next", m_nextFault);
                m_isLeaving = body.value("leaving", m_isLeaving);
                m_rest.ask(fromSeconds(body.value("rest", 0.0)));
                return send(caller, json::object());
            }
            if (m_isLeaving)
                m_workAfterLeaving += 1;
            run(request, caller);
        }

        json status() const
        {
            return { { "incarnation", m_incarnation }, { "running", m_running }, { "leaving", m_isLeaving },
                { "work_after_leaving", m_workAfterLeaving }, { "work", m_work }, { "turned_away", m_turnedAway },
                { "work_at_rest", m_rest.lateArrivals() },
                { "load", { { "running", m_running }, { "prefill_tokens", 0 }, { "age_ms", 0 } } } };
        }

        /// Turns a request away, if `rest` is positive with the time for which others are to stay away as well.
        void refuse(const writer_ptr& caller, duration rest)
        {
            ++m_turnedAway;
            http_response refusal { 503, {}, {} };
            refusal.headers.set("x-ran", "no");
            if (rest > duration::zero())
                refusal.headers.set("Retry-After", std::to_string(static_cast<int>(std::ceil(seconds(rest)))));
            caller->sendWhole(refusal);
        }

        void run(const http_request& request, const writer_ptr& caller)
        {
            const auto rest = m_rest.turnAway(boot_clock::now());
            if (rest)
                return refuse(caller, *rest);
            const auto fault = std::exchange(m_nextFault, "");
            if (fault == "refuse")
                return refuse(caller, duration::zero());
            ++m_work;
            const std::string key(request.headers.find("idempotency-key"));
            if (!key.empty())
                m_runs[key] = m_runs.value(key, 0) + 1;
            ++m_running;
            const auto startedAt = wallNanoseconds();
            const auto wait = static_cast<int>(m_timing.requestSeconds * 1000);
            QTimer::singleShot(wait, [this, request, caller, fault, startedAt] {
                if (fault == "silent") {
                    --m_running;
                    m_silenced.push_back(caller);
                    return;
                }
                if (fault == "lose_answer") {
                    --m_running;
                    return caller->abort();
                }
                if (!m_options.entry.empty() && request.path() == "/nested")
                    return callModel(request, caller);
                --m_running;
                writeSpan(request, startedAt);
                if (const auto bytes = fillBytes(request.path()); bytes > 0)
                    return send(caller, { { "fill", std::string(bytes, 'x') } }, request.headers.find("x-attempt-id"));
                send(caller,
                    { { "service", m_options.name }, { "path", request.target }, { "bytes", request.body.size() } },
                    request.headers.find("x-attempt-id"));
            });
        }

        /// The size of an answer that is longer than most, or 0.
        static std::size_t fillBytes(std::string_view path)
        {
            constexpr std::size_t mebibyte = 1024 * 1024;
            if (path == "/large")
                return 9 * mebibyte; // more than a node passes on
            return path == "/long" ? 7 * mebibyte : 0;
        }

        /// Calls a model through the system, as an application service does in the middle of a call.
        void callModel(const http_request& request, const writer_ptr& caller)
        {
            const auto given = parseNumber(request.headers.find("tamarack-depth"));
            http_request nested;
            nested.method = "POST";
            nested.target = "/v1/completions";
            nested.headers.set("Tamarack-Depth", std::to_string(given.value_or(0) + 1));
            nested.headers.set("traceparent", std::string(request.headers.find("traceparent")));
            nested.body = request.body;
            exchange_options options;
            options.silenceTimeout = std::chrono::seconds(60);
            const std::string attempt(request.headers.find("x-attempt-id"));
            m_client.fetch(parseEndpoint(m_options.entry), nested, options,
                [this, caller, attempt](const http_response* response, const exchange_failure&) {
                    --m_running;
                    send(caller, { { "nested_status", response ? response->status : 0 } }, attempt);
                });
        }

        void writeSpan(const http_request& request, std::int64_t startedAt)
        {
            const auto parent = parseTraceparent(request.headers.find("traceparent"));
            if (parent.isValid())
                m_spans.write({ m_spanIds.child(parent), parent.spanId, "service " + std::string(request.path()),
                    startedAt, wallNanoseconds(), {} });
        }

        standin_options m_options;
        service_entry m_timing;
        span_writer m_spans;
        span_id_source m_spanIds;
        std::int64_t m_incarnation;
        json m_runs = json::object();
        std::string m_nextFault;
        bool m_isLeaving = false;
        int m_running = 0;
        int m_workAfterLeaving = 0;
        int m_work = 0; // calls that were taken
        int m_turnedAway = 0;
        rest_period m_rest;
        std::vector<writer_ptr> m_silenced;
        http_client m_client;
        http_server m_server;
    };

}

std::unique_ptr<standin> makeService(const standin_options& options, const service_entry& timing)
{
    return std::make_unique<service>(options, timing);
}

}
