#include <LibFront/Completion.h>

#include <LibCore/Rendezvous.h>
#include <LibLog/Log.h>
#include <algorithm>

namespace Front {

namespace {

constexpr unsigned StatusForbidden = 403;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusGone = 410;
constexpr unsigned StatusBadGateway = 502;
constexpr unsigned StatusUnavailable = 503;
constexpr std::int64_t DefaultRetryMilliseconds = 1000;

Refusal describe(Ticket::ResolveRefusal reason, const std::string &model)
{
    switch (reason) {
    case Ticket::ResolveRefusal::UnknownAdapter:
        return {.status = StatusNotFound,
                .code = "unknown-adapter",
                .message = "no adapter \"" + model + "\" exists",
                .advice = "check the model's name"};
    case Ticket::ResolveRefusal::UnknownVersion:
        return {.status = StatusNotFound,
                .code = "unknown-version",
                .message = "\"" + model + "\" names a version that the adapter doesn't have",
                .advice = "name another version, or none for the current one"};
    case Ticket::ResolveRefusal::NotAllowed:
        return {.status = StatusForbidden,
                .code = "not-allowed",
                .message = "no rule lets you reach \"" + model + "\"",
                .advice = "ask an operator for a rule"};
    case Ticket::ResolveRefusal::Retired:
        return {.status = StatusGone,
                .code = "retired-adapter",
                .message = "\"" + model + "\" is retired",
                .advice = "name another adapter"};
    }
    return {};
}

Refusal describe(const Owner::GrantReply &reply)
{
    const bool isLoadFailure = reply.outcome == Owner::GrantOutcome::LoadFailed;
    return {.status = StatusUnavailable,
            .code = isLoadFailure ? "load-failed" : "overloaded",
            .message = reply.reason,
            .advice = "send the request again after the time in Retry-After",
            .retryAfterMilliseconds = std::max(reply.retryAfterMilliseconds, DefaultRetryMilliseconds)};
}

}

// Sends each kind of stream event to its own function.
struct Completion::StreamVisitor {
    Completion &completion;

