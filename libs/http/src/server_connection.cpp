// Implements the server side of a connection with request_reader on top of stream_socket.
#include "server_connection.h"

#include <algorithm>
#include <boost/beast/http/status.hpp>
#include <cstdio>

namespace tamarack::detail {

namespace {

    using namespace std::chrono_literals;

    /// Time for the caller to read the response and close the connection. If the server closed at once while bytes of
    /// the caller are in transit, the kernel would send a reset, which can overtake the response.
    constexpr auto lingerTime = 1s;
    /// Added to the time for which a connection is kept, so that a request which the caller sends at the end of that
    /// time still arrives on an open connection.
    constexpr duration idleMargin = 1s;
    /// Maximum bytes of further requests to buffer while one is being handled. Beyond this limit, reading stops and a
    /// disconnect of the caller is no longer detected. A caller that waits for its responses does not reach it.
    constexpr std::size_t maxPipelinedBytes = 16 * 1024;
    /// Bytes of one read, except within a body. What comes behind a request stays in the input until it has ended.
    constexpr std::size_t headReadBytes = 16 * 1024;
    /// A body that arrives more slowly than this, after the first `bodyReadTimeout`, is not waited for.
    constexpr double minBodyBytesPerSecond = 1000;

    std::string statusLine(int status)
    {
        const auto reason = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
        return "HTTP/1.1 " + std::to_string(status) + " " + std::string(reason) + "\r\n";
    }

    void appendHeader(std::string& text, std::string_view name, std::string_view value)
    {
        text += name;
        text += ": ";
        text += value;
        text += "\r\n";
    }

    std::string chunk(std::string_view bytes)
    {
        char size[20];
        const int length = std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
        std::string text(size, static_cast<std::size_t>(length));
        text += bytes;
        text += "\r\n";
        return text;
    }

    int milliseconds(duration d)
    {
        return static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(d).count());
    }

}

server_connection::server_connection(int descriptor, std::shared_ptr<server_shared> shared)
    : m_shared(std::move(shared))
    , m_number(++m_shared->connectionsAccepted)
    , m_socket(descriptor, *this)
    , m_reader(m_shared->limits.headerBytes, m_shared->limits.bodyBytes)
{
    ++m_shared->connections;
    m_shared->budget->opened();
    m_timer.setSingleShot(true);
    connect(&m_timer, &QTimer::timeout, this, [this] { onTimeout(); });
    beginIdle();
    beginWaiting(waiting_connections::rank::unused, m_idleSince);
}

server_connection::~server_connection()
{
    leave();
    m_shared->updateUnsent(this, 0);
    if (const auto writer = detachWriter(); writer && writer->onClosed)
        writer->onClosed();
}

void server_connection::leave()
{
    if (!std::exchange(m_isCounted, false))
        return;
    --m_shared->connections;
    m_shared->budget->closed();
    m_shared->budget->setReceived(*this, 0);
    updateWaiting();
}

void server_connection::beginWaiting(waiting_connections::rank first, instant since)
{
    m_waitsAs.emplace(first, since);
    updateWaiting();
}

void server_connection::endWaiting()
{
    m_waitsAs.reset();
    updateWaiting();
}

void server_connection::updateWaiting()
{
    for (auto* list : { &m_shared->waiting, &m_shared->budget->waiting() }) {
        if (m_isCounted && m_waitsAs)
            list->set(*this, m_socket.bytesQueued() > 0 ? waiting_connections::rank::unread : m_waitsAs->first,
                m_waitsAs->second);
        else
            list->erase(*this);
    }
}

void server_connection::updateReceived()
{
    constexpr std::size_t maxSlackFactor = 4;
    if (m_input.empty())
        std::string().swap(m_input); // an assignment of an empty string would keep the memory
    else if (m_input.capacity() / maxSlackFactor > m_input.size())
        m_input.shrink_to_fit();
    const auto inInput = m_input.empty() ? 0 : m_input.capacity();
    if (m_isCounted)
        m_shared->budget->setReceived(*this, inInput + (m_writer ? 0 : m_reader.bytesHeld()));
}

