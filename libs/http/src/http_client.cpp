// Implements the HTTP client with the parser of Boost.Beast on top of stream_socket. QNetworkAccessManager is not used,
// because it resends a POST by itself if the peer closes the connection without a response, which would break
// at-most-once delivery.
#include "http/http_client.h"

#include "answer_meter.h"
#include "appended_body.h"
#include "connection_pool.h"

#include <QHostAddress>
#include <algorithm>
#include <boost/beast/http.hpp>
#include <limits>
#include <optional>

namespace tamarack {

namespace beast_http = boost::beast::http;

namespace {

    using namespace std::chrono_literals;
    using detail::stream_end;

    /// Subtracted from the idle timeout that the peer announces, so that a request in transit does not arrive after the
    /// peer has closed the connection.
    constexpr duration keepAliveMargin = 250ms;
    constexpr duration defaultIdleLimit = 60s;
    /// Bytes of a shared body that are passed to the socket at a time.
    constexpr std::size_t bodyPartBytes = 64 * 1024;

    std::string serializeRequest(const endpoint& peer, const http_request& request, const std::string* sharedBody)
    {
        const std::string_view body = sharedBody ? *sharedBody : request.body;
        std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
        if (!request.headers.has("Host"))
            text += "Host: " + toString(peer) + "\r\n";
        for (const auto& header : request.headers.entries)
            text += header.name + ": " + header.value + "\r\n";
        const bool hasNoBody = body.empty() && (request.method == "GET" || request.method == "HEAD");
        if (!hasNoBody)
            text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        text += "\r\n";
        text += sharedBody ? body.substr(0, bodyPartBytes) : body;
        return text;
    }

    /// Returns how long an idle connection can be reused, from the value of a `Keep-Alive: timeout=N` header.
    duration parseIdleLimit(std::string_view keepAlive)
    {
        const auto at = keepAlive.find("timeout=");
        if (at == std::string_view::npos)
            return defaultIdleLimit;
        auto text = keepAlive.substr(at + std::string_view("timeout=").size());
        text = text.substr(0, text.find_first_not_of("0123456789"));
        const auto value = parseNumber(text);
        if (!value)
            return 0s;
        return std::clamp<duration>(std::chrono::seconds(*value) - keepAliveMargin, 0s, defaultIdleLimit);
    }

    int milliseconds(duration d)
    {
        return static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(d).count());
    }

}

endpoint parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return {};
    const auto port = parseNumber(text.substr(colon + 1));
    const auto address = std::string(text.substr(0, colon));
    if (!port || *port == 0 || *port > 65535 || QHostAddress(QString::fromStdString(address)).isNull())
        return {};
    return { address, static_cast<std::uint16_t>(*port) };
}

std::string toString(const endpoint& e) { return e.address + ":" + std::to_string(e.port); }

namespace {

    class pooled_exchange : public http_exchange,
                            public std::enable_shared_from_this<pooled_exchange>,
                            public detail::stream_listener {
    public:
        pooled_exchange(detail::connection_pool& pool, endpoint peer, const http_request& request,
            const exchange_options& options, exchange_handlers handlers, bool isCollected)
            : m_pool(&pool)
            , m_peer(std::move(peer))
            , m_text(serializeRequest(m_peer, request, options.body.get()))
            , m_options(options)
            , m_handlers(std::make_shared<exchange_handlers>(std::move(handlers)))
            , m_meter(options.limits, isCollected)
            , m_isHead(request.method == "HEAD")
        {
            m_timer.setSingleShot(true);
        }

        void begin()
        {
            m_self = shared_from_this();
            QObject::connect(&m_timer, &QTimer::timeout, &m_timer, [this] { fail("timed out", true); });
            startParser();
            if (!m_options.freshConnection)
                m_socket = m_pool->take(m_peer, m_options.maxIdleTime);
            if (m_socket) {
                m_socket->setListener(*this);
                return send();
            }
            ++m_pool->connectionsMade;
            m_timer.start(milliseconds(m_options.connectTimeout));
            m_socket = std::make_unique<detail::stream_socket>(m_pool->addressOf(m_peer), *this);
        }

        void cancel() override
        {
            m_handlers = nullptr;
            release(false);
        }

        duration reusableFor() const override { return m_reusableFor; }

        void setReading(bool reading) override
        {
            if (!m_socket)
                return;
            m_socket->setReading(reading);
            if (!reading)
                return m_timer.stop(); // no bytes are expected while reading is paused
            m_timer.start(milliseconds(m_options.silenceTimeout));
        }

    private:
        void startParser()
        {
            m_parser.emplace();
            m_parser->eager(true);
            // What is held of bodies is measured by m_meter. Without a limit the parser refuses each announced length
            // if the bytes received so far end with the head.
            m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());
            m_parser->header_limit(m_options.limits.headBytes);
            m_parser->skip(m_isHead);
            m_isHeadDone = false;
            m_isSkipped = false;
        }

