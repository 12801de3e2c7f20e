// The platform's list of VMs, over HTTP. It lags: absence and presence are hints, not proofs.
#pragma once

#include "base/clock.h"
#include "decide/membership.h"
#include "http/http_client.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace tamarack {

class vm_list_client {
public:
    vm_list_client(const endpoint& service, duration timeout);
    ~vm_list_client();
    vm_list_client(const vm_list_client&) = delete;
    vm_list_client& operator=(const vm_list_client&) = delete;

    /// `done` gets nothing when the list cannot be read now.
    void read(std::function<void(std::optional<std::vector<listed_vm>>)> done);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

}
