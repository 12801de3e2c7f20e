// Provides the HTTP client of the platform's append-only log.
#pragma once

#include "base/clock.h"
#include "http/http_client.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

struct log_entry {
    std::int64_t offset = 0;
    std::string data;
};

/// A range of records of the log.
struct log_page {
    std::int64_t first = 0; ///< offset of the oldest retained record
    std::int64_t end = 0; ///< offset that the next append will get
    std::vector<log_entry> entries;
};

/// Reads from and appends to one stream of the log. QNetworkAccessManager may send a request twice: it does so when the
/// peer closes the connection without a response. That is safe, because every record is a compare-and-set that takes
/// effect at most once.
class log_client {
public:
    log_client(const endpoint& service, std::string stream, duration timeout);
    ~log_client();
    log_client(const log_client&) = delete;
    log_client& operator=(const log_client&) = delete;

    /// Reads the records from offset `from` on. `done` receives nothing if the log cannot be read or the call times
    /// out.
    void read(std::int64_t from, std::function<void(std::optional<log_page>)> done);
    /// Appends a record; `done` receives its offset. It receives nothing if the outcome is unknown: the record may have
    /// been appended or may still be appended later.
    void append(const std::string& data, std::function<void(std::optional<std::int64_t>)> done);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

}
