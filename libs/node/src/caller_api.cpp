// Implements the HTTP interface for callers, which docs/API.md describes.
#include "caller_api.h"

#include "problem_answer.h"

#include "base/hash.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

namespace tamarack {

namespace {

    constexpr std::string_view servicePrefix = "/services/";
    constexpr std::size_t entriesPerAccount = 3;
    constexpr std::size_t maxEntries = 16;
    constexpr double maxDeadlineSeconds = 3600;
    constexpr int maxDepth = 64;

    /// Headers that apply to a single connection or that this node sets itself; they are not forwarded to targets.
    constexpr std::array<std::string_view, 18> reservedHeaders { "connection", "keep-alive", "transfer-encoding", "te",
        "trailer", "upgrade", "expect", "host", "content-length", "proxy-connection", "tamarack-home",
        "tamarack-deadline", "x-attempt-id", "x-stage", "x-priority", "x-resume-offset", "x-kv", "x-kv-source" };

    bool isForwarded(std::string_view name)
    {
        return std::none_of(reservedHeaders.begin(), reservedHeaders.end(),
            [&](auto reserved) { return equalsIgnoreCase(reserved, name); });
    }

    std::string queryValue(const std::string& target, std::string_view name)
    {
        const auto question = target.find('?');
        if (question == std::string::npos)
            return {};
        std::string_view rest = std::string_view(target).substr(question + 1);
        while (!rest.empty()) {
            const auto end = rest.find('&');
            const auto pair = rest.substr(0, end);
            const auto equals = pair.find('=');
            if (pair.substr(0, equals) == name && equals != std::string_view::npos)
                return std::string(pair.substr(equals + 1));
            rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
        }
        return {};
    }

    std::optional<double> parseSeconds(std::string_view text)
    {
        double value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        const bool isFullyParsed = error == std::errc() && end == text.data() + text.size();
        if (!isFullyParsed || !(value > 0) || value > maxDeadlineSeconds)
            return std::nullopt;
        return value;
    }