        void onConnected() override { send(); }

        void send()
        {
            m_mayHaveReached = true;
            m_timer.start(milliseconds(m_options.silenceTimeout));
            m_socket->write(m_text);
            std::string().swap(m_text); // an assignment of an empty string would keep the memory
            m_bodySent = m_options.body ? std::min(m_options.body->size(), bodyPartBytes) : 0;
            sendBody();
        }

        bool hasUnsentBody() const { return m_options.body && m_bodySent < m_options.body->size(); }

        void sendBody()
        {
            while (m_socket && hasUnsentBody() && m_socket->bytesQueued() == 0) {
                const auto part = std::string_view(*m_options.body).substr(m_bodySent, bodyPartBytes);
                m_bodySent += part.size();
                m_socket->write(part);
            }
            if (!hasUnsentBody())
                m_options.body = nullptr;
        }

        void onWritten() override { sendBody(); }

        void onReadable() override
        {
            const auto keepAlive = shared_from_this(); // a handler may drop the last reference
            const auto end = m_socket->read(m_buffer);
            m_timer.start(milliseconds(m_options.silenceTimeout));
            m_meter.bytesArrived(boot_clock::now());
            parse();
            if (m_socket && end != stream_end::none)
                onPeerEnd(end);
        }

        void parse()
        {
            while (m_socket && !m_buffer.empty()) {
                boost::system::error_code error;
                const auto used = m_parser->put(boost::asio::buffer(m_buffer), error);
                m_buffer.erase(0, used);
                if (error && error != beast_http::error::need_more)
                    return fail("answer is not HTTP: " + error.message(), false, false,
                        error == beast_http::error::header_limit);
                m_meter.bodyReceived(m_parser->get().body().size());
                deliver();
                if (m_isSkipped)
                    m_meter.skipped(used);
                // While a message is incomplete, the parser leaves no more than an incomplete line or head.
                if (const auto excess = m_meter.excess(m_parser->is_done() ? 0 : m_buffer.size()); !excess.empty())
                    return fail(excess, false, false, true);
                if (m_socket && m_parser->is_done() && !handleMessageEnd())
                    return;
                if (used == 0)
                    return;
            }
        }

        /// Returns whether another message must be read.
        bool handleMessageEnd()
        {
            if (!m_isSkipped) {
                end();
                return false;
            }
            startParser();
            return true;
        }

        void deliver()
        {
            // Keeps the handlers alive: a handler may cancel the exchange, which would destroy the running function.
            const auto handlers = m_handlers;
            if (!handlers)
                return;
            if (!m_isHeadDone && m_parser->is_header_done()) {
                m_isHeadDone = true;
                deliverHead(*handlers);
            }
            if (!m_socket)
                return;
            std::string& body = m_parser->get().body();
            if (body.empty())
                return;
            std::string part;
            part.swap(body);
            if (!m_isSkipped && handlers->onBody)
                handlers->onBody(part);
        }

