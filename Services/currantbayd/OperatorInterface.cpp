#include <currantbayd/OperatorInterface.h>

#include <LibTicket/TicketJson.h>
#include <currantbayd/HttpRefusal.h>
#include <currantbayd/TokenTable.h>

namespace Daemon {

namespace {

constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusUnauthorized = 401;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusConflict = 409;
constexpr unsigned StatusUnavailable = 503;

void respond(Net::Exchange &exchange, const nlohmann::json &json)
{
    exchange.respond({}, json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void answerSubmission(Net::Exchange &exchange, const Ticket::AcceptResult &result)
{
    switch (result.outcome) {
    case Ticket::AcceptOutcome::Accepted:
    case Ticket::AcceptOutcome::AcceptedBefore:
        respond(exchange,
                {{"accepted", true},
                 {"before", result.outcome == Ticket::AcceptOutcome::AcceptedBefore},
                 {"sequence", result.sequence}});
        return;
    case Ticket::AcceptOutcome::NumberTaken:
    case Ticket::AcceptOutcome::Superseded:
        refuse(exchange,
               {.status = StatusConflict,
                .code = result.outcome == Ticket::AcceptOutcome::NumberTaken ? "number-taken" : "superseded",
                .message = result.reason,
                .advice = "look at the ticket that is in force, then submit a new one with a higher number"});
        return;
    case Ticket::AcceptOutcome::Unknown:
        refuse(exchange,
               {.status = StatusUnavailable,
                .outcome = Front::Outcome::Unknown,
                .code = "table-service-silent",
                .message = result.reason,
                .advice = "submit the same ticket again; it takes effect once"});
        return;
    }
}

}

OperatorInterface::OperatorInterface(Host::Host &host, std::vector<Settings::TokenHolder> operators)
    : m_host(host)
    , m_operators(std::move(operators))
{
}

void OperatorInterface::take(const std::shared_ptr<Net::Exchange> &exchange)
{
    const auto &request = exchange->request();
    const auto operatorName = findTokenHolder(request, m_operators);
    if (!operatorName.has_value()) {
        refuse(*exchange,
               {.status = StatusUnauthorized,
                .code = "unknown-token",
                .message = "the header \"Authorization: Bearer\" carries no operator's token",
                .advice = "use an operator's token"});
        return;
    }
    if (request.path == "/operator/tickets" && request.method == "POST") {
        submitTicket(exchange, *operatorName);
    } else if (request.path == "/operator/adapters") {
        listAdapters(*exchange);
    } else if (request.path == "/operator/targets") {
        listTargets(*exchange);
    } else if (request.path == "/operator/hosts") {
        listHosts(*exchange);
    } else {
        refuse(*exchange,
               {.status = StatusNotFound,
                .code = "unknown-path",
                .message = "nothing is served at " + request.path,
                .advice = "see currantbay --help"});
    }
}

void OperatorInterface::submitTicket(const std::shared_ptr<Net::Exchange> &exchange, const std::string &operatorName)
{
    try {
        auto ticket = Ticket::ticketFromJson(nlohmann::json::parse(exchange->request().body));
        ticket.submittedBy = operatorName;
        m_host.submitTicket(std::move(ticket), [exchange](const auto &result) {
            answerSubmission(*exchange, result);
        });
    } catch (const std::exception &error) {
        refuse(*exchange,
               {.status = StatusBadRequest,
                .code = "invalid-ticket",
                .message = error.what(),
                .advice = "correct the ticket; nothing was changed"});
    }
}

void OperatorInterface::listAdapters(Net::Exchange &exchange) const
{
    auto adapters = nlohmann::json::array();
    const auto state = m_host.tickets().state();
    for (const auto &[name, adapter] : state->adapters()) {
        adapters.push_back({{"name", name},
                            {"baseModel", adapter.baseModel},
                            {"versions", adapter.versions},
                            {"currentVersion", adapter.currentVersion},
                            {"retired", adapter.isRetired},
                            {"ticket", state->objectNumbers().at("adapter/" + name)}});
    }
    respond(exchange, adapters);
}

void OperatorInterface::listTargets(Net::Exchange &exchange) const
{
    auto targets = nlohmann::json::array();
    for (const auto &[id, target] : m_host.directory().all()) {
        const auto ownership = m_host.ownership().ownerOf(id);
        targets.push_back({{"name", id.value},
                           {"zone", target.zone.value},
                           {"role", target.role},
                           {"state", target.state == Platform::MachineState::Live ? "live" : "leaving"},
                           {"owner", ownership.has_value() ? ownership->owner.value : ""}});
    }
    respond(exchange, targets);
}

void OperatorInterface::listHosts(Net::Exchange &exchange) const
{
    auto hosts = nlohmann::json::array();
    for (const auto &host : m_host.leases().liveHosts()) {
        hosts.push_back({{"id", host.id.value},
                         {"zone", host.zone.value},
                         {"callers", host.callerAddress},
                         {"ticketSequence", host.ticketSequence},
                         {"leaving", host.isLeaving}});
    }
    respond(exchange, hosts);
}

}
