// What a node reports to its peers of the requests that client accounts began in a window of time.
#pragma once

#include <cstdint>
#include <vector>

namespace tamarack {

struct usage_count {
    std::uint64_t account = 0; ///< stableHash() of the account's name
    std::uint32_t requests = 0;
};

/// The counts only grow, so reports may be lost, doubled or overtaken.
struct usage_report {
    std::uint32_t node = 0; ///< shortHash() of the VM
    std::int64_t process = 0; ///< identifies the node's process
    std::int64_t window = 0;
    bool isFinal = false; ///< the window had ended when the counts were taken
    std::uint32_t total = 0; ///< requests of all accounts, in all parts of the report
    std::vector<usage_count> counts; ///< a part of the accounts
};

}
