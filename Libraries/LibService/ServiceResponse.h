#pragma once

#include <LibFront/CallerResponse.h>
#include <LibLedger/CallResult.h>

namespace Service {

enum class ResponseOrigin {
    // The service has just answered this call.
    Service,
    // The call ran before; this is the answer that was recorded.
    Record,
};

// Where the answer to one call goes. One of the functions is called, once.
class ServiceResponse
{
public:
    virtual ~ServiceResponse() = default;
    virtual void refuse(const Front::Refusal &refusal) = 0;
    virtual void deliver(const Ledger::CallResult &result, ResponseOrigin origin) = 0;
};

}
