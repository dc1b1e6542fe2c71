#pragma once

#include <cstdio>
#include <cstdlib>

// Stops the process loudly when an invariant of the program itself is violated. Never used on input.
#define VERIFY(condition)                                                                                              \
    do {                                                                                                               \
        if (!(condition)) {                                                                                            \
            std::fprintf(stderr, "VERIFY failed: %s at %s:%d\n", #condition, __FILE__, __LINE__);                      \
            std::abort();                                                                                              \
        }                                                                                                              \
    } while (false)