bool server_connection::makeRoom()
{
    updateReceived();
    return m_shared->budget->makeRoom(*this);
}

void server_connection::dropReceived()
{
    if (!m_writer && !m_isLingering)
        return refuse(error_kind::overloaded, "there is no memory for more requests");
    // Requests behind the one in progress were not begun. The close tells their client so.
    m_keepsAlive = false;
    m_socket.setReading(false);
    m_input.clear();
    updateReceived();
}

// A client that has sent a part of a request is told that it has not run.
void server_connection::giveUpPlace()
{
    if (!m_isLingering && m_reader.state() != reader_state::empty)
        refuse(error_kind::overloaded, "there is no place for more connections");
    m_timer.stop();
    // A response that is cut must not look complete, which an orderly close may make it.
    if (m_socket.bytesQueued() == 0)
        m_socket.close();
    handleClosed();
}

void server_connection::onReadable()
{
    // Requests that were read before come first: a client that sends faster than it is answered would fill the input.
    const bool isBetweenRequests = m_writer || m_reader.state() == reader_state::empty;
    if (!m_isLingering && isBetweenRequests && m_input.size() >= maxPipelinedBytes)
        return m_writer ? m_socket.setReading(false) : process();
    const bool isBody = !m_writer && m_reader.state() == reader_state::body;
    const auto end = m_socket.read(m_input, isBody || m_isLingering ? stream_socket::maxReadBytes : headReadBytes);
    if (m_isLingering)
        discardInput();
    if (end != stream_end::none)
        return handleClosed();
    if (!m_writer || m_isLingering)
        return process();
    if (m_input.size() >= maxPipelinedBytes)
        m_socket.setReading(false);
    if (!makeRoom())
        dropReceived();
}

