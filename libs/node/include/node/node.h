// Provides the node program's top-level object, which accepts requests of callers on one VM and routes them to targets.
#pragma once

#include "settings/node_settings.h"

#include <functional>
#include <memory>
#include <string>

namespace tamarack {

/// A node of the serving system. Runs on the event loop of the thread that constructs it.
class node {
public:
    /// `incarnation` must increase with every process start on this VM. `onStopped` is called once, when a drain that
    /// was begun with drain() has finished.
    node(node_settings settings, std::uint64_t incarnation, std::function<void()> onStopped);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /// Opens the ports and starts the timers. Returns an error message, or an empty string on success.
    std::string start();
    /// Begins a planned stop: the node is removed from /v1/entries, accepts requests as long as callers may have its
    /// address cached, and then completes the requests in flight.
    void drain();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

}
