// Implements the VM list client with QNetworkAccessManager, which may send a request twice. That is safe, because the
// client only reads.
#include "platform/vm_list_client.h"

#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QUrl>
#include <nlohmann/json.hpp>

namespace tamarack {

namespace {

    using nlohmann::json;

    std::optional<std::vector<listed_vm>> parseList(const QByteArray& body)
    {
        const json root = json::parse(body.begin(), body.end(), nullptr, false);
        if (!root.is_object())
            return std::nullopt;
        try {
            std::vector<listed_vm> vms;
            for (const auto& item : root.at("vms")) {
                vms.push_back({ item.at("name"), item.at("address"), item.at("availability_zone"), item.at("kind"),
                    item.value("caller_port", 0), item.value("peer_port", 0), item.at("state") == "leaving" });
            }
            return vms;
        } catch (const json::exception&) {
            return std::nullopt;
        }
    }

}

struct vm_list_client::state {
    QNetworkAccessManager network;
    QUrl url;
    int timeoutMilliseconds;
};

vm_list_client::vm_list_client(const endpoint& service, duration timeout)
    : m_state(std::make_unique<state>())
{
    m_state->url = QUrl(QString::fromStdString("http://" + toString(service) + "/vms"));
    m_state->timeoutMilliseconds
        = static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count());
}

vm_list_client::~vm_list_client() = default;

void vm_list_client::read(std::function<void(std::optional<std::vector<listed_vm>>)> done)
{
    QNetworkRequest request(m_state->url);
    request.setTransferTimeout(m_state->timeoutMilliseconds);
    QNetworkReply* reply = m_state->network.get(request);
    QObject::connect(reply, &QNetworkReply::finished, reply, [reply, done = std::move(done)] {
        reply->deleteLater();
        done(reply->error() == QNetworkReply::NoError ? parseList(reply->readAll()) : std::nullopt);
    });
}

}
