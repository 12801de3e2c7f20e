// The port to the store: topics whose records have keys, of which the newest of each key is kept.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace tamarack {

/// The topics that a node reads; their names on the wire are the implementation's.
enum class store_topic : unsigned char {
    configuration,
    targets,
    nodes,
    orders ///< claims of the right to give orders; its records have no keys
};

struct keyed_record {
    std::int64_t offset = 0;
    std::string key;
    std::optional<std::string> value; ///< empty: the key was dropped
};

struct newest_page {
    std::vector<keyed_record> records;
    std::int64_t end = 0; ///< offset after the last record of the topic
    bool hasMore = false;
};

struct record_page {
    std::vector<keyed_record> records;
    std::int64_t end = 0;
    std::int64_t next = 0; ///< offset after the last record of this page
};

/// What became of an append that had to be at a certain place.
struct placed_append {
    bool isAppended = false;
    std::int64_t offset = 0; ///< of the record; if it was not appended: where the topic ends
};

enum class store_error : unsigned char {
    unreachable, ///< no connection, no answer in time, or not an answer
    refused, ///< the store did nothing
    expired ///< the records asked for are not kept any more
};

std::string_view toString(store_error error);

template <class T> using store_result = std::variant<T, store_error>;
template <class T> using store_handler = std::function<void(store_result<T>)>;

/// Every call ends in exactly one call of its handler, from the event loop, within the call's own time limit; none is
/// ever sent twice. The implementation outlives its calls.
class keyed_log {
public:
    virtual ~keyed_log() = default;
    /// The newest record of each key, in pages; `after` is the last key of the page before. Fails when nothing of the
    /// answer comes for `patience`.
    virtual void newest(store_topic topic, const std::string& after, duration patience, store_handler<newest_page> done)
        = 0;
    /// Records from an offset on; if there are none yet, answers after `wait` at the latest.
    virtual void read(store_topic topic, std::int64_t from, duration wait, store_handler<record_page> done) = 0;
    /// The offset of the new record. After `unreachable` the record may still be appended.
    virtual void append(
        store_topic topic, const std::string& key, const std::string& value, store_handler<std::int64_t> done)
        = 0;
    /// Appends a record if the topic ends at `at`, and nothing otherwise. After `unreachable` it may still be appended.
    virtual void appendAt(
        store_topic topic, std::int64_t at, const std::string& record, store_handler<placed_append> done)
        = 0;
};

}
