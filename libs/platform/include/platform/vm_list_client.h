// Provides the HTTP client of the platform's list of VMs. The list may be stale, so the presence or absence of a VM in
// it proves nothing about the VM's present state.
#pragma once

#include "base/clock.h"
#include "decide/membership.h"
#include "http/http_client.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace tamarack {

/// Reads the list of VMs. Must be used from a thread with an event loop.
class vm_list_client {
public:
    vm_list_client(const endpoint& service, duration timeout);
    ~vm_list_client();
    vm_list_client(const vm_list_client&) = delete;
    vm_list_client& operator=(const vm_list_client&) = delete;

    /// Reads the whole list. `done` receives nothing if the list cannot be read or the call times out.
    void read(std::function<void(std::optional<std::vector<listed_vm>>)> done);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

}
