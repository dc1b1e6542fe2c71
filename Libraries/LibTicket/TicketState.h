#pragma once

#include <LibCore/Identifier.h>
#include <LibTicket/Ticket.h>
#include <map>
#include <memory>
#include <variant>

namespace Ticket {

// What the tickets in force say of a request for an adapter.
struct ResolvedAdapter {
    Core::AdapterVersion adapter;
    std::string baseModel;
    std::uint64_t sequence = 0; // Of the tickets that decided it.
};

enum class ResolveRefusal {
    UnknownAdapter,
    UnknownVersion,
    // No rule lets the customer reach the adapter.
    NotAllowed,
    Retired,
};

using Resolution = std::variant<ResolvedAdapter, ResolveRefusal>;

// The objects as the tickets up to one sequence have left them. Sequences are applied in order, each once;
// a lower or doubled one changes nothing.
class TicketState
{
public:
    enum class ApplyOutcome { Applied, AlreadyApplied, OutOfOrder };

    // Applies the next ticket.
    ApplyOutcome apply(const FeedEntry &entry);

    // The sequence of the last applied ticket; zero before the first.
    [[nodiscard]] std::uint64_t sequence() const;
    // Decides which adapter version answers. The model is "adapter" or "adapter@version".
    [[nodiscard]] Resolution resolve(const Core::CustomerId &customer, std::string_view model) const;
    // The route of a path prefix, or null.
    [[nodiscard]] const ServiceRouteState *findRoute(std::string_view name) const;
    [[nodiscard]] const std::map<std::string, AdapterState> &adapters() const;
    // All objects with the number of the ticket that last wrote each, by key.
    [[nodiscard]] const std::map<std::string, std::uint64_t> &objectNumbers() const;

private:
    [[nodiscard]] bool isAllowed(const Core::CustomerId &customer, const std::string &adapter) const;

    std::uint64_t m_sequence = 0;
    std::map<std::string, AdapterState> m_adapters;
    std::map<std::string, RuleState> m_rules;
    std::map<std::string, ServiceRouteState, std::less<>> m_routes;
    std::map<std::string, std::uint64_t> m_objectNumbers;
};

}
