// Follows one topic of the store: reads the newest record of each key first, then all further records.
#pragma once

#include "gateway/keyed_log.h"
#include "serving/node_directory.h"
#include "serving/retry_backoff.h"

#include <QTimer>
#include <functional>

namespace tamarack {

struct feed_options {
    store_topic topic = store_topic::configuration;
    duration wait = duration::zero(); ///< long-poll wait of a read for the next record
    duration pause = duration::zero(); ///< between the end of a read and the start of the next one
    duration retryPause = std::chrono::milliseconds(150); ///< after a failed call; grows with each consecutive failure
    duration maxRetryPause = std::chrono::milliseconds(600);
};

/// Keeps one call outstanding. Records may be delivered twice, in particular after a restart, but never out of order.
class record_feed {
public:
    struct handlers {
        /// Receives the newest records of all keys; a key that is missing has been deleted.
        std::function<void(const std::vector<keyed_record>&)> onSnapshot;
        std::function<void(const std::vector<keyed_record>&)> onRecords;
        /// Called when the store becomes reachable or unreachable, including the result of the first call.
        std::function<void(bool isReachable, std::string_view reason)> onReach;
        /// Every record that the topic held at freshAt() has been passed to the handlers.
        std::function<void()> onComplete = [] {};
    };

    record_feed(keyed_log& store, feed_options options, handlers on);

    void start() { readNewest(); }
    /// Schedules the first read after `wait`; readNow() starts it earlier. No effect once a call has been issued, since
    /// it would postpone the next read.
    void startAfter(duration wait);
    void setPause(duration pause) { m_options.pause = pause; }
    void setWait(duration wait) { m_options.wait = wait; }
    void setMaxRetryPause(duration longest) { m_retries.setMaxDelay(longest); }
    void setRetryPauses(duration first, duration longest) { m_retries.setDelays(first, longest); }
    /// Reads now. An outstanding long poll is abandoned, since its connection may be dead. An outstanding read that
    /// does not wait for new records continues and is followed by another one at once.
    void readNow();
    void stop();
    /// Starts reading at `next`, since a peer has supplied the records before it. No effect after the first read.
    void skipTo(std::int64_t next);
    /// Replaces the pause before a pending retry, since a peer has supplied the answer. Takes effect once per failed
    /// call.
    void deferRetry(duration pause);

    bool isCurrent() const { return m_next >= 0; }
    serving::store_reach reach() const { return m_reach; }
    /// Every record that the store held at this instant has been read; instant() before the first complete read.
    instant freshAt() const { return m_freshAt; }
    /// Time of the last response of the store.
    instant lastSuccessAt() const { return m_lastSuccessAt; }
    /// When a successful or failed call last determined reach(). Expired offsets and abandoned calls do not count.
    instant reachUpdatedAt() const { return m_reachUpdatedAt; }
    std::int64_t next() const { return m_next; }

private:
    void restart();
    /// Requests the next page of the newest records.
    void readNewest();
    void readNext(duration wait);
    void onNewest(const store_result<newest_page>& result);
    void onPage(const store_result<record_page>& result);
    void onFailure(store_error error);
    void onSuccess();
    void scheduleRead(duration pause);
    void scheduleNextRead();

    keyed_log& m_store;
    feed_options m_options;
    handlers m_on;
    QTimer m_timer;
    serving::retry_backoff m_retries;
    std::vector<keyed_record> m_snapshot; // records of the pages received so far
    std::string m_snapshotLastKey; // last key of the pages received so far
    std::int64_t m_snapshotEnd = -1; // end of the topic when the first page was read; -1: no page yet
    duration m_pageTimeout; // idle timeout for the next page
    std::int64_t m_next = -1; // offset to read from; -1: the newest records have not been read yet
    std::uint64_t m_call = 0; // number of the outstanding call; responses to earlier ones are ignored
    instant m_freshAt;
    instant m_requestedAt;
    duration m_requestedWait = duration::zero(); // wait of the outstanding call
    instant m_snapshotRequestedAt; // when its first page was requested
    instant m_lastSuccessAt;
    instant m_reachUpdatedAt;
    serving::store_reach m_reach = serving::store_reach::unknown;
    bool m_isReadInProgress = false; // the outstanding call does not wait for new records
    bool m_mustReadAgain = false; // another read must follow the outstanding call at once
    bool m_isRetryDeferred = false;
    bool m_isStopped = false;
};

}
