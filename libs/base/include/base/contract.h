// Precondition checks that stay on in release builds.
#pragma once

#include <cstdio>
#include <cstdlib>

/// Ends the process with a message when a precondition does not hold: going on would act on a state nobody reasoned
/// about.
#define TAMARACK_ASSERT(condition, message)                                                                            \
    do {                                                                                                               \
        if (!(condition)) {                                                                                            \
            std::fprintf(stderr, "%s:%d: precondition failed: %s\n", __FILE__, __LINE__, message);                     \
            std::abort();                                                                                              \
        }                                                                                                              \
    } while (false)
