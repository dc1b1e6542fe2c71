#pragma once

#include <msgpack.hpp>
#include <string>

namespace Ledger {

// What a service answered to one call, as it is kept for repeats.
struct CallResult {
    unsigned status = 0; // HTTP status.
    std::string contentType;
    std::string body;
    bool isBodyLeftOut = false; // The body was larger than what is kept.

    bool operator==(const CallResult &) const = default;

    MSGPACK_DEFINE(status, contentType, body, isBodyLeftOut)
};

}