void server_connection::process()
{
    if (m_writer || m_isLingering || m_input.empty())
        return;
    // A caller that sends requests without reading the responses would otherwise be answered into a growing queue.
    if (m_socket.bytesQueued() > m_shared->unsent.queueLimit()) {
        updateReceived();
        return m_socket.setReading(false);
    }
    const auto before = m_reader.state();
    const auto state = m_reader.feed(m_input);
    if (state == reader_state::refused)
        return refuse(m_reader.refusalKind(), m_reader.refusalDetail());
    if (!makeRoom())
        return refuse(error_kind::overloaded, "there is no memory for more requests");
    if (state == reader_state::complete)
        return dispatch();
    if (m_reader.awaitsContinue() && !m_sentContinue) {
        m_sentContinue = true;
        send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    restartReadTimer(before);
}

// Neither a byte now and then nor a chunk line or trailers without end keep a connection.
void server_connection::restartReadTimer(reader_state before)
{
    const auto state = m_reader.state();
    if (state == reader_state::head && before == reader_state::empty)
        m_timer.start(milliseconds(m_shared->limits.headerTimeout));
    if (state != reader_state::body)
        return;
    const auto now = boot_clock::now();
    if (before != reader_state::body)
        m_bodySince = now;
    const auto& limit = m_shared->limits.bodyReadTimeout;
    const auto earned = fromSeconds(static_cast<double>(m_reader.bodyBytesBuffered()) / minBodyBytesPerSecond);
    m_timer.start(milliseconds(std::clamp<duration>(m_bodySince + limit + earned - now, 0s, limit)));
}

void server_connection::dispatch()
{
    m_timer.stop();
    http_request request = m_reader.take();
    m_keepsAlive = m_reader.keepsAlive();
    m_isHttp10 = m_reader.isHttp10();
    m_isHead = request.method == "HEAD";
    m_writer = std::make_shared<response_writer>(this);
    m_writer->m_charge = budget_charge(m_shared->budget, request.bytesHeld());
    endWaiting();
    updateReceived();
    m_shared->onRequest(std::move(request), m_writer);
}

void server_connection::refuse(error_kind kind, std::string_view detail)
{
    m_timer.stop();
    m_keepsAlive = false;
    m_isRefusing = true;
    m_input.clear();
    m_reader.restart(m_shared->limits.headerBytes, m_shared->limits.bodyBytes);
    updateReceived();
    m_writer = std::make_shared<response_writer>(this);
    const auto writer = m_writer;
    writer->sendWhole(m_shared->onRefusal(kind, detail));
}

void server_connection::onTimeout()
{
    if (m_isLingering && m_socket.hasUndelivered())
        return m_timer.start(lingerTime); // the caller is still receiving the response
    if (m_isLingering)
        return handleClosed();
    const auto state = m_reader.state();
    if (state == reader_state::head || state == reader_state::body)
        return refuse(error_kind::request_timeout, "the rest of the request did not come");
    closeIfIdle(close_reason::idle);
}

void server_connection::sendHead(const http_response_head& head, response_framing framing, std::uint64_t length)
{
    std::string text = statusLine(head.status);
    for (const auto& header : head.headers.entries)
        appendHeader(text, header.name, header.value);
    const bool isBodiless = m_isHead || head.status == 204 || head.status == 304;
    m_framing = framing;
    if (framing == response_framing::chunked && m_isHttp10)
        m_framing = response_framing::until_close;
    // What has been read of a next request is answered before the close.
    const bool hasNextRequest = m_input.find_first_not_of("\r\n") != std::string::npos;
    if (m_framing == response_framing::until_close || (m_shared->isDraining && !hasNextRequest))
        m_keepsAlive = false;
    if (m_framing == response_framing::chunked && head.status != 204)
        appendHeader(text, "Transfer-Encoding", "chunked");
    if (m_framing == response_framing::sized && head.status != 204)
        appendHeader(text, "Content-Length", std::to_string(length));
    if (!m_keepsAlive && !head.headers.has("Connection"))
        appendHeader(text, "Connection", "close");
    const auto idleSeconds = std::chrono::floor<std::chrono::seconds>(m_shared->limits.idleTimeout);
    m_announcedIdle = m_keepsAlive ? idleSeconds : 0s;
    if (m_announcedIdle > 0s)
        appendHeader(text, "Keep-Alive", "timeout=" + std::to_string(idleSeconds.count()));
    if (isBodiless)
        m_framing = response_framing::no_body;
    m_bodyBytesLeft = length;
    m_unsentHead = text + "\r\n";
}

void server_connection::sendBytes(std::string_view bytes)
{
    if (m_unsentHead.empty())
        return send(bytes);
    m_unsentHead += bytes;
    send(m_unsentHead);
    m_unsentHead.clear();
}

void server_connection::send(std::string_view bytes)
{
    m_socket.write(bytes);
    updateUnsent();
    if (m_shared->unsent.isExceeded() && m_shared->onUnsentExceeded)
        m_shared->onUnsentExceeded();
}

void server_connection::updateUnsent() { m_shared->updateUnsent(this, m_socket.bytesAllocated()); }

void server_shared::updateUnsent(const server_connection* connection, std::size_t bytes)
{
    const auto before = unsent.held();
    unsent.update(connection, bytes);
    budget->addKept(static_cast<std::int64_t>(unsent.held()) - static_cast<std::int64_t>(before));
}

void server_connection::flushHead()
{
    if (!m_unsentHead.empty())
        sendBytes({});
}

void server_connection::sendBody(std::string_view bytes)
{
    switch (m_framing) {
    case response_framing::no_body:
        return;
    case response_framing::chunked:
        return sendBytes(chunk(bytes));
    case response_framing::sized:
        bytes = bytes.substr(0, m_bodyBytesLeft);
        m_bodyBytesLeft -= bytes.size();
        return sendBytes(bytes);
    case response_framing::until_close:
        return sendBytes(bytes);
    }
}

void server_connection::finishAnswer()
{
    if (m_framing == response_framing::sized && m_bodyBytesLeft > 0)
        return abortAnswer(true);
    sendBytes(m_framing == response_framing::chunked ? "0\r\n\r\n" : "");
    detachWriter();
    if (m_keepsAlive)
        return readNextRequest();
    closeGracefully(m_isRefusing ? close_reason::refused : close_reason::answered);
}

void server_connection::readNextRequest()
{
    m_reader.restart(m_shared->limits.headerBytes, m_shared->limits.bodyBytes);
    m_sentContinue = false;
    m_framing = response_framing::no_body;
    m_socket.setReading(true);
    beginIdle();
    beginWaiting(waiting_connections::rank::used, m_idleSince);
    // Deferred, because a handler that responds immediately would otherwise recurse through pipelined requests.
    if (!m_input.empty())
        QTimer::singleShot(0, this, [this] { process(); });
}

void server_connection::beginIdle()
{
    m_idleSince = boot_clock::now();
    m_idleUntil = {};
    extendIdle();
}

// Callers learn of a changed timeout at other moments than this node, and a caller that has an answer goes by what that
// answer says. A connection is therefore kept for the longest time that its caller may know.
void server_connection::extendIdle()
{
    const auto kept = std::max(m_shared->limits.idleTimeout, m_announcedIdle) + idleMargin;
    m_idleUntil = std::max(m_idleUntil, m_idleSince + kept);
    m_timer.start(milliseconds(std::max(duration::zero(), m_idleUntil - boot_clock::now())));
}

void server_connection::limitsChanged()
{
    if (!isIdle())
        return;
    m_reader.restart(m_shared->limits.headerBytes, m_shared->limits.bodyBytes);
    extendIdle();
}

void server_connection::abortAnswer(bool whenWritten)
{
    detachWriter();
    m_timer.stop();
    m_unsentHead.clear();
    // A response that is delimited by the end of the connection needs a reset, since an orderly close would make it
    // look complete. With any other framing the caller detects the missing part.
    if (whenWritten && m_framing != response_framing::until_close)
        return closeGracefully(close_reason::truncated);
    m_socket.reset();
    leave();
    updateUnsent();
    deleteLater();
}

// The kernel may hold a request that the event loop has not read yet, such as after the process was stopped for a
// while.
void server_connection::closeIfIdle(close_reason reason)
{
    if (!isIdle())
        return;
    if (m_socket.read(m_input) != stream_end::none)
        return handleClosed();
    const auto waitedSince = m_idleSince;
    process();
    // If the request has been answered already, the connection waits anew, as the answer has told the caller.
    if (isIdle() && m_idleSince == waitedSince)
        closeGracefully(reason);
}

void server_connection::closeGracefully(close_reason reason)
{
    m_isLingering = true;
    m_closedAt = boot_clock::now();
    m_discarded.reason = reason;
    discardInput();
    updateReceived();
    beginWaiting(waiting_connections::rank::closing, m_closedAt);
    m_socket.finishWriting();
    m_socket.setReading(true);
    m_timer.start(lingerTime);
}

void server_connection::discardInput()
{
    if (m_discarded.bytes == 0)
        m_discarded.delay = boot_clock::now() - m_closedAt;
    m_discarded.bytes += m_input.size();
    std::string().swap(m_input); // an assignment of an empty string would keep the memory
}

void server_connection::handleClosed()
{
    m_timer.stop();
    if (m_discarded.bytes > 0 && m_shared->onDiscarded)
        m_shared->onDiscarded(m_discarded);
    m_discarded.bytes = 0;
    m_socket.reset();
    m_input.clear();
    leave();
    updateUnsent();
    if (const auto writer = detachWriter(); writer && writer->onClosed)
        writer->onClosed();
    deleteLater();
}

void server_connection::onWritten()
{
    updateUnsent();
    updateWaiting();
    const auto writer = m_writer;
    if (writer && writer->onDrained)
        return writer->onDrained();
    if (writer || m_isLingering)
        return;
    m_socket.setReading(true);
    process();
}

std::shared_ptr<response_writer> server_connection::detachWriter()
{
    auto writer = std::move(m_writer);
    m_writer = nullptr;
    if (writer)
        writer->m_connection = nullptr;
    return writer;
}

}
