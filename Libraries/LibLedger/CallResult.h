#pragma once

#include <msgpack.hpp>
#include <string>

namespace Ledger {

// A service's response to one call, as it is stored and returned to retries of the call.
struct CallResult {
    unsigned status = 0; // HTTP status.
    std::string contentType;
    std::string body;
    bool isBodyOmitted = false; // The body exceeded the maximum size for storing.

    bool operator==(const CallResult &) const = default;

    MSGPACK_DEFINE(status, contentType, body, isBodyOmitted)
};

}
