// Implements the log client with QNetworkAccessManager.
#include "platform/log_client.h"

#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QUrl>
#include <nlohmann/json.hpp>

namespace tamarack {

namespace {

    using nlohmann::json;
    constexpr int maxRecordsPerPage = 500;

    std::optional<log_page> parsePage(const QByteArray& body)
    {
        const json root = json::parse(body.begin(), body.end(), nullptr, false);
        if (!root.is_object())
            return std::nullopt;
        try {
            log_page page;
            page.first = root.at("first");
            page.end = root.at("end");
            for (const auto& item : root.at("records"))
                page.entries.push_back({ item.at("offset"), item.at("data") });
            return page;
        } catch (const json::exception&) {
            return std::nullopt;
        }
    }

    std::optional<std::int64_t> parseOffset(const QByteArray& body)
    {
        const json root = json::parse(body.begin(), body.end(), nullptr, false);
        if (!root.is_object() || !root.contains("offset") || !root["offset"].is_number_integer())
            return std::nullopt;
        return root["offset"].get<std::int64_t>();
    }

}

struct log_client::state {
    QNetworkAccessManager network;
    QString base;
    int timeoutMilliseconds;

    QNetworkRequest request(const QString& query) const
    {
        QNetworkRequest made(QUrl(base + query));
        made.setTransferTimeout(timeoutMilliseconds);
        made.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
        return made;
    }
};

log_client::log_client(const endpoint& service, std::string stream, duration timeout)
    : m_state(std::make_unique<state>())
{
    m_state->base = QString::fromStdString("http://" + toString(service) + "/streams/" + stream + "/records");
    m_state->timeoutMilliseconds
        = static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count());
}

log_client::~log_client() = default;

void log_client::read(std::int64_t from, std::function<void(std::optional<log_page>)> done)
{
    const auto query = QString("?from=%1&max=%2").arg(from).arg(maxRecordsPerPage);
    QNetworkReply* reply = m_state->network.get(m_state->request(query));
    QObject::connect(reply, &QNetworkReply::finished, reply, [reply, done = std::move(done)] {
        reply->deleteLater();
        done(reply->error() == QNetworkReply::NoError ? parsePage(reply->readAll()) : std::nullopt);
    });
}

void log_client::append(const std::string& data, std::function<void(std::optional<std::int64_t>)> done)
{
    QNetworkReply* reply = m_state->network.post(m_state->request(""), QByteArray::fromStdString(data));
    QObject::connect(reply, &QNetworkReply::finished, reply, [reply, done = std::move(done)] {
        reply->deleteLater();
        done(reply->error() == QNetworkReply::NoError ? parseOffset(reply->readAll()) : std::nullopt);
    });
}

}
