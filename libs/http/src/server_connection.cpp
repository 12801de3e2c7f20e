// Boost.Beast parses, stream_socket carries.
#include "server_connection.h"

#include <boost/beast/http/status.hpp>
#include <cstdio>

namespace tamarack::detail {

namespace {

    using namespace std::chrono_literals;

    /// Closing at once while bytes of the caller are on their way makes the kernel send a reset, which can overtake the
    /// answer. The caller gets this long to read it and to close.
    constexpr auto lingerTime = 1s;
    /// Bytes of further requests kept while one is answered. Beyond them reading stops, and so does the notice of a
    /// caller that leaves; no caller that waits for its answers sends so much.
    constexpr std::size_t mostPipelinedBytes = 64 * 1024;

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
    , m_socket(descriptor, *this)
    , m_reader(m_shared->limits.headerBytes, m_shared->limits.bodyBytes)
{
    ++m_shared->connections;
    m_timer.setSingleShot(true);
    connect(&m_timer, &QTimer::timeout, this, [this] { timedOut(); });
    m_timer.start(milliseconds(m_shared->limits.idleTimeout));
}

server_connection::~server_connection()
{
    --m_shared->connections;
    countHeldBytes(0);
    if (const auto writer = detachWriter(); writer && writer->onClosed)
        writer->onClosed();
}

void server_connection::countHeldBytes(std::size_t held)
{
    m_shared->heldBytes += held;
    m_shared->heldBytes -= m_heldBytes;
    m_heldBytes = held;
}

void server_connection::onReadable()
{
    const auto end = m_socket.read(m_input);
    if (m_isLingering)
        m_input.clear();
    if (end != stream_end::none)
        return closed();
    if (m_writer && m_input.size() > mostPipelinedBytes)
        m_socket.setReading(false);
    process();
}

void server_connection::process()
{
    if (m_writer || m_isLingering || m_input.empty())
        return;
    const auto before = m_reader.state();
    const auto state = m_reader.feed(m_input);
    if (state == reader_state::refused)
        return refuse(m_reader.refusalKind(), m_reader.refusalDetail());
    countHeldBytes(m_reader.bodyBytesHeld());
    if (m_shared->heldBytes > m_shared->limits.heldBytes)
        return refuse(error_kind::overloaded, "too many bytes of request bodies are held");
    if (state == reader_state::whole)
        return dispatch();
    if (m_reader.awaitsContinue() && !m_sentContinue) {
        m_sentContinue = true;
        m_socket.write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    watchProgress(before);
}

void server_connection::watchProgress(reader_state before)
{
    const auto state = m_reader.state();
    if (state == reader_state::head && before == reader_state::empty)
        m_timer.start(milliseconds(m_shared->limits.headerTimeout));
    if (state == reader_state::body)
        m_timer.start(milliseconds(m_shared->limits.bodySilence));
}

void server_connection::dispatch()
{
    m_timer.stop();
    http_request request = m_reader.take();
    countHeldBytes(0);
    m_keepsAlive = m_reader.keepsAlive();
    m_isHttp10 = m_reader.isHttp10();
    m_isHead = request.method == "HEAD";
    m_writer = std::make_shared<response_writer>(this);
    m_shared->onRequest(std::move(request), m_writer);
}

void server_connection::refuse(error_kind kind, std::string_view detail)
{
    m_timer.stop();
    countHeldBytes(0);
    m_keepsAlive = false;
    m_input.clear();
    m_writer = std::make_shared<response_writer>(this);
    const auto writer = m_writer;
    writer->sendWhole(m_shared->onRefusal(kind, detail));
}

void server_connection::timedOut()
{
    if (m_isLingering && m_socket.bytesQueued() > 0)
        return m_timer.start(lingerTime); // the caller still takes its answer
    if (m_isLingering)
        return closed();
    const auto state = m_reader.state();
    if (state == reader_state::head || state == reader_state::body)
        return refuse(error_kind::request_timeout, "the rest of the request did not come");
    closeGently();
}

void server_connection::sendHead(const http_response_head& head, answer_framing framing, std::uint64_t length)
{
    std::string text = statusLine(head.status);
    for (const auto& header : head.headers.entries)
        appendHeader(text, header.name, header.value);
    const bool isBodiless = m_isHead || head.status == 204 || head.status == 304;
    m_framing = framing;
    if (framing == answer_framing::chunked && m_isHttp10)
        m_framing = answer_framing::until_close;
    if (m_framing == answer_framing::until_close || m_shared->isDraining)
        m_keepsAlive = false;
    if (m_framing == answer_framing::chunked && head.status != 204)
        appendHeader(text, "Transfer-Encoding", "chunked");
    if (m_framing == answer_framing::sized && head.status != 204)
        appendHeader(text, "Content-Length", std::to_string(length));
    if (!m_keepsAlive && !head.headers.has("Connection"))
        appendHeader(text, "Connection", "close");
    if (isBodiless)
        m_framing = answer_framing::whole;
    m_bodyLeft = length;
    m_unsentHead = text + "\r\n";
}

void server_connection::sendBytes(std::string_view bytes)
{
    if (m_unsentHead.empty())
        return m_socket.write(bytes);
    m_unsentHead += bytes;
    m_socket.write(m_unsentHead);
    m_unsentHead.clear();
}

void server_connection::sendBody(std::string_view bytes)
{
    switch (m_framing) {
    case answer_framing::whole:
        return;
    case answer_framing::chunked:
        return sendBytes(chunk(bytes));
    case answer_framing::sized:
        bytes = bytes.substr(0, m_bodyLeft);
        m_bodyLeft -= bytes.size();
        return sendBytes(bytes);
    case answer_framing::until_close:
        return sendBytes(bytes);
    }
}

void server_connection::finishAnswer()
{
    if (m_framing == answer_framing::sized && m_bodyLeft > 0)
        return abortAnswer(true);
    sendBytes(m_framing == answer_framing::chunked ? "0\r\n\r\n" : "");
    detachWriter();
    if (m_keepsAlive)
        return readNextRequest();
    closeGently();
}

void server_connection::readNextRequest()
{
    m_reader.restart(m_shared->limits.headerBytes, m_shared->limits.bodyBytes);
    m_sentContinue = false;
    m_framing = answer_framing::whole;
    m_socket.setReading(true);
    m_timer.start(milliseconds(m_shared->limits.idleTimeout));
    // Deferred: a handler that answers at once must not recurse through a pipeline of requests.
    if (!m_input.empty())
        QTimer::singleShot(0, this, [this] { process(); });
}

void server_connection::abortAnswer(bool whenWritten)
{
    detachWriter();
    m_timer.stop();
    m_unsentHead.clear();
    // An answer that ends with its connection must not end in order; of the others the missing part shows.
    if (whenWritten && m_framing != answer_framing::until_close)
        return closeGently();
    m_socket.reset();
    deleteLater();
}

void server_connection::closeGently()
{
    m_isLingering = true;
    m_input.clear();
    m_socket.finishWriting();
    m_socket.setReading(true);
    m_timer.start(lingerTime);
}

void server_connection::closed()
{
    m_timer.stop();
    m_socket.reset();
    if (const auto writer = detachWriter(); writer && writer->onClosed)
        writer->onClosed();
    deleteLater();
}

void server_connection::onWritten()
{
    const auto writer = m_writer;
    if (writer && writer->onDrained)
        writer->onDrained();
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
