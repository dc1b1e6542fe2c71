#pragma once

#include <cstdio>
#include <cstdlib>

// Prints the failed condition and aborts the process. For internal invariants only, never for validating input.
#define VERIFY(condition)                                                                                              \
    do {                                                                                                               \
        if (!(condition)) {                                                                                            \
            std::fprintf(stderr, "VERIFY failed: %s at %s:%d\n", #condition, __FILE__, __LINE__);                      \
            std::abort();                                                                                              \
        }                                                                                                              \
    } while (false)
