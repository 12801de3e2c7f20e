// Implements the server's listening socket. The handling of a connection is in server_connection.
#include "http/http_server.h"

#include "listening_socket.h"
#include "server_connection.h"

#include <QTimer>
#include <array>
#include <unistd.h>
#include <utility>

namespace tamarack {

namespace {

    struct counted_body {
        std::string bytes;
        budget_charge charge;
    };

}

response_writer::response_writer(detail::server_connection* connection)
    : m_connection(connection)
    , m_connectionNumber(connection->number())
{
}

void response_writer::sendWhole(const http_response& response)
{
    startSized({ response.status, response.headers }, response.body.size());
    write(response.body);
    finish();
}

void response_writer::startStream(const http_response_head& head, response_framing framing)
{
    m_started = true;
    if (m_connection)
        m_connection->sendHead(head, framing, 0);
}

void response_writer::flushHead()
{
    if (m_connection)
        m_connection->flushHead();
}

void response_writer::startSized(const http_response_head& head, std::uint64_t bodyBytes)
{
    m_started = true;
    if (m_connection)
        m_connection->sendHead(head, response_framing::sized, bodyBytes);
}

void response_writer::write(std::string_view bytes)
{
    if (m_connection && !bytes.empty())
        m_connection->sendBody(bytes);
}

void response_writer::finish()
{
    if (m_connection)
        m_connection->finishAnswer();
}

void response_writer::abort()
{
    if (m_connection)
        m_connection->abortAnswer(false);
}

void response_writer::abortWhenWritten()
{
    if (m_connection)
        m_connection->abortAnswer(true);
}

std::shared_ptr<const std::string> response_writer::shareBody(std::string body)
{
    auto out = std::make_shared<counted_body>();
    out->bytes = std::move(body);
    out->charge = m_charge.split(out->bytes.size());
    return { out, &out->bytes };
}

std::size_t response_writer::bytesQueued() const { return m_connection ? m_connection->bytesQueued() : 0; }

std::size_t response_writer::queueLimit() const
{
    return m_connection ? m_connection->queueLimit() : unsent_bytes::maxQueue;
}

struct http_server::state {
    std::shared_ptr<detail::server_shared> shared = std::make_shared<detail::server_shared>();
    QObject connections; // parent of all connections, which are destroyed with the server
    detail::listening_socket socket;
    slow_caller_handler onSlowCaller;
    bool isCutDue = false; // cutSlowCallers() is scheduled

    // Deferred, because the end of a response leads to decisions, and bytes are written in the middle of some.
    void scheduleCut()
    {
        if (!std::exchange(isCutDue, true))
            QTimer::singleShot(0, &connections, [this] { cutSlowCallers(); });
    }

    void cutSlowCallers()
    {
        isCutDue = false;
        while (shared->unsent.isExceeded()) {
            const auto held = shared->unsent.heldByLargest();
            const auto* largest = shared->unsent.largest();
            for (QObject* child : connections.children()) {
                auto* connection = static_cast<detail::server_connection*>(child);
                if (connection != largest)
                    continue;
                connection->cut();
                break;
            }
            shared->updateUnsent(static_cast<const detail::server_connection*>(largest), 0); // it is deleted only later
            if (onSlowCaller)
                onSlowCaller(held);
        }
    }

    bool hasPlace() const { return shared->connections < shared->limits.connections && shared->budget->hasPlace(); }

    // A connection that has just been accepted is more likely to bring a request than one that has long sent none.
    bool makePlace()
    {
        const bool isServerFull = shared->connections >= shared->limits.connections;
        auto& among = isServerFull ? shared->waiting : shared->budget->waiting();
        return hasPlace() || (shared->budget->freePlace(among) && hasPlace());
    }

    void shortOfDescriptors()
    {
        shared->budget->onLetGo(pressure::descriptors, 0);
        shared->budget->freePlace(shared->budget->waiting());
    }

    void accepted(int descriptor)
    {
        if (!makePlace()) {
            ::close(descriptor);
            return;
        }
        auto* connection = new detail::server_connection(descriptor, shared);
        connection->setParent(&connections);
    }
};

std::string_view toString(close_reason reason)
{
    constexpr std::array<std::string_view, static_cast<std::size_t>(close_reason::count)> names { "idle", "drained",
        "answered", "refused", "truncated" };
    return names[static_cast<std::size_t>(reason)];
}

http_server::http_server(http_server_limits limits, request_handler onRequest, refusal_handler onRefusal,
    discard_handler onDiscarded, slow_caller_handler onSlowCaller, std::shared_ptr<client_budget> budget)
    : m_state(std::make_unique<state>())
{
    m_state->shared->limits = limits;
    m_state->shared->budget = budget ? std::move(budget) : std::make_shared<client_budget>();
    m_state->shared->unsent.setTotal(limits.totalUnsentBytes);
    m_state->shared->onUnsentExceeded = [this] { m_state->scheduleCut(); };
    m_state->onSlowCaller = std::move(onSlowCaller);
    m_state->shared->onRequest = std::move(onRequest);
    m_state->shared->onRefusal = std::move(onRefusal);
    m_state->shared->onDiscarded = std::move(onDiscarded);
    m_state->socket.onShortage = [this] { m_state->shortOfDescriptors(); };
    m_state->socket.onAccepted = [this](int descriptor) { m_state->accepted(descriptor); };
}

http_server::~http_server() = default;

bool http_server::listen(const QHostAddress& address, quint16 port) { return m_state->socket.listen(address, port); }

quint16 http_server::port() const { return m_state->socket.port(); }

// The kernel may have connections that the event loop has not accepted yet. Closing the listening socket resets them.
void http_server::stopListening()
{
    m_state->socket.acceptAll();
    m_state->socket.close();
}

void http_server::setLimits(const http_server_limits& limits)
{
    m_state->shared->limits = limits;
    m_state->shared->unsent.setTotal(limits.totalUnsentBytes);
    for (QObject* child : m_state->connections.children())
        static_cast<detail::server_connection*>(child)->limitsChanged();
}

void http_server::beginDrain() { m_state->shared->isDraining = true; }

void http_server::closeIdle()
{
    for (QObject* child : m_state->connections.children())
        static_cast<detail::server_connection*>(child)->closeIfIdle(close_reason::drained);
}

int http_server::connectionCount() const { return m_state->shared->connections; }

std::size_t http_server::bytesQueued() const
{
    std::size_t sum = 0;
    for (const QObject* child : m_state->connections.children())
        sum += static_cast<const detail::server_connection*>(child)->bytesQueued();
    return sum;
}

std::uint64_t http_server::unsentBytesHeld() const { return m_state->shared->unsent.held(); }

}