    // In RFC 9218, urgency 0 is the highest and 3 is the default.
    bool isUrgentPriority(std::string_view header) { return header.starts_with("u=0") || header.starts_with("u=1"); }

}

caller_api::caller_api(const node_settings& settings, const control_system& control, const traffic_system& traffic,
    idempotency_handler& keys, metrics& counters, request_submitter submit, admission_check refusal)
    : m_settings(settings)
    , m_control(control)
    , m_traffic(traffic)
    , m_keys(keys)
    , m_counters(counters)
    , m_submit(std::move(submit))
    , m_refusal(std::move(refusal))
{
}

http_response caller_api::refusal(error_kind kind, std::string_view detail)
{
    m_counters.count("tamarack_refused_total", { { "kind", std::string(answerFor(kind).type) } });
    auto answer = problemAnswer(kind, detail);
    answer.headers.set("Connection", "close");
    return answer;
}

void caller_api::refuse(const caller_ptr& caller, error_kind kind, std::string_view detail)
{
    m_counters.count("tamarack_refused_total", { { "kind", std::string(answerFor(kind).type) } });
    auto answer = problemAnswer(kind, detail);
    answer.headers.set("Tamarack-Home", m_keys.homeHeader());
    caller->sendWhole(answer);
}

void caller_api::handle(http_request request, caller_ptr caller)
{
    const std::string path(request.path());
    if (path == "/v1/entries" && request.method == "GET")
        return entries(request, caller);
    const bool isChat = path == "/v1/chat/completions";
    const bool isCompletion = isChat || path == "/v1/completions";
    const bool isService = path.starts_with(servicePrefix);
    if (isCompletion && request.method != "POST")
        return refuse(caller, error_kind::bad_request, "completions take POST");
    if (!isCompletion && !isService)
        return refuse(caller, error_kind::unknown_service, "no such path: " + path);
    if (const auto reason = m_refusal())
        return refuse(caller, *reason, answerFor(*reason).title);
    if (isCompletion)
        return completion(std::move(request), isChat, caller);
    plainCall(std::move(request), caller);
}

void caller_api::entries(const http_request& request, const caller_ptr& caller)
{
    const auto now = boot_clock::now();
    const auto account = queryValue(request.target, "account");
    std::vector<peer_state> usable;
    for (const auto* peer : m_control.members().alive(now)) {
        if (peer->isReady && !peer->isStopping && !m_control.members().isLeaving(peer->instance.node))
            usable.push_back(*peer);
    }
    if (m_control.ready().acceptsWork(now)) {
        peer_state self;
        self.instance = m_keys.self();
        self.address = m_settings.address;
        self.callerPort = m_settings.callerPort;
        self.availabilityZone = m_settings.availabilityZone;
        usable.push_back(self);
    }
    // Each node enforces an account's limit on its own. Directing an account to few nodes keeps the total close to the
    // limit even with hundreds of nodes.
    std::sort(usable.begin(), usable.end(), [&](const peer_state& a, const peer_state& b) {
        return rendezvousWeight(account, a.instance.node) > rendezvousWeight(account, b.instance.node);
    });
    usable.resize(std::min(usable.size(), account.empty() ? maxEntries : entriesPerAccount));
    nlohmann::ordered_json body;
    body["entries"] = nlohmann::ordered_json::array();
    for (const auto& peer : usable) {
        body["entries"].push_back(
            { { "vm", peer.instance.node }, { "address", peer.address + ":" + std::to_string(peer.callerPort) },
                { "availability_zone", peer.availabilityZone } });
    }
    body["lifetime_seconds"] = seconds(m_settings.entryLifetime);
    body["configuration_version"] = m_control.servedVersion();
    body["home"] = m_keys.homeHeader();
    http_response answer;
    answer.headers.set("Content-Type", "application/json");
    answer.headers.set("Tamarack-Home", m_keys.homeHeader());
    answer.body = body.dump();
    caller->sendWhole(answer);
}

bool caller_api::parseHeaders(
    const http_request& request, const service_entry& service, relay_input& input, const caller_ptr& caller)
{
    const auto& headers = request.headers;
    if (headers.has("tamarack-deadline")) {
        const auto deadline = parseSeconds(headers.find("tamarack-deadline"));
        if (!deadline) {
            refuse(caller, error_kind::bad_request, "Tamarack-Deadline must be seconds above 0 and at most 3600");
            return false;
        }
        input.shape.deadline = fromSeconds(*deadline);
    }
    if (headers.has("tamarack-depth")) {
        const auto depth = parseNumber(headers.find("tamarack-depth"));
        if (!depth || *depth > maxDepth) {
            refuse(caller, error_kind::bad_request, "Tamarack-Depth must be a whole number up to 64");
            return false;
        }
        input.shape.depth = static_cast<int>(*depth);
    }
    if (headers.has("last-event-id")) {
        const auto last = parseNumber(headers.find("last-event-id"));
        if (!last) {
            refuse(caller, error_kind::bad_request, "Last-Event-ID must be the id of an event of this answer");
            return false;
        }
        input.firstEvent = *last + 1;
    }
    const auto requestClass = headers.find("tamarack-class");
    const auto& urgent = service.urgentClasses;
    input.shape.isUrgent = std::find(urgent.begin(), urgent.end(), requestClass) != urgent.end()
        || isUrgentPriority(headers.find("priority"));
    input.shape.account = stableHash(headers.find("authorization"));
    input.callerTrace = parseTraceparent(headers.find("traceparent"));
    input.homeHeader = m_keys.homeHeader();
    input.toTarget.method = request.method;
    for (const auto& header : headers.entries) {
        if (isForwarded(header.name))
            input.toTarget.headers.entries.push_back(header);
    }
    return true;
}

void caller_api::completion(http_request request, bool isChat, const caller_ptr& caller)
{
    constexpr std::int64_t prefixTokens = 500;
    const auto parseResult = parseCompletion(request.body, isChat, prefixTokens);
    if (const auto* error = std::get_if<completion_error>(&parseResult)) {
        const auto detail = error->field.empty() ? error->message : error->field + ": " + error->message;
        return refuse(caller, error_kind::bad_request, detail);
    }
    const auto& parsed = std::get<completion_request>(parseResult);
    const int index = m_traffic.config().modelIndex(parsed.model);
    if (index < 0)
        return refuse(caller, error_kind::unknown_service, "model: no service serves " + parsed.model);
    const auto& service = m_traffic.config().services[static_cast<std::size_t>(index)];
    relay_input input;
    if (!parseHeaders(request, service, input, caller))
        return;
    input.name = "completion " + service.name;
    input.isEngine = true;
    input.isStream = parsed.isStream;
    input.shape.service = { static_cast<std::uint32_t>(index) };
    input.shape.promptTokens = parsed.promptTokens;
    input.shape.outputTokens = parsed.maxTokens;
    input.shape.prefixHash = parsed.prefixHash;
    if (!parsed.user.empty())
        input.shape.account = stableHash(parsed.user, input.shape.account);
    input.toTarget.target = request.target;
    input.toTarget.body = std::move(request.body);
    input.shape.digest = digestOf(input.shape.account, request.method, request.target, input.toTarget.body);
    m_submit(std::move(input), caller, nullptr);
}

bool caller_api::isNonIdempotent(const service_entry& service, const std::string& method, std::string_view path) const
{
    return std::any_of(service.nonIdempotent.begin(), service.nonIdempotent.end(), [&](const route_pattern& route) {
        const bool isBelow = path.starts_with(route.path)
            && (path.size() == route.path.size() || path[route.path.size()] == '/' || route.path.back() == '/');
        return route.method == method && isBelow;
    });
}

void caller_api::plainCall(http_request request, const caller_ptr& caller)
{
    const std::string rest = request.target.substr(servicePrefix.size());
    const auto nameEnd = rest.find_first_of("/?");
    const auto name = rest.substr(0, nameEnd);
    const int index = m_traffic.config().serviceIndex(name);
    if (index < 0 || m_traffic.config().services[static_cast<std::size_t>(index)].isEngine())
        return refuse(caller, error_kind::unknown_service, "no plain service is named " + name);
    const auto& service = m_traffic.config().services[static_cast<std::size_t>(index)];
    relay_input input;
    if (!parseHeaders(request, service, input, caller))
        return;
    input.name = "call " + service.name;
    input.shape.service = { static_cast<std::uint32_t>(index) };
    input.toTarget.target = nameEnd == std::string::npos ? "/" : rest.substr(nameEnd);
    if (input.toTarget.target.front() == '?')
        input.toTarget.target.insert(0, "/");
    input.toTarget.body = std::move(request.body);
    input.shape.digest = digestOf(input.shape.account, request.method, request.target, input.toTarget.body);
    const auto path = input.toTarget.path();
    input.shape.isIdempotent = !isNonIdempotent(service, request.method, path);
    if (input.shape.isIdempotent)
        return m_submit(std::move(input), caller, nullptr);
    // The key is prefixed with the service name, so that the same key can be used for two services.
    const auto header = std::string(request.headers.find("idempotency-key"));
    const auto key = header.empty() ? std::string() : service.name + "/" + header;
    const auto home = std::string(request.headers.find("tamarack-home"));
    m_keys.admit(key, home, caller,
        [this, key, caller, name, input = std::move(input)] { submitKeyed(key, name, input, caller); });
}

// The home node may respond after a configuration change that moved the service to another index or removed it, so the
// index is looked up again.
void caller_api::submitKeyed(
    const std::string& key, const std::string& service, relay_input input, const caller_ptr& caller)
{
    const int index = m_traffic.config().serviceIndex(service);
    if (index < 0) {
        refuse(caller, error_kind::unknown_service, "no plain service is named " + service);
        return m_keys.onRequestFinished(key, { nullptr, error_kind::unknown_service });
    }
    input.shape.service = { static_cast<std::uint32_t>(index) };
    m_submit(std::move(input), caller,
        [this, key](const relay::outcome& outcome) { m_keys.onRequestFinished(key, outcome); });
}

}
