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
        return "a token index is too far beyond the delivered tokens";
    case StreamFault::TokenMismatch:
        return "a repeated token has a different text";
    case StreamFault::InvalidEnd:
        return "the end marker contradicts the tokens";
    }
    return "";
}

}

// Dispatches each kind of stream event to its handler.
struct EngineAttempt::Visitor {
    EngineAttempt &attempt;

    void operator()(const Engine::StreamHead &head) const
    {
        attempt.handleHead(head);
    }
    void operator()(const Engine::StreamToken &token) const
    {
        attempt.handleToken(token);
    }
    void operator()(const Engine::StreamEnd &end) const
    {
        attempt.handleEnd(end);
    }
    void operator()(const Engine::StreamRefusal &refusal) const
    {
        attempt.handleRefusal(refusal);
    }
    void operator()(const Engine::StreamFailure &broken) const
    {
        attempt.handleBroken(broken);
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

void EngineAttempt::handleHead(const Engine::StreamHead &head)
{
    const bool isExpected
        = head.attempt == m_request.attempt && head.adapter == m_request.adapter && head.incarnation == m_incarnation;
    if (!isExpected) {
        Log::write(Log::Event::WrongAnswerDropped,
                   {{"adapter", head.adapter.toString()}, {"incarnation", head.incarnation}});
        fail(Routing::Failure::MismatchedHead, "the stream head names another adapter, attempt or incarnation");
        return;
    }
    m_hasHead = true;
    m_events.onHead();
}

void EngineAttempt::handleToken(const Engine::StreamToken &token)
{
    if (!m_hasHead) {
        fail(Routing::Failure::MismatchedHead, "a token arrived before the stream head");
        return;
    }
    const auto text = m_assembly.accept(token);
    if (const auto fault = m_assembly.fault(); fault.has_value()) {
        failWithFault(*fault);
        return;
    }
    if (!text.empty()) {
        m_events.onText(text);
    }
}

void EngineAttempt::handleEnd(const Engine::StreamEnd &end)
{
    if (!m_hasHead) {
        fail(Routing::Failure::MismatchedHead, "the end marker arrived before the stream head");
        return;
    }
    m_assembly.acceptEnd(end);
    if (const auto fault = m_assembly.fault(); fault.has_value()) {
        failWithFault(*fault);
    } else if (!m_assembly.isComplete()) {
        fail(Routing::Failure::StreamBroken, "the end marker arrived before the last token");
    } else {
        m_hasEnded = true;
        m_events.onComplete();
    }
}

void EngineAttempt::handleRefusal(const Engine::StreamRefusal &refusal)
{
    const bool isRefusedBeforeRun
        = refusal.status < FirstServerError || refusal.status == Core::HttpStatus::ServiceUnavailable;
    const bool hasNotRun = isRefusedBeforeRun && !m_hasHead;
    fail(hasNotRun ? Routing::Failure::TargetRefused : Routing::Failure::StreamBroken, refusal.reason);
}

void EngineAttempt::handleBroken(const Engine::StreamFailure &broken)
{
    if (!broken.mayHaveRun && !m_hasHead) {
        fail(Routing::Failure::TargetUnreachable, broken.reason);
        return;
    }
    fail(broken.isIdleTimeout ? Routing::Failure::StreamIdle : Routing::Failure::StreamBroken, broken.reason);
}

// Delivered text can't be taken back, so a token that differs from it ends the request. Any other fault may concern
// this stream only.
void EngineAttempt::failWithFault(StreamFault fault)
{
    const bool isTokenMismatch = fault == StreamFault::TokenMismatch;
    fail(isTokenMismatch ? Routing::Failure::InconsistentStream : Routing::Failure::StreamBroken,
         std::string(describe(fault)));
}

void EngineAttempt::fail(Routing::Failure failure, std::string reason)
{
    cancel();
    // The handler may destroy this attempt, so the function is copied first.
    const auto onFailure = m_events.onFailure;
    onFailure({.failure = failure, .reason = std::move(reason)});
}

}
