// The platform: an append-only log with offsets, a lagging VM list, and a rate-limited weight store.
#include "base/clock.h"
#include "http/http_server.h"
#include "standins/standins.h"

#include <QTimer>
#include <deque>
#include <nlohmann/json.hpp>

namespace tamarack::standins {

namespace {

    using nlohmann::json;
    using writer_ptr = std::shared_ptr<response_writer>;

    constexpr int slowMilliseconds = 1500;
    constexpr int lateMilliseconds = 800;
    constexpr int weightsPerSecond = 4;

    http_response answer(int status, const json& body)
    {
        http_response response;
        response.status = status;
        response.headers.set("Content-Type", "application/json");
        response.body = body.dump();
        return response;
    }

    std::int64_t queryNumber(const std::string& target, const std::string& name, std::int64_t fallback)
    {
        const auto at = target.find(name + "=");
        return at == std::string::npos ? fallback : std::atoll(target.c_str() + at + name.size() + 1);
    }

    class platform : public standin {
    public:
        explicit platform(const standin_options& options)
            : m_options(options)
            , m_server(
                  {}, [this](http_request request, writer_ptr caller) { handle(request, caller); },
                  [](error_kind, std::string_view detail) {
                      return answer(400, { { "error", detail } });
                  })
        {
            m_server.listen(QHostAddress(QString::fromStdString(options.address)), static_cast<quint16>(options.port));
        }

        int port() const override { return m_server.port(); }

    private:
        void handle(const http_request& request, const writer_ptr& caller)
        {
            const std::string path(request.path());
            if (path == "/fault")
                return fault(request, caller);
            if (path == "/vms")
                return vms(request, caller);
            if (path == "/counts")
                return caller->sendWhole(answer(200, { { "appends", m_appends }, { "reads", m_reads } }));
            if (path.starts_with("/weights/"))
                return weights(caller);
            if (!path.starts_with("/streams/"))
                return caller->sendWhole(answer(404, { { "error", "no such path" } }));
            if (m_logState == "down")
                return caller->abort();
            const int delay = m_logState == "slow" ? slowMilliseconds : 0;
            QTimer::singleShot(delay, [this, request, caller] { log(request, caller); });
        }

        void log(const http_request& request, const writer_ptr& caller)
        {
            if (request.method == "GET")
                return read(request, caller);
            ++m_appends;
            if (m_logState == "late") {
                // The record takes effect long after its writer has given up on it.
                QTimer::singleShot(lateMilliseconds, [this, body = request.body] { append(body); });
                return caller->abort();
            }
            const auto offset = append(request.body);
            if (m_logState == "lose_answers")
                return caller->abort();
            caller->sendWhole(answer(200, { { "offset", offset } }));
        }

        std::int64_t append(const std::string& body)
        {
            m_records.push_back(body);
            while (static_cast<std::int64_t>(m_records.size()) > m_options.retention) {
                m_records.pop_front();
                ++m_first;
            }
            return m_first + static_cast<std::int64_t>(m_records.size()) - 1;
        }

        void read(const http_request& request, const writer_ptr& caller)
        {
            ++m_reads;
            const auto from = std::max(queryNumber(request.target, "from", 0), m_first);
            const auto most = queryNumber(request.target, "max", 500);
            const auto end = m_first + static_cast<std::int64_t>(m_records.size());
            json records = json::array();
            for (auto at = from; at < std::min(end, from + most); ++at)
                records.push_back({ { "offset", at }, { "data", m_records[static_cast<std::size_t>(at - m_first)] } });
            caller->sendWhole(answer(200, { { "first", m_first }, { "end", end }, { "records", records } }));
        }

        void vms(const http_request& request, const writer_ptr& caller)
        {
            if (request.method == "POST") {
                const auto list = json::parse(request.body, nullptr, false);
                const auto lag = static_cast<int>(m_options.vmListLagSeconds * 1000);
                QTimer::singleShot(lag, [this, list] { m_vms = list; });
                return caller->sendWhole(answer(200, json::object()));
            }
            if (m_vmListState == "down")
                return caller->abort();
            caller->sendWhole(answer(200, m_vms));
        }

        void weights(const writer_ptr& caller)
        {
            const auto now = boot_clock::now();
            if (now - m_weightSecond > std::chrono::seconds(1)) {
                m_weightSecond = now;
                m_weightsGiven = 0;
            }
            const bool isOver = ++m_weightsGiven > weightsPerSecond;
            caller->sendWhole(answer(isOver ? 429 : 200, json::object()));
        }

        void fault(const http_request& request, const writer_ptr& caller)
        {
            const auto body = json::parse(request.body, nullptr, false);
            m_logState = body.value("log", m_logState);
            m_vmListState = body.value("vm_list", m_vmListState);
            m_options.retention = body.value("retention", m_options.retention);
            if (body.contains("append"))
                append(body["append"]); // by somebody who still reaches the log
            if (body.value("expire", false)) {
                m_first += static_cast<std::int64_t>(m_records.size());
                m_records.clear();
            }
            caller->sendWhole(answer(200, json::object()));
        }

        standin_options m_options;
        std::deque<std::string> m_records;
        std::int64_t m_first = 0; // offset of the oldest record kept
        json m_vms { { "vms", json::array() } };
        std::string m_logState = "up";
        std::string m_vmListState = "up";
        std::int64_t m_appends = 0;
        std::int64_t m_reads = 0;
        instant m_weightSecond;
        int m_weightsGiven = 0;
        http_server m_server;
    };

}

std::unique_ptr<standin> makePlatform(const standin_options& options) { return std::make_unique<platform>(options); }

}
