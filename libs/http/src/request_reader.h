// Provides a strict HTTP request parser that rejects requests with ambiguous framing.
#pragma once

#include "base/error_kind.h"
#include "http/http_message.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <string>

namespace tamarack::detail {

enum class reader_state : unsigned char {
    empty, ///< no byte of a request has arrived
    head, ///< the head is incomplete
    body, ///< the body is incomplete
    complete, ///< take() returns the request
    refused ///< the input is malformed or exceeds a limit
};

/// Parses requests with Boost.Beast and adds checks against request smuggling. After a refusal no further request can
/// be read, because it is unknown where the next one begins.
///
/// The fields of a head are parsed once all of them are there, since each takes far more memory than its bytes. Of an
/// unfinished head, chunk line or list of trailers no more is left in the input than the limit of a head and one read.
class request_reader {
public:
    request_reader(std::uint32_t headerBytes, std::uint64_t bodyBytes) { restart(headerBytes, bodyBytes); }

    /// Prepares for the next request.
    void restart(std::uint32_t headerBytes, std::uint64_t bodyBytes);
    /// Parses `input` and removes the bytes consumed. Bytes of later requests remain in `input`.
    reader_state feed(std::string& input);
    reader_state state() const { return m_state; }
    /// Whether the caller expects `100 Continue` before it sends the body.
    bool awaitsContinue() const;
    /// Number of bytes of the body that were read.
    std::size_t bodyBytesBuffered() const;
    /// Memory that is held for the request, without the input.
    std::size_t bytesHeld() const;
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
    /// Parses the request line, or the fields, if they are whole. Returns whether anything was parsed.
    bool feedHead(std::string& input);
    bool feedBody(std::string& input);
    /// Passes the first bytes of the input to the parser and removes what it has consumed.
    std::size_t parse(std::string& input, std::size_t bytes);
    /// Returns the size of the list of fields with the empty line that ends it, or 0 while that is missing.
    std::size_t findEndOfFields(const std::string& input);
    /// Returns a description of the first framing error in the head, or an empty string.
    std::string findHeadError() const;

    std::optional<parser_type> m_parser;
    std::uint32_t m_headerBytes = 0; // limit of the request line, of the fields, and of each chunk line or all trailers
    std::size_t m_scanned = 0; // bytes of the input that were searched for the end of a line or of the fields
    std::size_t m_fieldBytes = 0; // memory that the parser holds for the fields
    bool m_hasRequestLine = false;
    reader_state m_state = reader_state::empty;
    bool m_keepsAlive = true;
    bool m_isHttp10 = false;
    error_kind m_refusalKind = error_kind::bad_request;
    std::string m_refusalDetail;
};

}
