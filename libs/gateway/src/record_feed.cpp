// Implements the reads and retries of record_feed.
#include "record_feed.h"

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

    using namespace std::chrono_literals;

    /// Idle timeout for a page. The store responds within 4 ms, and within a quarter of a second when it is slow.
    constexpr duration defaultPageTimeout = 700ms;
    /// When 300 nodes read 3,000 targets at once, the store's 80 MB/s are saturated for 4.3 s.
    constexpr duration maxPageTimeout = 6s;

}

std::string_view toString(store_error error)
{
    switch (error) {
    case store_error::unreachable:
        return "unreachable";
    case store_error::refused:
        return "refused";
    case store_error::expired:
        return "expired";
    }
    return "unknown";
}

record_feed::record_feed(keyed_log& store, feed_options options, handlers on)
    : m_store(store)
    , m_options(options)
    , m_on(std::move(on))
    , m_retries(options.retryPause, options.maxRetryPause)
    , m_pageTimeout(defaultPageTimeout)
{
    m_timer.setSingleShot(true);
    QObject::connect(&m_timer, &QTimer::timeout, [this] { readNext(m_options.wait); });
}

void record_feed::scheduleRead(duration pause)
{
    m_timer.start(std::chrono::duration_cast<std::chrono::milliseconds>(pause));
}

void record_feed::startAfter(duration wait)
{
    if (m_call == 0)
        scheduleRead(wait);
}

void record_feed::stop()
{
    m_isStopped = true;
    ++m_call;
    m_timer.stop();
}

// A read in progress is not abandoned: a large configuration takes a second over a narrow link, and if each peer that
// announces it restarted the read, no response would ever be received completely.
void record_feed::readNow()
{
    if (m_isStopped)
        return;
    if (m_isReadInProgress) {
        m_mustReadAgain = true;
        return;
    }
    m_timer.stop();
    readNext(duration::zero());
}

void record_feed::skipTo(std::int64_t next)
{
    if (m_next < 0 && !m_isReadInProgress)
        m_next = next;
}

void record_feed::deferRetry(duration pause)
{
    if (m_reach != serving::store_reach::lost || m_isReadInProgress || m_isStopped || m_isRetryDeferred)
        return;
    m_isRetryDeferred = true;
    scheduleRead(pause);
}

void record_feed::readNext(duration wait)
{
    if (m_next < 0)
        return readNewest();
    const auto call = ++m_call;
    m_requestedAt = boot_clock::now();
    m_requestedWait = wait;
    m_isReadInProgress = wait == duration::zero();
    m_store.read(m_options.topic, m_next, wait, [this, call](store_result<record_page> result) {
        if (call == m_call)
            onPage(result);
    });
}

void record_feed::restart()
{
    m_next = -1;
    m_snapshot.clear();
    m_snapshotLastKey.clear();
    m_snapshotEnd = -1;
    m_pageTimeout = defaultPageTimeout;
}

void record_feed::readNewest()
{
    const auto call = ++m_call;
    m_requestedAt = boot_clock::now();
    if (m_snapshotEnd < 0)
        m_snapshotRequestedAt = m_requestedAt;
    m_isReadInProgress = true;
    m_store.newest(m_options.topic, m_snapshotLastKey, m_pageTimeout, [this, call](store_result<newest_page> result) {
        if (call == m_call)
            onNewest(result);
    });
}

// A failed page is requested again by itself, with twice the timeout. When 300 nodes start at once with 3,000 targets,
// a page takes longer than the default timeout; if each node then restarted with the first page, the store would be
// saturated with responses that no node waits for.
void record_feed::onNewest(const store_result<newest_page>& result)
{
    m_isReadInProgress = false;
    if (const auto* error = std::get_if<store_error>(&result)) {
        m_pageTimeout = std::min(2 * m_pageTimeout, maxPageTimeout);
        return onFailure(*error);
    }
    const auto& page = std::get<newest_page>(result);
    onSuccess();
    // The pages are not an atomic snapshot: reading continues from the end that the first page reported, so records
    // from later pages may be delivered again.
    if (m_snapshotEnd < 0)
        m_snapshotEnd = page.end;
    m_snapshot.insert(m_snapshot.end(), page.records.begin(), page.records.end());
    if (page.hasMore && !page.records.empty()) {
        m_snapshotLastKey = page.records.back().key;
        return readNewest();
    }
    const auto snapshot = std::move(m_snapshot);
    const auto end = m_snapshotEnd;
    restart();
    m_next = end;
    m_freshAt = m_snapshotRequestedAt;
    m_on.onSnapshot(snapshot);
    m_on.onComplete();
    scheduleNextRead();
}

void record_feed::scheduleNextRead()
{
    scheduleRead(std::exchange(m_mustReadAgain, false) ? duration::zero() : m_options.pause);
}

void record_feed::onPage(const store_result<record_page>& result)
{
    m_isReadInProgress = false;
    if (const auto* error = std::get_if<store_error>(&result)) {
        if (*error == store_error::expired)
            restart(); // the missed records are lost, but the newest record of each key contains all that still matters
        return onFailure(*error);
    }
    const auto& page = std::get<record_page>(result);
    onSuccess();
    m_next = std::max(m_next, page.next);
    if (!page.records.empty())
        m_on.onRecords(page.records);
    if (page.next < page.end)
        return scheduleRead(duration::zero());
    // An empty answer to a waiting read means that nothing was written before the wait expired.
    m_freshAt = page.records.empty() ? std::min(m_requestedAt + m_requestedWait, boot_clock::now()) : m_requestedAt;
    m_on.onComplete();
    scheduleNextRead();
}

void record_feed::onFailure(store_error error)
{
    if (error == store_error::expired)
        return scheduleRead(duration::zero());
    m_reachUpdatedAt = boot_clock::now();
    m_isRetryDeferred = false;
    if (m_reach != serving::store_reach::lost) {
        m_reach = serving::store_reach::lost;
        m_on.onReach(false, toString(error));
    }
    scheduleRead(m_retries.nextDelay());
}

void record_feed::onSuccess()
{
    m_lastSuccessAt = m_reachUpdatedAt = boot_clock::now();
    m_retries.succeeded();
    if (m_reach == serving::store_reach::reached)
        return;
    m_reach = serving::store_reach::reached;
    m_on.onReach(true, {});
}

}
