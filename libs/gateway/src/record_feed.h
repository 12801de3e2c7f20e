// Follows one topic of the store: the newest record of each key first, then all further records.
#pragma once

#include "gateway/keyed_log.h"
#include "serving/node_directory.h"
#include "serving/retry_backoff.h"

#include <QTimer>
#include <functional>

namespace tamarack {

struct feed_options {
    store_topic topic = store_topic::configuration;
    duration wait = duration::zero(); ///< how long a read waits at the store for the next record
    duration pause = duration::zero(); ///< between the end of a read and the next one
    duration retryPause = std::chrono::milliseconds(150); ///< after a call that failed; longer after each further one
    duration longestRetryPause = std::chrono::milliseconds(600);
};

/// Keeps one call outstanding. Records may come twice, in particular after a start over; never out of order.
class record_feed {
public:
    struct handlers {
        /// All keys there are; a key that is missing is gone.
        std::function<void(const std::vector<keyed_record>&)> onSnapshot;
        std::function<void(const std::vector<keyed_record>&)> onRecords;
        /// The store answers, also at first, or does not any more.
        std::function<void(bool isReachable, std::string_view reason)> onReach;
        /// Every record that the topic held at freshAt() has been passed to the handlers.
        std::function<void()> onComplete = [] {};
    };

    record_feed(keyed_log& store, feed_options options, handlers on);

    void start() { readNewest(); }
    /// Schedules the first read after `wait`; hurry() starts it earlier. No effect once a call has been issued, since
    /// it would postpone the next read.
    void startAfter(duration wait);
    void setPause(duration pause) { m_options.pause = pause; }
    void setWait(duration wait) { m_options.wait = wait; }
    void setLongestRetryPause(duration longest) { m_retries.setMaxDelay(longest); }
    void setRetryPauses(duration first, duration longest) { m_retries.setDelays(first, longest); }
    /// Reads now: a call that waits for the next record is given up, since its connection may have gone silent. One
    /// that is being answered goes on, and is followed by another at once.
    void hurry();
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
    /// When the store answered last.
    instant reachedAt() const { return m_reachedAt; }
    /// When a successful or failed call last determined reach(). Expired offsets and abandoned calls do not count.
    instant reachUpdatedAt() const { return m_reachUpdatedAt; }
    std::int64_t next() const { return m_next; }

private:
    void startOver();
    /// The next page of the newest records.
    void readNewest();
    void readOn(duration wait);
    void onNewest(const store_result<newest_page>& result);
    void onPage(const store_result<record_page>& result);
    void failed(store_error error);
    void reached();
    void again(duration pause);
    void pause();

    keyed_log& m_store;
    feed_options m_options;
    handlers m_on;
    QTimer m_timer;
    serving::retry_backoff m_retries;
    std::vector<keyed_record> m_snapshot; // of the pages so far
    std::string m_snapshotTo; // the last key of them
    std::int64_t m_snapshotEnd = -1; // end of the topic when the first page was read; -1: no page yet
    duration m_patience; // for the next page
    std::int64_t m_next = -1; // offset to read from; -1: the newest records are not known yet
    std::uint64_t m_call = 0; // the outstanding call; answers of earlier ones have no effect
    instant m_freshAt;
    instant m_askedAt;
    duration m_askedWait = duration::zero(); // wait of the outstanding call
    instant m_snapshotAskedAt; // when its first page was requested
    instant m_reachedAt;
    instant m_reachUpdatedAt;
    serving::store_reach m_reach = serving::store_reach::unknown;
    bool m_isAnswerDue = false; // the outstanding call does not wait for the next record
    bool m_isHurried = false; // there is more to read than what the outstanding call was asked for
    bool m_isRetryDeferred = false;
    bool m_isStopped = false;
};

}
