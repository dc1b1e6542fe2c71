#pragma once

#include <LibFront/CallerResponse.h>
#include <LibLedger/CallResult.h>

namespace Service {

enum class ResponseOrigin {
    // The service responded to this call.
    Service,
    // The call ran earlier, and the response was read from the ledger.
    Record,
};

// The response to one call. Exactly one of the functions is called, once.
class ServiceResponse
{
public:
    virtual ~ServiceResponse() = default;
    virtual void refuse(const Front::Refusal &refusal) = 0;
    virtual void deliver(const Ledger::CallResult &result, ResponseOrigin origin) = 0;
};

}
