// Takes requests out of a byte stream, strictly: what two readers could understand differently is refused.
#pragma once

#include "base/error_kind.h"
#include "http/http_message.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <string>

namespace tamarack::detail {

enum class reader_state : unsigned char {
    empty, ///< no byte of a request has come
    head, ///< in the middle of the head
    body,
    whole, ///< take() the request
    refused
};

/// Boost.Beast parses; this adds the rules against smuggling. After a refusal nothing more can be read, since it is not
/// known where the next request would begin.
class request_reader {
public:
    request_reader(std::uint32_t headerBytes, std::uint64_t bodyBytes) { restart(headerBytes, bodyBytes); }

    /// Begins the next request.
    void restart(std::uint32_t headerBytes, std::uint64_t bodyBytes);
    /// Reads on; `input` keeps what belongs to later requests.
    reader_state feed(std::string& input);
    reader_state state() const { return m_state; }
    /// Whether the caller waits for a go-ahead before it sends its body.
    bool awaitsContinue() const;
    std::size_t bodyBytesHeld() const;
    http_request take();
    /// Whether the connection may carry another request after this one.
    bool keepsAlive() const { return m_keepsAlive; }
    bool isHttp10() const { return m_isHttp10; }
    error_kind refusalKind() const { return m_refusalKind; }
    const std::string& refusalDetail() const { return m_refusalDetail; }

private:
    using parser_type = boost::beast::http::request_parser<boost::beast::http::string_body>;

    reader_state refuse(error_kind kind, std::string detail);
    reader_state refuse(const boost::system::error_code& error);
    /// What is wrong with the head; empty if nothing.
    std::string headFault() const;

    std::optional<parser_type> m_parser;
    reader_state m_state = reader_state::empty;
    bool m_isHeadChecked = false;
    bool m_keepsAlive = true;
    bool m_isHttp10 = false;
    error_kind m_refusalKind = error_kind::bad_request;
    std::string m_refusalDetail;
};

}