    void operator()(const Engine::StreamHead &head) const
    {
        completion.takeHead(head);
    }
    void operator()(const Engine::StreamToken &token) const
    {
        completion.takeToken(token);
    }
    void operator()(const Engine::StreamEnd &end) const
    {
        completion.takeEnd(end);
    }
    void operator()(const Engine::StreamRefusal &refusal) const
    {
        completion.takeRefusal(refusal);
    }
    void operator()(const Engine::StreamBroken &broken) const
    {
        completion.takeBreak(broken);
    }
};

Completion::Completion(const FrontPorts &ports, Core::HostId self, Core::ZoneId zone, CompletionRequest request,
                       std::shared_ptr<CallerAnswer> answer, DoneFunction done)
    : m_ports(ports)
    , m_self(std::move(self))
    , m_zone(std::move(zone))
    , m_request(std::move(request))
    , m_answer(std::move(answer))
    , m_done(std::move(done))
{
}

void Completion::start()
{
    m_startedAt = m_ports.scheduler.now();
    m_span = m_ports.tracer.begin("front.completion", m_request.traceParent);
    m_span.set("currantbay.model", m_request.model);
    const auto resolution = m_ports.tickets.state()->resolve(m_request.customer, m_request.model);
    if (const auto *reason = std::get_if<Ticket::ResolveRefusal>(&resolution)) {
        refuse(describe(*reason, m_request.model));
        return;
    }
    m_resolved = std::get<Ticket::ResolvedAdapter>(resolution);
    m_ownersToAsk = rankOwners();
    askNextOwner();
}

void Completion::abandon()
{
    if (m_hasEnded) {
        return;
    }
    m_ports.engines.cancel(m_stream);
    finish(Outcome::Unknown);
}

std::vector<Core::HostId> Completion::rankOwners() const
{
    std::vector<Core::RendezvousCandidate> candidates;
    for (const auto *target :
         m_ports.directory.available(m_zone, Platform::MachineKind::Engine, m_resolved.baseModel)) {
        candidates.push_back({.name = target->id.value});
    }
    std::vector<Core::HostId> owners;
    for (auto &name : Core::rankByRendezvous(m_resolved.adapter.toString(), candidates)) {
        const auto ownership = m_ports.ownership.ownerOf({std::move(name)});
        if (ownership.has_value() && std::find(owners.begin(), owners.end(), ownership->owner) == owners.end()) {
            owners.push_back(ownership->owner);
        }
    }
    return owners;
}

void Completion::askNextOwner()
{
    if (m_ownersToAsk.empty()) {
        refuse({.status = StatusUnavailable,
                .code = "no-target",
                .message = "no target of this availability zone can serve base model \"" + m_resolved.baseModel + '"',
                .advice = "send the request again after the time in Retry-After",
                .retryAfterMilliseconds = DefaultRetryMilliseconds});
        return;
    }
    const auto owner = m_ownersToAsk.front();
    m_ownersToAsk.erase(m_ownersToAsk.begin());
    m_owner = owner;
    m_grant = {m_ports.ids.next("grant")};
    const auto left = m_startedAt + m_request.timeout - m_ports.scheduler.now();
    auto span = m_ports.tracer.begin("owner.grant", m_span.context);
    span.set("currantbay.owner", owner.value);
    const Owner::GrantRequest asked {.grant = m_grant,
                                     .adapter = m_resolved.adapter,
                                     .baseModel = m_resolved.baseModel,
                                     .customer = m_request.customer,
                                     .patienceMilliseconds = Core::toMilliseconds(left)};
    m_ports.heldGrants.ask(m_grant, m_resolved.adapter, owner);
    m_ports.router.call<Owner::GrantReply>(
        owner, asked, left, [self = shared_from_this(), owner, span = std::move(span)](const auto &reply) {
            self->m_ports.tracer.end(span);
            self->takeGrant(owner, reply);
        });
}

void Completion::takeGrant(const Core::HostId &owner, const std::optional<Owner::GrantReply> &reply)
{
    if (m_hasEnded) {
        return;
    }
    if (!reply.has_value()) {
        // The owner may have granted it all the same.
        releaseGrant();
        refuse({.status = StatusUnavailable,
                .code = "owner-silent",
                .message = "host " + owner.value + " didn't answer in time",
                .advice = "send the request again after the time in Retry-After",
                .retryAfterMilliseconds = DefaultRetryMilliseconds});
        return;
    }
    if (reply->outcome == Owner::GrantOutcome::NotOwner) {
        m_ports.heldGrants.release(m_grant);
        askNextOwner();
        return;
    }
    if (reply->outcome != Owner::GrantOutcome::Granted) {
        refuse(describe(*reply));
        return;
    }
    m_granted = *reply;
    m_ports.heldGrants.hold(m_grant, m_granted.target);
    startStream();
}

void Completion::startStream()
{
    const auto *target = m_ports.directory.find(m_granted.target);
    if (target == nullptr) {
        refuse({.status = StatusUnavailable,
                .code = "target-gone",
                .message = "target " + m_granted.target.value + " has left",
                .advice = "send the request again",
                .retryAfterMilliseconds = DefaultRetryMilliseconds});
        return;
    }
    m_attempt = {m_ports.ids.next("attempt")};
    m_assembly.beginAttempt(m_attempt);
    m_stream = m_ports.engines.generate({.target = target->id, .address = target->address},
                                        {.attempt = m_attempt,
                                         .adapter = m_resolved.adapter,
                                         .prompt = m_request.prompt,
                                         .mostTokens = m_request.mostTokens,
                                         .offset = m_assembly.delivered(),
                                         .traceparent = m_span.context.toHeader()},
                                        [self = shared_from_this()](const Engine::StreamEvent &event) {
                                            if (!self->m_hasEnded) {
                                                std::visit(StreamVisitor {*self}, event);
                                            }
                                        });
}

void Completion::takeHead(const Engine::StreamHead &head)
{
    const bool isRight = head.attempt == m_attempt && head.adapter == m_resolved.adapter
        && head.incarnation == m_granted.targetIncarnation;
    if (!isRight) {
        Log::write(Log::Event::WrongAnswerDropped,
                   {{"target", m_granted.target.value}, {"adapter", head.adapter.toString()}});
        m_ports.engines.cancel(m_stream);
        takeBreak({.reason = "the target answered for another adapter, attempt or incarnation"});
        return;
    }
    if (!m_hasBegun) {
        m_hasBegun = true;
        m_answer->begin({.adapter = m_resolved.adapter, .target = m_granted.target});
    }
}

void Completion::takeToken(const Engine::StreamToken &token)
{
    if (!m_hasBegun) {
        m_ports.engines.cancel(m_stream);
        takeBreak({.reason = "tokens came before the head"});
        return;
    }
    if (const auto text = m_assembly.accept(token); !text.empty()) {
        m_answer->text(text);
    }
}

void Completion::takeEnd(const Engine::StreamEnd &end)
{
    m_assembly.acceptEnd(end);
    if (!m_hasBegun || !m_assembly.isWhole()) {
        takeBreak({.reason = "the end mark came before the whole answer"});
        return;
    }
    m_answer->finish(end.tokenCount);
    finish(Outcome::Completed);
}

void Completion::takeRefusal(const Engine::StreamRefusal &refusal)
{
    refuse({.status = StatusUnavailable,
            .code = "target-refused",
            .message = "target " + m_granted.target.value + " refused: " + refusal.reason,
            .advice = "send the request again",
            .retryAfterMilliseconds = DefaultRetryMilliseconds});
}

void Completion::takeBreak(const Engine::StreamBroken &broken)
{
    const Refusal reason {.status = StatusBadGateway,
                          .outcome = broken.mayHaveRun ? Outcome::Unknown : Outcome::NotRun,
                          .code = "target-broke-off",
                          .message = "target " + m_granted.target.value + ": " + broken.reason,
                          .advice = "the answer isn't whole; send the request again",
                          .retryAfterMilliseconds = DefaultRetryMilliseconds};
    if (!m_hasBegun) {
        refuse(reason);
        return;
    }
    Log::write(Log::Event::AnswerCut, {{"target", m_granted.target.value}, {"reason", broken.reason}});
    m_answer->cut(reason);
    finish(reason.outcome);
}

void Completion::refuse(Refusal refusal)
{
    m_answer->refuse(refusal);
    m_span.set("currantbay.refusal", refusal.code);
    finish(refusal.outcome);
}

void Completion::finish(Outcome outcome)
{
    m_hasEnded = true;
    releaseGrant();
    m_span.set("currantbay.outcome", std::string(toText(outcome)));
    m_ports.tracer.end(m_span);
    m_ports.metrics.count("currantbay_requests_total{outcome=\"" + std::string(toText(outcome)) + "\"}");
    m_ports.metrics.observe("currantbay_request_seconds", m_ports.scheduler.now() - m_startedAt);
    m_done();
}

void Completion::releaseGrant()
{
    if (m_owner.has_value()) {
        m_ports.heldGrants.release(m_grant);
        m_ports.router.send(*m_owner, Owner::GrantRelease {.grant = m_grant});
        m_owner.reset();
    }
}

}
