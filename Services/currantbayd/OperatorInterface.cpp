#include <currantbayd/OperatorInterface.h>

#include <LibCore/HttpStatus.h>
#include <LibTicket/TicketJson.h>
#include <LibTicket/TicketTables.h>
#include <algorithm>
#include <currantbayd/HttpRefusal.h>
#include <currantbayd/TokenLookup.h>

namespace Daemon {

namespace {

constexpr std::uint64_t DefaultListedTickets = 20;
constexpr std::uint64_t MaxListedTickets = 500;

void respond(Net::Exchange &exchange, const nlohmann::json &json)
{
    exchange.respond({}, json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void refuseNotFound(Net::Exchange &exchange, const std::string &what, const std::string &command)
{
    refuse(exchange,
           {.status = Core::HttpStatus::NotFound,
            .code = "not-found",
            .message = "there is no " + what,
            .suggestedAction = "see currantbay " + command});
}

void refuseInvalidNumber(Net::Exchange &exchange, const std::string &found)
{
    refuse(exchange,
           {.status = Core::HttpStatus::BadRequest,
            .code = "bad-number",
            .message = "\"" + found + "\" is not an integer within the allowed range",
            .suggestedAction = "correct the number"});
}

void refuseUnresponsiveTable(Net::Exchange &exchange, const std::string &error)
{
    refuse(exchange,
           {.status = Core::HttpStatus::ServiceUnavailable,
            .code = "table-service-silent",
            .message = "request to the table service failed: " + error,
            .suggestedAction = "retry; nothing was changed"});
}

nlohmann::json describeTicket(const Ticket::FeedEntry &entry, std::uint64_t sequenceInForce)
{
    auto json = Ticket::toJson(entry.ticket);
    json["sequence"] = entry.sequence;
    json["inForceHere"] = entry.sequence <= sequenceInForce;
    return json;
}

nlohmann::json describeAdapter(const Ticket::AdapterState &adapter, const Ticket::TicketState &state)
{
    return {{"name", adapter.name},         {"baseModel", adapter.baseModel},
            {"versions", adapter.versions}, {"currentVersion", adapter.currentVersion},
            {"retired", adapter.isRetired}, {"ticket", state.objectNumber("adapter/" + adapter.name)}};
}

std::string_view toText(Owner::SlotState state)
{
    switch (state) {
    case Owner::SlotState::Loading:
        return "loading";
    case Owner::SlotState::Ready:
        return "ready";
    case Owner::SlotState::Unloading:
        return "unloading";
    }
    return "";
}

void respondToSubmission(Net::Exchange &exchange, std::uint64_t number, const Ticket::AcceptResult &result)
{
    switch (result.outcome) {
    case Ticket::AcceptOutcome::Accepted:
    case Ticket::AcceptOutcome::AcceptedBefore:
        respond(exchange,
                {{"accepted", true},
                 {"number", number},
                 {"before", result.outcome == Ticket::AcceptOutcome::AcceptedBefore},
                 {"sequence", result.sequence}});
        return;
    case Ticket::AcceptOutcome::NumberTaken:
    case Ticket::AcceptOutcome::Superseded:
        refuse(exchange,
               {.status = Core::HttpStatus::Conflict,
                .code = result.outcome == Ticket::AcceptOutcome::NumberTaken ? "number-taken" : "superseded",
                .message = result.reason,
                .suggestedAction = "check the ticket in force, then submit a new one with a higher number"});
        return;
    case Ticket::AcceptOutcome::Unknown:
        refuse(exchange,
               {.status = Core::HttpStatus::ServiceUnavailable,
                .outcome = Front::Outcome::Unknown,
                .code = "table-service-silent",
                .message = result.reason,
                .suggestedAction = "submit the same ticket again; it takes effect once"});
        return;
    }
}

}

OperatorInterface::OperatorInterface(Host::Host &host, std::vector<Settings::TokenHolder> operators)
    : m_host(host)
    , m_operators(std::move(operators))
{
}

void OperatorInterface::handleRequest(const std::shared_ptr<Net::Exchange> &exchange)
{
    const auto &request = exchange->request();
    const auto operatorName = findTokenHolder(request, m_operators);
    if (!operatorName.has_value()) {
        refuse(*exchange,
               {.status = Core::HttpStatus::Unauthorized,
                .code = "unknown-token",
                .message = "the Authorization header has no valid operator token",
                .suggestedAction = "use an operator token"});
        return;
    }
    m_operatorName = *operatorName;
    bool isPathKnown = false;
    for (const auto &[method, path, handle] : routes()) {
        const bool isMatch = path.ends_with('/') ? request.path.starts_with(path) && request.path.size() > path.size()
                                                 : request.path == path;
        isPathKnown = isPathKnown || isMatch;
        if (isMatch && request.method == method) {
            (this->*handle)(exchange, request.path.substr(path.size()));
            return;
        }
    }
    refuse(*exchange,
           {.status = isPathKnown ? Core::HttpStatus::MethodNotAllowed : Core::HttpStatus::NotFound,
            .code = isPathKnown ? "wrong-method" : "unknown-path",
            .message
            = isPathKnown ? request.path + " does not accept " + request.method : "no route matches " + request.path,
            .suggestedAction = "see currantbay --help"});
}

const std::vector<OperatorInterface::Route> &OperatorInterface::routes()
{
    using Self = OperatorInterface;
    static const std::vector<Route> all {
        {"POST", "/operator/tickets", &Self::submitTicket}, {"GET", "/operator/tickets", &Self::listTickets},
        {"GET", "/operator/tickets/", &Self::showTicket},   {"GET", "/operator/adapters", &Self::listAdapters},
        {"GET", "/operator/adapters/", &Self::showAdapter}, {"GET", "/operator/targets", &Self::listTargets},
        {"GET", "/operator/targets/", &Self::showTarget},   {"GET", "/operator/hosts", &Self::listHosts},
    };
    return all;
}

void OperatorInterface::submitTicket(const ExchangePointer &exchange, const std::string & /*name*/)
{
    try {
        auto ticket = Ticket::ticketFromJson(nlohmann::json::parse(exchange->request().body.view()));
        ticket.submittedBy = m_operatorName;
        const auto number = ticket.number;
        m_host.submitTicket(std::move(ticket), [exchange, number](const auto &result) {
            respondToSubmission(*exchange, number, result);
        });
    } catch (const std::exception &error) {
        refuse(*exchange,
               {.status = Core::HttpStatus::BadRequest,
                .code = "invalid-ticket",
                .message = error.what(),
                .suggestedAction = "correct the ticket; nothing was changed"});
    }
}

void OperatorInterface::listTickets(const ExchangePointer &exchange, const std::string & /*name*/)
{
    const auto &query = exchange->request().query;
    const auto parameter = query.find("last");
    const auto last
        = parameter == query.end() ? DefaultListedTickets : Ticket::numberFromText(parameter->second).value_or(0);
    if (last == 0 || last > MaxListedTickets) {
        refuseInvalidNumber(*exchange, parameter->second);
        return;
    }
    const auto inForce = m_host.tickets().state()->sequence();
    m_host.ticketArchive().after(inForce - std::min(inForce, last), last, [exchange, inForce](const auto &result) {
        if (!result.error.empty()) {
            refuseUnresponsiveTable(*exchange, result.error);
            return;
        }
        auto tickets = nlohmann::json::array();
        for (const auto &entry : result.entries) {
            tickets.push_back(describeTicket(entry, inForce));
        }
        respond(*exchange, tickets);
    });
}

void OperatorInterface::showTicket(const ExchangePointer &exchange, const std::string &name)
{
    const auto number = Ticket::numberFromText(name);
    if (!number.has_value()) {
        refuseInvalidNumber(*exchange, name);
        return;
    }
    const auto inForce = m_host.tickets().state()->sequence();
    m_host.ticketArchive().find(*number, [exchange, name, inForce](const auto &result) {
        if (!result.error.empty()) {
            refuseUnresponsiveTable(*exchange, result.error);
        } else if (result.entries.empty()) {
            refuseNotFound(*exchange, "accepted ticket " + name, "ticket list");
        } else {
            respond(*exchange, describeTicket(result.entries.front(), inForce));
        }
    });
}

void OperatorInterface::listAdapters(const ExchangePointer &exchange, const std::string & /*name*/)
{
    auto adapters = nlohmann::json::array();
    const auto state = m_host.tickets().state();
    for (const auto &[name, adapter] : state->adapters()) {
        adapters.push_back(describeAdapter(adapter, *state));
    }
    respond(*exchange, adapters);
}

void OperatorInterface::showAdapter(const ExchangePointer &exchange, const std::string &name)
{
    const auto state = m_host.tickets().state();
    const auto *adapter = state->findAdapter(name);
    if (adapter == nullptr) {
        refuseNotFound(*exchange, "adapter \"" + name + '"', "adapter list");
        return;
    }
    respond(*exchange, describeAdapter(*adapter, *state));
}

void OperatorInterface::listTargets(const ExchangePointer &exchange, const std::string & /*name*/)
{
    auto targets = nlohmann::json::array();
    for (const auto &[id, target] : m_host.directory().all()) {
        targets.push_back(describe(target));
    }
    respond(*exchange, targets);
}

void OperatorInterface::showTarget(const ExchangePointer &exchange, const std::string &name)
{
    const auto *target = m_host.directory().find({name});
    if (target == nullptr) {
        refuseNotFound(*exchange, "target \"" + name + '"', "target list");
        return;
    }
    auto json = describe(*target);
    json["address"] = target->address;
    json["slots"] = describeSlots(target->id);
    respond(*exchange, json);
}

nlohmann::json OperatorInterface::describe(const Platform::Target &target) const
{
    const auto ownership = m_host.ownership().ownerOf(target.id);
    return {{"name", target.id.value},
            {"zone", target.zone.value},
            {"role", target.role},
            {"state", target.state == Platform::MachineState::Live ? "live" : "leaving"},
            {"owner", ownership.has_value() ? ownership->owner.value : ""}};
}

// Describes the slots of a target as its owner has them, or returns null when this host isn't the owner.
nlohmann::json OperatorInterface::describeSlots(const Core::TargetId &target) const
{
    const auto ownership = m_host.ownership().ownerOf(target);
    const auto table = m_host.owner().tables().find(target);
    if (!ownership.has_value() || ownership->owner != m_host.leases().self().id
        || table == m_host.owner().tables().end()) {
        return nullptr;
    }
    auto slots = nlohmann::json::array();
    for (const auto &[adapter, slot] : table->second.slots()) {
        slots.push_back({{"adapter", adapter.toString()},
                         {"state", std::string(toText(slot.state))},
                         {"grants", slot.grants.size()}});
    }
    return slots;
}

void OperatorInterface::listHosts(const ExchangePointer &exchange, const std::string & /*name*/)
{
    auto hosts = nlohmann::json::array();
    for (const auto &host : m_host.leases().liveHosts()) {
        hosts.push_back({{"id", host.id.value},
                         {"zone", host.zone.value},
                         {"callers", host.callerAddress},
                         {"ticketSequence", host.ticketSequence},
                         {"leaving", host.isLeaving}});
    }
    respond(*exchange, hosts);
}

}
