// Explains how the host would handle a request, without handling it.
#include <LibGateway/ForwardingLimits.h>
#include <LibGateway/ForwardingTerms.h>
#include <LibGateway/Gateway.h>

namespace Gateway {

namespace {

AccountExplanation explainAccount(const RequestAccount &account, const Routes::ClientAccount *settings)
{
    AccountExplanation explanation {.name = account.name.value_or(""), .cost = account.cost};
    if (settings != nullptr) {
        explanation.isLimited = settings->isLimited();
        explanation.ratePerSecond = settings->ratePerSecond;
        explanation.burst = settings->burst;
        explanation.unit = settings->unit;
    }
    return explanation;
}

}

std::optional<Refusal> Gateway::refusalByForwarding(const CallerRequest &request, const Routes::Route &route,
                                                    const ExplanationOptions &options,
                                                    const FleetExplanation &fleet) const
{
    const auto remaining = timeLimitOf(request, route);
    // Without its body, a request can't be recognised as a whole.
    const auto fingerprints = options.bodyBytes == 0 ? fingerprintsOf(request) : request.promptParts;
    RefusalTerms terms;
    if (remaining < MinRemainingTime) {
        terms = TooLittleTime;
    } else if (m_quarantine.suspicionOf(fingerprints) == Routing::Suspicion::Refused) {
        terms = CrashesReplicas;
    } else if (!fleet.choice.has_value()) {
        terms = NoReplicaAvailable;
    } else {
        return std::nullopt;
    }
    const auto &service = Routes::chooseService(route, request.attemptId);
    const auto pauseLeft = pauseLeftFor(request, m_fleet, service, remaining, m_dependencies.scheduler.now());
    return Refusal {.reason = std::string(terms.reason), .retryAfter = std::max(terms.retryAfter, pauseLeft)};
}

RequestExplanation Gateway::explainRequest(const Net::ServerRequest &head, const ExplanationOptions &options) const
{
    RequestExplanation explanation {.host = m_options.holding.self.host, .zone = m_options.holding.self.zone};
    if (const auto &configuration = m_routes.current(); configuration != nullptr) {
        explanation.configuration = configuration->version;
    }
    explanation.refusal = refusalByHost(head);
    if (explanation.refusal.has_value()) {
        return explanation;
    }
    auto request = m_dependencies.protocol.readRequest(head);
    explanation.isIdMadeUp = request.attemptId.empty();
    if (explanation.isIdMadeUp) {
        request.attemptId = options.fallbackId;
    }
    explanation.requestId = request.attemptId;
    const auto route = m_routes.find(request.host, request.target);
    explanation.refusal = refusalByRoute(request, route);
    if (explanation.refusal.has_value()) {
        return explanation;
    }
    explanation.route = route.route->name;
    explanation.service = Routes::chooseService(*route.route, request.attemptId);
    const auto now = m_dependencies.scheduler.now();
    auto decision = decideAccount(request, route, options.account);
    if (!decision.refusal.has_value()) {
        auto account = decision.account;
        account.priority = account.priority.value_or(route.route->priority);
        request.admission = m_fleet.accountAdmission(request, explanation.service, account, now);
    }
    explanation.fleet = m_fleet.explain(request, explanation.service, now);
    explanation.refusal = std::move(decision.refusal);
    if (explanation.refusal.has_value()) {
        return explanation;
    }
    if (decision.account.name.has_value()) {
        explanation.account = explainAccount(decision.account, decision.settings);
    }
    explanation.priority = decision.account.priority.value_or(route.route->priority);
    explanation.refusal = refusalByForwarding(request, *route.route, options, explanation.fleet);
    return explanation;
}

}
