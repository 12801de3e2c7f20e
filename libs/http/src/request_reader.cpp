// Implements the request parser with Boost.Beast and stricter framing rules.
#include "request_reader.h"

#include <algorithm>
#include <boost/beast/http/impl/error.ipp>

namespace tamarack::detail {

namespace beast_http = boost::beast::http;

namespace {

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
    m_isHeadChecked = false;
    m_parser.emplace();
    m_parser->header_limit(headerBytes);
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
    while (!input.empty() && m_state != reader_state::complete && m_state != reader_state::refused) {
        boost::system::error_code error;
        const auto used = m_parser->put(boost::asio::buffer(input), error);
        input.erase(0, used);
        if (error && error != beast_http::error::need_more)
            return refuse(error);
        m_state = m_parser->is_header_done() ? reader_state::body : reader_state::head;
        if (m_state == reader_state::body && !m_isHeadChecked) {
            m_isHeadChecked = true;
            if (auto fault = findHeadError(); !fault.empty())
                return refuse(error_kind::bad_request, std::move(fault));
        }
        if (m_parser->is_done())
            m_state = reader_state::complete;
        if (used == 0)
            break;
    }
    return m_state;
}

bool request_reader::awaitsContinue() const
{
    if (m_state != reader_state::body)
        return false;
    const auto expected = m_parser->get()[beast_http::field::expect];
    return equalsIgnoreCase({ expected.data(), expected.size() }, "100-continue");
}

std::size_t request_reader::bodyBytesBuffered() const { return m_parser->get().body().size(); }

http_request request_reader::take()
{
    auto message = m_parser->release();
    m_keepsAlive = message.keep_alive();
    m_isHttp10 = message.version() == 10;
    http_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto& field : message)
        request.headers.entries.push_back({ std::string(field.name_string()), std::string(field.value()) });
    request.body = std::move(message.body());
    return request;
}

}
