// Each page on an address of its own.
#include "service_pages.h"

#include <algorithm>
#include <vector>

namespace tamarack {

namespace {

    using namespace std::chrono_literals;

    /// The shorter, the sooner a node that leaves is free of callers; each caller asks once in this time.
    constexpr duration usualEntryLifetime = 1s;
    constexpr std::size_t mostEntries = 64;
    constexpr std::string_view statePath = "/state";
    constexpr std::string_view configurationPath = "/configuration";
    constexpr std::string_view cachesPath = "/caches";
    /// Of some 100 KB each at the most, to peers.
    constexpr std::size_t mostLongAnswers = 40;
    constexpr std::string_view metricsPath = "/metrics";

    http_response plainText(int status, std::string body = {})
    {
        http_response response { status, {}, std::move(body) };
        response.headers.set("Content-Type", "text/plain");
        return response;
    }

    http_response noRequest(error_kind kind, std::string_view detail)
    {
        return plainText(answerFor(kind).status, std::string(detail) + "\n");
    }

}

service_pages::service_pages(sources from)
    : m_from(std::move(from))
    , m_ready(
          {}, [this](const http_request& request, const auto& asker) { answerReady(request, asker); }, noRequest)
    , m_entries(
          {}, [this](const http_request& request, const auto& asker) { answerEntries(request, asker); }, noRequest)
    , m_peers(
          {}, [this](const http_request& request, const auto& asker) { answerPeer(request, asker); }, noRequest)
    , m_metrics(
          {}, [this](const http_request& request, const auto& asker) { answerMetrics(request, asker); }, noRequest)
{
}

duration service_pages::entryLifetime() { return usualEntryLifetime; }

std::string service_pages::listen(const gateway_settings& settings)
{
    m_longestEntryLifetime = settings.longestEntryLifetime;
    const std::pair<http_server*, const endpoint*> servers[] { { &m_ready, &settings.ready },
        { &m_entries, &settings.entries }, { &m_peers, &settings.admin }, { &m_metrics, &settings.metrics } };
    for (const auto& [server, place] : servers) {
        const auto address = QHostAddress(QString::fromStdString(place->address));
        if (place->port != 0 && !server->listen(address, place->port))
            return toString(*place);
    }
    return {};
}

void service_pages::answerReady(const http_request& request, const std::shared_ptr<response_writer>& asker)
{
    if (!m_from.callers.isReadyQuestion(request))
        return asker->sendWhole(plainText(404));
    asker->sendWhole(plainText(m_from.self().isReady ? 200 : 503));
}

void service_pages::answerEntries(const http_request& request, const std::shared_ptr<response_writer>& asker)
{
    if (!m_from.callers.decodeEntryQuestion(request))
        return asker->sendWhole(plainText(404));
    std::vector<serving::node_state> usable = m_from.nodes.alive(boot_clock::now());
    std::erase_if(usable, [](const serving::node_state& node) { return !node.isReady || node.isStopping; });
    if (auto self = m_from.self(); self.isReady)
        usable.insert(usable.begin(), std::move(self));
    if (usable.empty())
        return asker->sendWhole(m_from.callers.refusal(error_kind::not_ready, "no node is ready", 1s));
    const duration lifetime = std::min(usualEntryLifetime, m_longestEntryLifetime);
    asker->sendWhole(m_from.callers.entries({ serving::entryAddresses(usable, mostEntries, m_entryTurn++), lifetime }));
}

void service_pages::answerPeer(const http_request& request, const std::shared_ptr<response_writer>& asker)
{
    if (request.path() == statePath)
        return answerLong(asker, m_from.state);
    if (request.path() == configurationPath)
        return answerLong(asker, m_from.configuration);
    if (request.path() == cachesPath)
        return answerLong(asker, m_from.caches);
    answerMetrics(request, asker);
}

// What goes wrong without it: after the loss of 300 nodes before 3,000 targets all ask the few with wide links at once,
// the answers of half a megabyte wait for narrow links, and a node that answers takes 481 MB. Who is refused asks
// again.
void service_pages::answerLong(const std::shared_ptr<response_writer>& asker, const std::function<std::string()>& body)
{
    std::erase_if(m_longAnswers, [](const auto& item) {
        const auto answer = item.lock();
        return !answer || !answer->isOpen();
    });
    if (m_longAnswers.size() >= mostLongAnswers)
        return asker->sendWhole(plainText(503));
    m_longAnswers.push_back(asker);
    const auto text = body();
    asker->startSized({ 200, {} }, text.size());
    // It counts until its last byte has left.
    asker->onDrained = [weak = std::weak_ptr(asker)] {
        const auto answer = weak.lock();
        if (answer && answer->isOpen() && answer->bytesQueued() == 0)
            answer->finish();
    };
    asker->write(text);
    if (asker->bytesQueued() == 0)
        asker->finish();
}

void service_pages::answerMetrics(const http_request& request, const std::shared_ptr<response_writer>& asker)
{
    asker->sendWhole(request.path() == metricsPath ? plainText(200, m_from.counters.text()) : plainText(404));
}

}
