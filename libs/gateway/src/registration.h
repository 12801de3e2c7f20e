// Registers this node in the store, so that nodes that start later know whom to contact.
#pragma once

#include "node_messages.h"

#include "observe/logger.h"
#include "serving/node_directory.h"
#include "serving/retry_backoff.h"

#include <QTimer>
#include <cstdint>
#include <functional>

namespace tamarack {

class registration {
public:
    using self_source = std::function<serving::node_state()>;

    /// `onRegistered` is called once; incarnation() is set from then on.
    registration(keyed_log& store, self_source self, const logger& log, std::function<void()> onRegistered);

    void start();
    /// Increases with each start of the node; 0 until the store has assigned it. It comes from the store because the
    /// wall clock of a VM may be set back.
    std::uint64_t incarnation() const { return m_incarnation; }

private:
    void onResponse(const store_result<std::int64_t>& result);

    keyed_log& m_store;
    self_source m_self;
    const logger& m_log;
    std::function<void()> m_onRegistered;
    QTimer m_timer;
    serving::retry_backoff m_retries;
    std::uint64_t m_incarnation = 0;
};

}
