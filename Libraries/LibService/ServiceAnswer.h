#pragma once

#include <LibFront/CallerAnswer.h>
#include <LibLedger/CallResult.h>

namespace Service {

enum class AnswerOrigin {
    // The service has just answered this call.
    Service,
    // The call ran before; this is the answer that was recorded.
    Record,
};

// Where the answer to one call goes. One of the functions is called, once.
class ServiceAnswer
{
public:
    virtual ~ServiceAnswer() = default;
    virtual void refuse(const Front::Refusal &refusal) = 0;
    virtual void deliver(const Ledger::CallResult &result, AnswerOrigin origin) = 0;
};

}
