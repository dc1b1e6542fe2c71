#include <LibFront/EngineAttempt.h>

#include <LibCore/HttpStatus.h>
#include <LibLog/Log.h>

namespace Front {

namespace {

constexpr long FirstServerError = 500;

std::string_view describe(StreamFault fault)
{
    switch (fault) {
    case StreamFault::TooFarAhead:
        return "a token's index is far beyond the answer so far";
    case StreamFault::Disagreement:
        return "a token came again with another text";
    case StreamFault::WrongEnd:
        return "the end mark contradicts the tokens";
    }
    return "";
}

}

// Sends each kind of stream event to its own function.
struct EngineAttempt::Visitor {
    EngineAttempt &attempt;

    void operator()(const Engine::StreamHead &head) const
    {
        attempt.takeHead(head);
    }
    void operator()(const Engine::StreamToken &token) const
    {
        attempt.takeToken(token);
    }
    void operator()(const Engine::StreamEnd &end) const
    {
        attempt.takeEnd(end);
    }
    void operator()(const Engine::StreamRefusal &refusal) const
    {
        attempt.takeRefusal(refusal);
    }
    void operator()(const Engine::StreamFailure &broken) const
    {
        attempt.takeBreak(broken);
    }
};

EngineAttempt::EngineAttempt(Engine::EngineLink &engines, StreamAssembly &assembly, Events events)
    : m_engines(engines)
    , m_assembly(assembly)
    , m_events(std::move(events))
{
}

void EngineAttempt::start(const Engine::EngineAddress &engine, const Engine::GenerateRequest &request,
                          std::string incarnation)
{
    m_request = request;
    m_incarnation = std::move(incarnation);
    m_assembly.beginAttempt(request.attempt);
    m_stream = m_engines.generate(engine, request, [weak = weak_from_this()](const Engine::StreamEvent &event) {
        if (const auto self = weak.lock(); self != nullptr && !self->m_hasEnded) {
            std::visit(Visitor {*self}, event);
        }
    });
}

void EngineAttempt::cancel()
{
    m_hasEnded = true;
    m_engines.cancel(m_stream);
}

void EngineAttempt::takeHead(const Engine::StreamHead &head)
{
    const bool isRight
        = head.attempt == m_request.attempt && head.adapter == m_request.adapter && head.incarnation == m_incarnation;
    if (!isRight) {
        Log::write(Log::Event::WrongAnswerDropped,
                   {{"adapter", head.adapter.toString()}, {"incarnation", head.incarnation}});
        fail(Routing::Failure::MismatchedHead, "answered for another adapter, attempt or incarnation");
        return;
    }
    m_hasHead = true;
    m_events.onHead();
}

void EngineAttempt::takeToken(const Engine::StreamToken &token)
{
    if (!m_hasHead) {
        fail(Routing::Failure::MismatchedHead, "tokens came before the head");
        return;
    }
    const auto text = m_assembly.accept(token);
    if (const auto fault = m_assembly.fault(); fault.has_value()) {
        failBy(*fault);
        return;
    }
    if (!text.empty()) {
        m_events.onText(text);
    }
}

void EngineAttempt::takeEnd(const Engine::StreamEnd &end)
{
    if (!m_hasHead) {
        fail(Routing::Failure::MismatchedHead, "the end mark came before the head");
        return;
    }
    m_assembly.acceptEnd(end);
    if (const auto fault = m_assembly.fault(); fault.has_value()) {
        failBy(*fault);
    } else if (!m_assembly.isWhole()) {
        fail(Routing::Failure::StreamBroken, "the end mark came before the whole answer");
    } else {
        m_hasEnded = true;
        m_events.onWhole();
    }
}

void EngineAttempt::takeRefusal(const Engine::StreamRefusal &refusal)
{
    const bool isCertain = refusal.status < FirstServerError || refusal.status == Core::HttpStatus::ServiceUnavailable;
    const bool hasSurelyNotRun = isCertain && !m_hasHead;
    fail(hasSurelyNotRun ? Routing::Failure::TargetRefused : Routing::Failure::StreamBroken, refusal.reason);
}

void EngineAttempt::takeBreak(const Engine::StreamFailure &broken)
{
    if (!broken.mayHaveRun && !m_hasHead) {
        fail(Routing::Failure::TargetUnreachable, broken.reason);
        return;
    }
    fail(broken.isIdleTimeout ? Routing::Failure::StreamIdle : Routing::Failure::StreamBroken, broken.reason);
}

// Text that differs from what was delivered can't be mended; anything else may be a fault of this stream alone.
void EngineAttempt::failBy(StreamFault fault)
{
    const bool isDisagreement = fault == StreamFault::Disagreement;
    fail(isDisagreement ? Routing::Failure::InconsistentStream : Routing::Failure::StreamBroken,
         std::string(describe(fault)));
}

void EngineAttempt::fail(Routing::Failure failure, std::string reason)
{
    cancel();
    // The receiver may drop this attempt.
    const auto onFailure = m_events.onFailure;
    onFailure({.failure = failure, .reason = std::move(reason)});
}

}
