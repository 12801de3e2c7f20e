// One node: everything between callers and targets on one entry VM.
#pragma once

#include "settings/node_settings.h"

#include <functional>
#include <memory>
#include <string>

namespace tamarack {

/// Runs on the event loop of the thread that made it.
class node {
public:
    /// `incarnation` must rise with every start of a process on this VM. `onStopped` is called once a planned stop is
    /// done.
    node(node_settings settings, std::uint64_t incarnation, std::function<void()> onStopped);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /// What could not be started, or nothing.
    std::string start();
    /// Begins a planned stop: leaves /v1/entries, goes on accepting while callers may hold the address, finishes.
    void drain();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

}
