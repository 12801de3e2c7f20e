// Signals as calls from the event loop.
#pragma once

#include <QSocketNotifier>
#include <functional>
#include <memory>

namespace tamarack {

struct signal_handlers {
    std::function<void()> onStop; ///< SIGTERM, SIGINT
    std::function<void()> onReload; ///< SIGHUP
};

/// Create it before any thread starts: a thread that has not blocked the signals would take them and end the process.
class signal_watch {
public:
    explicit signal_watch(signal_handlers on);
    ~signal_watch();
    signal_watch(const signal_watch&) = delete;
    signal_watch& operator=(const signal_watch&) = delete;

    /// Begins to tell of signals; needs the application object.
    void begin();

private:
    void read();

    signal_handlers m_on;
    int m_descriptor;
    std::unique_ptr<QSocketNotifier> m_notifier;
};

}