        void deliverHead(const exchange_handlers& handlers)
        {
            http_response_head head;
            const auto& message = m_parser->get();
            head.status = message.result_int();
            for (const auto& field : message)
                head.headers.entries.push_back({ std::string(field.name_string()), std::string(field.value()) });
            constexpr int firstFinalStatus = 200;
            m_isSkipped = head.status < firstFinalStatus || (handlers.accepts && !handlers.accepts(head));
            if (m_isSkipped)
                return;
            m_idleLimit = parseIdleLimit(head.headers.find("Keep-Alive"));
            if (handlers.onHead)
                handlers.onHead(head);
        }

        void end()
        {
            // A connection is not reused if bytes follow the response, since they belong to no request, or if part of
            // the request is unsent, since the peer would take the rest for another request.
            const bool reusable = m_options.keepConnection && m_parser->keep_alive() && m_buffer.empty()
                && m_socket->bytesQueued() == 0 && !hasUnsentBody();
            const auto handlers = std::move(m_handlers);
            m_handlers = nullptr;
            release(reusable);
            if (handlers && handlers->onEnd)
                handlers->onEnd();
        }

        void onPeerEnd(stream_end reason)
        {
            if (reason != stream_end::finished)
                return fail("connection broken off", false, reason == stream_end::reset);
            // Beast asserts that at least one byte precedes put_eof(), but a peer may close before it has sent any.
            if (!m_parser->got_some())
                return fail("peer closed without an answer", false, true);
            boost::system::error_code error;
            m_parser->put_eof(error);
            if (!error && m_parser->is_done() && !m_isSkipped)
                return end();
            fail("peer closed in mid-answer", false, true);
        }

        void onEnded(stream_end reason) override
        {
            fail(reason == stream_end::refused ? "cannot connect" : "connection broken off", false,
                reason == stream_end::reset);
        }

        void fail(std::string reason, bool timedOut, bool isClosedByPeer = false, bool isOverLimit = false)
        {
            const auto keepAlive = shared_from_this();
            const auto handlers = std::move(m_handlers);
            m_handlers = nullptr;
            const exchange_failure failure { m_mayHaveReached, timedOut, std::move(reason), isClosedByPeer,
                isOverLimit };
            release(false);
            if (handlers && handlers->onFailure)
                handlers->onFailure(failure);
        }

        void release(bool reusable)
        {
            m_timer.stop();
            if (!m_socket)
                return;
            auto discarded = reusable ? m_pool->addIdle(m_peer, std::move(m_socket), m_idleLimit) : std::move(m_socket);
            if (discarded)
                discarded->reset();
            else
                m_reusableFor = m_idleLimit;
            // Deferred, because destroying this object inside one of its own calls would be a use after free.
            QTimer::singleShot(0, [self = std::move(m_self), socket = std::shared_ptr(std::move(discarded))] {});
        }

