// Implements the request parser with Boost.Beast and stricter framing rules.
#include "request_reader.h"

#include <algorithm>
#include <boost/beast/http/impl/error.ipp>
#include <iterator>
#include <utility>

namespace tamarack::detail {

namespace beast_http = boost::beast::http;

namespace {

    /// Memory that the parser takes for a field in addition to its name and value.
    constexpr std::size_t fieldOverheadBytes = 88;

    // Skips empty lines before a request, which some clients send after a body.
    void skipBlankLines(std::string& input)
    {
        const auto first = std::min(input.find_first_not_of("\r\n"), input.size());
        input.erase(0, first);
    }

}

void request_reader::restart(std::uint32_t headerBytes, std::uint64_t bodyBytes)
{
    m_state = reader_state::empty;
    m_headerBytes = headerBytes;
    m_scanned = 0;
    m_fieldBytes = 0;
    m_hasRequestLine = false;
    m_parser.emplace();
    m_parser->header_limit(headerBytes + 1); // feed() applies the limit
    m_parser->body_limit(bodyBytes);
    m_parser->eager(true);
}

reader_state request_reader::refuse(error_kind kind, std::string detail)
{
    m_refusalKind = kind;
    m_refusalDetail = std::move(detail);
    m_keepsAlive = false;
    m_state = reader_state::refused;
    return m_state;
}

reader_state request_reader::refuse(const boost::system::error_code& error)
{
    if (error == beast_http::error::header_limit)
        return refuse(error_kind::header_too_large, error.message());
    if (error == beast_http::error::body_limit)
        return refuse(error_kind::body_too_large, error.message());
    return refuse(error_kind::bad_request, error.message());
}

// Prevents request smuggling: if this parser and that of a target disagree on where a request ends, a request hidden in
// the body of another is executed for a caller who never sent it. Every head with an ambiguous length is refused.
std::string request_reader::findHeadError() const
{
    const auto& head = m_parser->get();
    std::size_t lengths = 0;
    std::size_t codings = 0;
    std::size_t hosts = 0;
    for (const auto& field : head) {
        lengths += field.name() == beast_http::field::content_length;
        codings += field.name() == beast_http::field::transfer_encoding;
        hosts += field.name() == beast_http::field::host;
    }
    if (lengths > 1)
        return "Content-Length: given more than once";
    const auto length = head[beast_http::field::content_length];
    if (lengths == 1 && !parseNumber({ length.data(), length.size() }))
        return "Content-Length: not a decimal number";
    if (lengths > 0 && codings > 0)
        return "Content-Length and Transfer-Encoding: given together";
    const auto coding = head[beast_http::field::transfer_encoding];
    if (codings > 1 || (codings == 1 && !equalsIgnoreCase({ coding.data(), coding.size() }, "chunked")))
        return "Transfer-Encoding: only chunked is understood";
    if (hosts > 1)
        return "Host: given more than once";
    if (head.version() != 10 && head.version() != 11)
        return "version: only HTTP/1.0 and HTTP/1.1 are understood";
    return {};
}

reader_state request_reader::feed(std::string& input)
{
    if (m_state == reader_state::empty)
        skipBlankLines(input);
    bool isGoingOn = true;
    while (isGoingOn && !input.empty() && m_state != reader_state::complete && m_state != reader_state::refused)
        isGoingOn = m_parser->is_header_done() ? feedBody(input) : feedHead(input);
    return m_state;
}

std::size_t request_reader::parse(std::string& input, std::size_t bytes)
{
    boost::system::error_code error;
    const auto used = m_parser->put(boost::asio::buffer(input.data(), bytes), error);
    input.erase(0, used);
    m_scanned = 0;
    if (error && error != beast_http::error::need_more)
        refuse(error);
    return used;
}

std::size_t request_reader::findEndOfFields(const std::string& input)
{
    if (input.starts_with("\r\n"))
        return 2;
    for (auto end = input.find('\n', m_scanned); end != std::string::npos; end = input.find('\n', end + 1)) {
        const auto next = std::string_view(input).substr(end + 1);
        if (next.starts_with('\n'))
            return end + 2;
        if (next.starts_with("\r\n"))
            return end + 3;
    }
    constexpr std::size_t longestPartOfEnd = 2; // of a line feed, a carriage return and a line feed
    m_scanned = input.size() - std::min(input.size(), longestPartOfEnd);
    return 0;
}

bool request_reader::feedHead(std::string& input)
{
    m_state = reader_state::head;
    std::size_t end = 0;
    if (m_hasRequestLine) {
        end = findEndOfFields(input);
    } else {
        end = input.find('\n', m_scanned) + 1; // 0 if there is none
        m_scanned = input.size();
    }
    if (std::max(end, end == 0 ? input.size() : 0) > m_headerBytes) {
        refuse(error_kind::header_too_large,
            m_hasRequestLine ? "the header fields are too long" : "the request line is too long");
        return false;
    }
    if (end == 0)
        return false;
    const auto used = parse(input, end);
    if (m_state == reader_state::refused)
        return false;
    if (used != end) {
        refuse(error_kind::bad_request, "a line of the head has no end");
        return false;
    }
    if (!std::exchange(m_hasRequestLine, true))
        return true;
    m_state = reader_state::body;
    for (const auto& field : m_parser->get())
        m_fieldBytes += field.name_string().size() + field.value().size() + fieldOverheadBytes;
    if (auto fault = findHeadError(); !fault.empty())
        refuse(error_kind::bad_request, std::move(fault));
    else if (m_parser->is_done())
        m_state = reader_state::complete;
    return true;
}

bool request_reader::feedBody(std::string& input)
{
    const auto used = parse(input, input.size());
    if (m_state == reader_state::refused)
        return false;
    if (m_parser->is_done())
        m_state = reader_state::complete;
    else if (input.size() > m_headerBytes)
        refuse(error_kind::header_too_large, "the line of a chunk or the trailers are too long");
    return used > 0;
}

bool request_reader::awaitsContinue() const
{
    if (m_state != reader_state::body)
        return false;
    const auto expected = m_parser->get()[beast_http::field::expect];
    return equalsIgnoreCase({ expected.data(), expected.size() }, "100-continue");
}

std::size_t request_reader::bodyBytesBuffered() const { return m_parser->get().body().size(); }

std::size_t request_reader::bytesHeld() const { return m_fieldBytes + bodyBytesBuffered(); }

http_request request_reader::take()
{
    auto message = m_parser->release();
    m_keepsAlive = message.keep_alive();
    m_isHttp10 = message.version() == 10;
    http_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.headers.entries.reserve(static_cast<std::size_t>(std::distance(message.begin(), message.end())));
    for (const auto& field : message)
        request.headers.entries.push_back({ std::string(field.name_string()), std::string(field.value()) });
    request.body = std::move(message.body());
    return request;
}

}
