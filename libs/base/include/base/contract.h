// Provides a precondition check that stays enabled in release builds.
#pragma once

#include <cstdio>
#include <cstdlib>

/// Aborts the process with a message if a precondition does not hold. Continuing would mean acting on a state that the
/// design does not cover.
#define TAMARACK_ASSERT(condition, message)                                                                            \
    do {                                                                                                               \
        if (!(condition)) {                                                                                            \
            std::fprintf(stderr, "%s:%d: precondition failed: %s\n", __FILE__, __LINE__, message);                     \
            std::abort();                                                                                              \
        }                                                                                                              \
    } while (false)