        detail::connection_pool* m_pool;
        endpoint m_peer;
        std::string m_text;
        exchange_options m_options;
        std::shared_ptr<exchange_handlers> m_handlers; // null once the exchange has ended or was cancelled
        std::unique_ptr<detail::stream_socket> m_socket; // null before begin() and after the end
        std::optional<beast_http::response_parser<detail::appended_body>> m_parser;
        std::size_t m_bodySent = 0; // bytes of the shared body that were passed to the socket
        std::string m_buffer; // at most one read beyond the limit of a head
        detail::answer_meter m_meter;
        QTimer m_timer;
        duration m_idleLimit = defaultIdleLimit;
        duration m_reusableFor = duration::zero();
        std::shared_ptr<pooled_exchange> m_self; // keeps a running exchange alive
        bool m_isHead; // the request is HEAD, whose response has no body
        bool m_mayHaveReached = false;
        bool m_isHeadDone = false;
        bool m_isSkipped = false; // the message being read is not the response to this exchange
    };

    /// A connection that is opened without a request.
    class idle_connect : public detail::stream_listener {
    public:
        idle_connect(detail::connection_pool& pool, endpoint peer, std::function<void(const exchange_failure*)> done)
            : m_pool(pool)
            , m_peer(std::move(peer))
            , m_done(std::move(done))
        {
            m_timer.setSingleShot(true);
        }

        void begin(const std::shared_ptr<idle_connect>& self, duration timeout)
        {
            m_self = self;
            QObject::connect(&m_timer, &QTimer::timeout, &m_timer, [this] { fail("timed out", true); });
            m_timer.start(milliseconds(timeout));
            ++m_pool.connectionsMade;
            m_socket = std::make_unique<detail::stream_socket>(m_pool.addressOf(m_peer), *this);
        }

        void onConnected() override
        {
            m_timer.stop();
            if (auto rejected = m_pool.addIdle(m_peer, std::move(m_socket), defaultIdleLimit))
                m_socket = std::move(rejected);
            end(nullptr);
        }
        void onReadable() override { }
        void onEnded(stream_end) override { fail("cannot connect", false); }

    private:
        void fail(std::string reason, bool timedOut)
        {
            const exchange_failure failure { false, timedOut, std::move(reason), false };
            end(&failure);
        }

        void end(const exchange_failure* failure)
        {
            m_timer.stop();
            const auto done = std::move(m_done);
            // Deferred, because the socket or the timer may be the caller.
            QTimer::singleShot(0, [self = std::move(m_self)] {});
            done(failure);
        }

        detail::connection_pool& m_pool;
        endpoint m_peer;
        std::function<void(const exchange_failure*)> m_done;
        std::unique_ptr<detail::stream_socket> m_socket;
        QTimer m_timer;
        std::shared_ptr<idle_connect> m_self; // keeps this object alive until the end
    };

}

struct http_client::state {
    detail::connection_pool pool;

    std::shared_ptr<http_exchange> start(const endpoint& peer, const http_request& request,
        const exchange_options& options, exchange_handlers handlers, bool isCollected)
    {
        auto exchange
            = std::make_shared<pooled_exchange>(pool, peer, request, options, std::move(handlers), isCollected);
        exchange->begin();
        return exchange;
    }
};

http_client::http_client(address_map connectTo)
    : m_state(std::make_unique<state>())
{
    m_state->pool.connectTo = std::move(connectTo);
}

http_client::~http_client() = default;

std::shared_ptr<http_exchange> http_client::start(
    const endpoint& peer, const http_request& request, const exchange_options& options, exchange_handlers handlers)
{
    return m_state->start(peer, request, options, std::move(handlers), false);
}

std::shared_ptr<http_exchange> http_client::fetch(const endpoint& peer, const http_request& request,
    const exchange_options& options, std::function<void(const http_response*, const exchange_failure&)> done)
{
    auto response = std::make_shared<http_response>();
    exchange_handlers handlers;
    handlers.onHead = [response](const http_response_head& head) {
        response->status = head.status;
        response->headers = head.headers;
    };
    handlers.onBody = [response](std::string_view bytes) { response->body += bytes; };
    handlers.onEnd = [response, done] { done(response.get(), {}); };
    handlers.onFailure = [done](const exchange_failure& failure) { done(nullptr, failure); };
    return m_state->start(peer, request, options, std::move(handlers), true);
}

void http_client::connect(
    const endpoint& peer, duration timeout, std::function<void(const exchange_failure* failure)> done)
{
    const auto attempt = std::make_shared<idle_connect>(m_state->pool, peer, std::move(done));
    attempt->begin(attempt, timeout);
}

void http_client::closeIdleConnections(const endpoint& peer) { m_state->pool.closeIdleConnections(peer); }

std::uint64_t http_client::connectionsMade() const { return m_state->pool.connectionsMade; }

}
