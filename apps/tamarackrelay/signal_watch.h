// Delivers signals as function calls from the event loop.
#pragma once

#include <QSocketNotifier>
#include <functional>
#include <memory>

namespace tamarack {

struct signal_handlers {
    std::function<void()> onStop; ///< SIGTERM, SIGINT
    std::function<void()> onReload; ///< SIGHUP
};

/// Blocks SIGTERM, SIGINT and SIGHUP and receives them through a signalfd. Must be constructed before any thread
/// starts: a thread in which the signals are not blocked would receive them, and their default action ends the process.
class signal_watch {
public:
    explicit signal_watch(signal_handlers handlers);
    ~signal_watch();
    signal_watch(const signal_watch&) = delete;
    signal_watch& operator=(const signal_watch&) = delete;

    /// Starts calling the handlers. The application object must exist.
    void begin();

private:
    void read();

    signal_handlers m_handlers;
    int m_descriptor;
    std::unique_ptr<QSocketNotifier> m_notifier;
};

}
