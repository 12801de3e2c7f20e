// Implements the endpoints, each on an address of its own.
#include "node_endpoints.h"

#include "base/hash.h"

#include <algorithm>
#include <vector>

namespace tamarack {

namespace {

    using namespace std::chrono_literals;

    /// A shorter lifetime frees a draining node of callers sooner, at the cost of one request per caller in this time.
    constexpr duration defaultEntryLifetime = 1s;
    constexpr std::size_t maxEntries = 64;
    constexpr std::string_view statePath = "/state";
    constexpr std::string_view configurationPath = "/configuration";
    constexpr std::string_view cachesPath = "/caches";
    constexpr std::string_view quarantinePath = "/quarantine";
    constexpr std::string_view releasePath = "/quarantine/release/"; // followed by the digest
    /// Limit of concurrent large responses to peers, of some 100 KB each.
    constexpr std::size_t maxLargeResponses = 40;
    constexpr std::string_view metricsPath = "/metrics";

    http_response plainText(int status, std::string body = {})
    {
        http_response response { status, {}, std::move(body) };
        response.headers.set("Content-Type", "text/plain");
        return response;
    }

    http_response json(int status, std::string body)
    {
        http_response response { status, {}, std::move(body) };
        response.headers.set("Content-Type", "application/json");
        return response;
    }

    http_response malformedRequestResponse(error_kind kind, std::string_view detail)
    {
        return plainText(answerFor(kind).status, std::string(detail) + "\n");
    }

}

node_endpoints::node_endpoints(sources from, std::shared_ptr<client_budget> budget)
    : m_sources(std::move(from))
    , m_ready(
          {}, [this](const http_request& request, const auto& writer) { answerReady(request, writer); },
          malformedRequestResponse, {}, {}, budget)
    , m_entries(
          {}, [this](const http_request& request, const auto& writer) { answerEntries(request, writer); },
          malformedRequestResponse, {}, {}, budget)
    , m_peers(
          {}, [this](const http_request& request, const auto& writer) { answerPeer(request, writer); },
          malformedRequestResponse, {}, {}, budget)
    , m_metrics(
          {}, [this](const http_request& request, const auto& writer) { answerMetrics(request, writer); },
          malformedRequestResponse, {}, {}, budget)
    , m_entryChoice(stableHash(m_sources.self().vm))
{
}

void node_endpoints::setLimits(const limits& changed)
{
    m_ready.setLimits(changed.ready);
    m_entries.setLimits(changed.entries);
    m_peers.setLimits(changed.peers);
    m_metrics.setLimits(changed.metrics);
}

duration node_endpoints::entryLifetime() { return defaultEntryLifetime; }

std::string node_endpoints::listen(const gateway_settings& settings)
{
    m_maxEntryLifetime = settings.maxEntryLifetime;
    const std::pair<http_server*, const endpoint*> servers[] { { &m_ready, &settings.ready },
        { &m_entries, &settings.entries }, { &m_peers, &settings.admin }, { &m_metrics, &settings.metrics } };
    for (const auto& [server, place] : servers) {
        const auto address = QHostAddress(QString::fromStdString(place->address));
        if (place->port != 0 && !server->listen(address, place->port))
            return toString(*place);
    }
    return {};
}

void node_endpoints::answerReady(const http_request& request, const std::shared_ptr<response_writer>& writer)
{
    if (!m_sources.callers.isReadinessProbe(request))
        return writer->sendWhole(plainText(404));
    writer->sendWhole(plainText(m_sources.self().isReady ? 200 : 503));
}

void node_endpoints::answerEntries(const http_request& request, const std::shared_ptr<response_writer>& writer)
{
    const auto query = m_sources.callers.decodeEntryQuery(request);
    if (!query)
        return writer->sendWhole(plainText(404));
    std::vector<serving::node_state> usable = m_sources.nodes.alive(boot_clock::now());
    std::erase_if(usable, [](const serving::node_state& node) { return !node.isReady || node.isStopping; });
    if (auto self = m_sources.self(); self.isReady)
        usable.insert(usable.begin(), std::move(self));
    // While all nodes are cut off, callers stay where they are.
    const auto isCutOff = [this](const serving::node_state& node) { return m_sources.isCutOff(node.vm); };
    if (!std::all_of(usable.begin(), usable.end(), isCutOff))
        std::erase_if(usable, isCutOff);
    if (usable.empty())
        return writer->sendWhole(m_sources.callers.refusal(error_kind::not_ready, "no node is ready", 1s));
    const duration lifetime = std::min(defaultEntryLifetime, m_maxEntryLifetime);
    writer->sendWhole(
        m_sources.callers.entries({ m_entryChoice.choose(usable, query->availabilityZone, maxEntries), lifetime }));
}

void node_endpoints::answerPeer(const http_request& request, const std::shared_ptr<response_writer>& writer)
{
    if (request.path() == statePath)
        return sendLargeResponse(writer, m_sources.state);
    if (request.path() == configurationPath)
        return sendLargeResponse(writer, m_sources.configuration);
    if (request.path() == cachesPath)
        return sendLargeResponse(writer, m_sources.caches);
    if (request.path() == quarantinePath)
        return writer->sendWhole(json(200, m_sources.quarantine()));
    if (request.method == "POST" && request.path().starts_with(releasePath))
        return answerRelease(request, writer);
    answerMetrics(request, writer);
}

void node_endpoints::answerRelease(const http_request& request, const std::shared_ptr<response_writer>& writer)
{
    const auto trait = parseRequestTrait(request.path().substr(releasePath.size()));
    if (!trait)
        return writer->sendWhole(
            json(400, R"({"error":"the digest must have 32 hexadecimal digits, or be part- and 16 of them"})"));
    if (!m_sources.release(*trait))
        return writer->sendWhole(json(404, R"({"error":"nothing with this digest is quarantined"})"));
    writer->sendWhole(json(200, R"({"released":true})"));
}

// The number of concurrent large responses is limited: after the loss of 300 nodes with 3,000 targets, all of them ask
// the few nodes with wide links at once, responses of half a megabyte queue up for narrow links, and a responding node
// would take 481 MB of memory. A rejected peer retries.
void node_endpoints::sendLargeResponse(
    const std::shared_ptr<response_writer>& writer, const std::function<std::string()>& body)
{
    std::erase_if(m_largeResponses, [](const auto& item) {
        const auto answer = item.lock();
        return !answer || !answer->isOpen();
    });
    if (m_largeResponses.size() >= maxLargeResponses)
        return writer->sendWhole(plainText(503));
    m_largeResponses.push_back(writer);
    const auto text = body();
    writer->startSized({ 200, {} }, text.size());
    // The response counts as in flight until its last byte has been sent.
    writer->onDrained = [weak = std::weak_ptr(writer)] {
        const auto answer = weak.lock();
        if (answer && answer->isOpen() && answer->bytesQueued() == 0)
            answer->finish();
    };
    writer->write(text);
    if (writer->bytesQueued() == 0)
        writer->finish();
}

void node_endpoints::answerMetrics(const http_request& request, const std::shared_ptr<response_writer>& writer)
{
    writer->sendWhole(request.path() == metricsPath ? plainText(200, m_sources.counters.text()) : plainText(404));
}

}
