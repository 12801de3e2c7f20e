// Names of the enumerations used in records, as stored in the log.
#include "decide/records.h"

#include "decide/replicated_state.h"

#include <array>

namespace tamarack {

namespace {

    constexpr std::array<std::string_view, 6> orderKinds { "role", "model", "adapter", "version", "leave", "none" };
    constexpr std::array<std::string_view, 6> orderEnds { "effect-seen", "refused", "never-sent", "delivery-closed",
        "deliverer-ended", "operator-said" };
    constexpr std::array<std::string_view, 8> verdicts { "valid", "stale-base", "stale-previous", "stale-term",
        "order-open", "not-open", "not-entitled", "no-effect" };

    template <class Enum, std::size_t N>
    Enum parse(const std::array<std::string_view, N>& names, std::string_view text, Enum fallback)
    {
        for (std::size_t i = 0; i < N; ++i) {
            if (names[i] == text)
                return static_cast<Enum>(i);
        }
        return fallback;
    }

}

std::string_view toString(order_kind kind) { return orderKinds[static_cast<std::size_t>(kind)]; }

order_kind parseOrderKind(std::string_view text) { return parse(orderKinds, text, order_kind::none); }

std::string_view toString(order_end end) { return orderEnds[static_cast<std::size_t>(end)]; }

order_end parseOrderEnd(std::string_view text) { return parse(orderEnds, text, order_end::count); }

std::string_view toString(verdict v) { return verdicts[static_cast<std::size_t>(v)]; }

}
