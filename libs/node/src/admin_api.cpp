// Implements the administration interface; docs/OPERATIONS.md describes the fields of the JSON status.
#include "admin_api.h"

#include <QHostAddress>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace tamarack {

namespace {

    using nlohmann::ordered_json;

    constexpr int maxConnections = 128;

    http_response textResponse(std::string body, const char* type = "text/plain")
    {
        http_response out { 200, {}, std::move(body) };
        out.headers.set("Content-Type", type);
        return out;
    }

    http_response jsonResponse(int status, std::string body)
    {
        http_response out { status, {}, std::move(body) };
        out.headers.set("Content-Type", "application/json");
        return out;
    }

    http_server_limits adminLimits()
    {
        http_server_limits out;
        out.bodyBytes = maxShortBodyBytes;
        out.connections = maxConnections;
        return out;
    }

    ordered_json nodeJson(const peer_state& node)
    {
        return { { "vm", node.instance.node }, { "instance", toString(node.instance) },
            { "availability_zone", node.availabilityZone },
            { "admin", node.address + ":" + std::to_string(node.adminPort) },
            { "configuration_version", node.configurationVersion }, { "log_reach", node.logReach },
            { "ready", node.isReady }, { "stopping", node.isStopping } };
    }

    ordered_json ordersJson(const replicated_state& replicatedState)
    {
        auto list = ordered_json::array();
        for (const auto& [target, orders] : replicatedState.data().orders) {
            if (!orders.isOpen)
                continue;
            list.push_back({ { "target", target }, { "order", orders.last.value },
                { "set", std::string(toString(orders.order.kind)) }, { "value", orders.order.value },
                { "deliverer", toString(orders.deliverer) }, { "checks_fencing", orders.checksFencing } });
        }
        return list;
    }

    ordered_json quarantineJson(const request_quarantine& quarantine, instant now)
    {
        auto list = ordered_json::array();
        for (const auto& record : quarantine.records(now)) {
            if (quarantine.isQuarantined(record.trait))
                list.push_back({ { "digest", toString(record.trait) }, { "targets", record.targets.size() },
                    { "age_seconds", seconds(record.age) } });
        }
        return list;
    }

    ordered_json targetsJson(const traffic_system& traffic, instant now)
    {
        auto list = ordered_json::array();
        const auto& targets = traffic.targets();
        for (std::uint32_t row = 0; row < targets.size(); ++row) {
            if (targets.service[row] < 0)
                continue;
            list.push_back({ { "target", targets.name[row] },
                { "service", traffic.config().services[static_cast<std::size_t>(targets.service[row])].name },
                { "role", std::string(toString(targets.role[row])) }, { "own", targets.ownRunning[row] },
                { "running", targets.runningEstimate({ row }, now) },
                { "takes_work", targets.acceptsWork({ row }, now) }, { "leaving", targets.isLeaving[row] != 0 },
                { "rest_seconds", std::max(0.0, seconds(targets.restUntil[row] - now)) },
                { "changing", targets.isChanging[row] != 0 }, { "draining", targets.isDraining[row] != 0 } });
        }
        return list;
    }

}

const admin_api::page admin_api::pages[] {
    { "/health", false, &admin_api::health },
    { "/status", false, &admin_api::statusPage },
    { "/metrics", false, &admin_api::metricsPage },
    { "/quarantine/release/", true, &admin_api::release },
    { "/drain", true, &admin_api::drain },
};

admin_api::admin_api(const node_settings& settings, const control_plane& control, traffic_system& traffic,
    const metrics& counters, std::shared_ptr<client_budget> budget, std::function<void()> onDrain)
    : m_settings(settings)
    , m_control(control)
    , m_traffic(traffic)
    , m_counters(counters)
    , m_onDrain(std::move(onDrain))
    , m_server(
          adminLimits(),
          [this](const http_request& request, const std::shared_ptr<response_writer>& writer) {
              writer->sendWhole(answerTo(request));
          },
          [](error_kind kind, std::string_view detail) {
              return http_response { answerFor(kind).status, {}, std::string(detail) + "\n" };
          },
          {}, {}, std::move(budget))
{
}

http_response admin_api::answerTo(const http_request& request)
{
    constexpr int notFound = 404;
    constexpr int methodNotAllowed = 405;
    const auto path = request.path();
    for (const auto& item : pages) {
        const bool isMatch = item.path.ends_with('/') ? path.starts_with(item.path) : path == item.path;
        if (!isMatch)
            continue;
        if (item.isPostOnly && request.method != "POST")
            return { methodNotAllowed, {}, "this page takes POST\n" };
        return (this->*item.answer)(path.substr(item.path.size()));
    }
    return { notFound, {}, "there is no such page\n" };
}

http_response admin_api::health(std::string_view) { return textResponse("ok\n"); }

http_response admin_api::statusPage(std::string_view) { return jsonResponse(200, status()); }

http_response admin_api::metricsPage(std::string_view)
{
    return textResponse(m_counters.text(), "text/plain; version=0.0.4");
}

http_response admin_api::release(std::string_view digestText)
{
    const auto digest = parseRequestTrait(digestText);
    if (!digest || !m_traffic.quarantine().release(*digest, boot_clock::now()))
        return jsonResponse(404, R"({"error":"no request with this digest is quarantined"})");
    return jsonResponse(200, R"({"released":true})");
}

http_response admin_api::drain(std::string_view)
{
    m_onDrain();
    return jsonResponse(200, R"({"draining":true})");
}

bool admin_api::listen()
{
    const QHostAddress address(QString::fromStdString(m_settings.address));
    return m_server.listen(address, static_cast<quint16>(m_settings.adminPort));
}

std::string admin_api::status() const
{
    const auto now = boot_clock::now();
    const auto& decisions = m_control.decisions();
    const auto& configuration = decisions.replicated().configuration();
    ordered_json body = nodeJson(m_control.selfState());
    body["state"] = std::string(toString(decisions.ready().state(now)));
    body["served_version"] = decisions.servedVersion();
    body["configuration_author"] = configuration.author;
    body["log_reachable"] = decisions.ready().isLogReachable(now);
    body["log_gap"] = decisions.follower().hasGap();
    auto held = ordered_json::array();
    for (const auto& [name, lease] : decisions.replicated().data().leases) {
        held.push_back({ { "lease", name }, { "holder", lease.holder.isValid() ? toString(lease.holder) : "" },
            { "term", lease.term.value },
            { "held_here", decisions.leases().holds(name, decisions.replicated(), now) } });
    }
    body["leases"] = held;
    body["open_orders"] = ordersJson(decisions.replicated());
    auto alarms = ordered_json::array();
    for (const auto& item : decisions.alarms(now))
        alarms.push_back({ { "alarm", item.name }, { "detail", item.detail } });
    body["alarms"] = alarms;
    auto peers = ordered_json::array();
    for (const auto* peer : decisions.members().alive(now))
        peers.push_back(nodeJson(*peer));
    body["peers"] = peers;
    const auto& counts = m_traffic.counts();
    body["requests"] = { { "held", m_traffic.held() }, { "waiting", m_traffic.waiting() },
        { "accepted", counts.accepted }, { "answered", counts.answered }, { "refused", counts.refused },
        { "retried", counts.retried }, { "resumed", counts.resumed } };
    body["targets"] = targetsJson(m_traffic, now);
    body["quarantined"] = quarantineJson(m_traffic.quarantine(), now);
    return body.dump(2);
}

}
