// Provides the type of rates of requests.
#pragma once

#include <compare>

namespace tamarack {

struct request_rate {
    double perSecond = 0; ///< not negative

    auto operator<=>(const request_rate&) const = default;
};

}
