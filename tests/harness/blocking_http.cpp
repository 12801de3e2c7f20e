// An event loop for each wait.
#include "harness/blocking_http.h"

#include <QCoreApplication>
#include <QEventLoop>
#include <QTimer>

namespace tamarack::harness {

std::optional<http_response> call(const endpoint& peer, const std::string& method, const std::string& target,
    const std::string& body, const header_list& headers, duration timeout)
{
    http_client client;
    http_request request { method, target, headers, body };
    exchange_options options;
    options.silenceTimeout = timeout;
    options.freshConnection = true;
    std::optional<http_response> answer;
    bool isDone = false;
    auto exchange = client.fetch(peer, request, options, [&](const http_response* response, const exchange_failure&) {
        if (response)
            answer = *response;
        isDone = true;
    });
    waitUntil([&] { return isDone; }, timeout + std::chrono::seconds(2));
    if (!isDone)
        exchange->cancel();
    return answer;
}

nlohmann::json callJson(
    const endpoint& peer, const std::string& method, const std::string& target, const nlohmann::json& body)
{
    const auto answer = call(peer, method, target, body.is_null() ? std::string() : body.dump());
    if (!answer)
        return nullptr;
    auto parsed = nlohmann::json::parse(answer->body, nullptr, false);
    return parsed.is_discarded() ? nlohmann::json() : parsed;
}

bool waitUntil(const std::function<bool()>& condition, duration timeout)
{
    const instant end = boot_clock::now() + timeout;
    while (!condition()) {
        if (boot_clock::now() >= end)
            return false;
        QEventLoop loop;
        QTimer::singleShot(10, &loop, &QEventLoop::quit);
        loop.exec();
    }
    return true;
}

}
