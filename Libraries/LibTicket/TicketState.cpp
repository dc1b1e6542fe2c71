#include <LibTicket/TicketState.h>

#include <algorithm>

namespace Ticket {

TicketState::TicketState(const TicketSnapshot &snapshot)
    : m_sequence(snapshot.sequence)
{
    for (const auto &[number, adapter] : snapshot.adapters) {
        put(adapter, number);
    }
    for (const auto &[number, rule] : snapshot.rules) {
        put(rule, number);
    }
    for (const auto &[number, route] : snapshot.routes) {
        put(route, number);
    }
}

TicketState::ApplyOutcome TicketState::apply(const FeedEntry &entry)
{
    if (entry.sequence <= m_sequence) {
        return ApplyOutcome::AlreadyApplied;
    }
    if (entry.sequence != m_sequence + 1) {
        return ApplyOutcome::OutOfOrder;
    }
    for (const auto &object : entry.ticket.objects) {
        put(object, entry.ticket.number);
    }
    m_sequence = entry.sequence;
    return ApplyOutcome::Applied;
}

std::uint64_t TicketState::sequence() const
{
    return m_sequence;
}

Resolution TicketState::resolve(const Core::CustomerId &customer, std::string_view model) const
{
    const auto separator = model.find('@');
    const std::string name(model.substr(0, separator));
    const auto *adapter = m_adapters.find(name);
    if (adapter == nullptr) {
        return ResolveRefusal::UnknownAdapter;
    }
    if (!isAllowed(customer, name)) {
        return ResolveRefusal::NotAllowed;
    }
    if (adapter->isRetired) {
        return ResolveRefusal::Retired;
    }
    auto version = adapter->currentVersion;
    if (separator != std::string_view::npos) {
        version = model.substr(separator + 1);
        if (std::find(adapter->versions.begin(), adapter->versions.end(), version) == adapter->versions.end()) {
            return ResolveRefusal::UnknownVersion;
        }
    }
    return ResolvedAdapter {
        .adapter = {.adapter = name, .version = version}, .baseModel = adapter->baseModel, .sequence = m_sequence};
}

const ServiceRouteState *TicketState::findRoute(std::string_view name) const
{
    return m_routes.find(name);
}

const AdapterState *TicketState::findAdapter(std::string_view name) const
{
    return m_adapters.find(name);
}

std::map<std::string, AdapterState> TicketState::adapters() const
{
    return m_adapters.sorted();
}

std::uint64_t TicketState::objectNumber(std::string_view key) const
{
    const auto *number = m_objectNumbers.find(key);
    return number == nullptr ? 0 : *number;
}

TicketSnapshot TicketState::snapshot() const
{
    return {.sequence = m_sequence,
            .adapters = numbered(m_adapters),
            .rules = numbered(m_rules),
            .routes = numbered(m_routes)};
}

template<typename Object>
std::vector<NumberedObject<Object>> TicketState::numbered(const SharedMap<Object> &objects) const
{
    std::vector<NumberedObject<Object>> all;
    for (const auto &[name, object] : objects.sorted()) {
        all.push_back({.number = objectNumber(objectKey(object)), .object = object});
    }
    return all;
}

void TicketState::put(const ObjectState &object, std::uint64_t number)
{
    if (const auto *adapter = std::get_if<AdapterState>(&object)) {
        m_adapters.set(adapter->name, *adapter);
    } else if (const auto *rule = std::get_if<RuleState>(&object)) {
        putRule(*rule);
    } else if (const auto *route = std::get_if<ServiceRouteState>(&object)) {
        m_routes.set(route->name, *route);
    }
    m_objectNumbers.set(objectKey(object), number);
}

void TicketState::putRule(const RuleState &rule)
{
    const auto change = [this](const std::string &pattern, const auto &edit) {
        const auto *names = m_rulesByPattern.find(pattern);
        auto changed = names == nullptr ? RuleNames() : *names;
        edit(changed);
        if (changed.empty()) {
            m_rulesByPattern.remove(pattern);
        } else {
            m_rulesByPattern.set(pattern, std::move(changed));
        }
    };
    if (const auto *previous = m_rules.find(rule.name); previous != nullptr) {
        for (const auto &pattern : previous->adapters) {
            change(pattern, [&](RuleNames &names) {
                names.erase(rule.name);
            });
        }
    }
    for (const auto &pattern : rule.adapters) {
        change(pattern, [&](RuleNames &names) {
            names.insert(rule.name);
        });
    }
    m_rules.set(rule.name, rule);
}

bool TicketState::isAllowed(const Core::CustomerId &customer, const std::string &adapter) const
{
    if (isAllowedBy(customer, adapter)) {
        return true;
    }
    // Every pattern that ends in "*" and matches the name consists of a prefix of the name and "*".
    for (std::size_t length = 0; length <= adapter.size(); ++length) {
        if (isAllowedBy(customer, adapter.substr(0, length) + '*')) {
            return true;
        }
    }
    return false;
}

bool TicketState::isAllowedBy(const Core::CustomerId &customer, std::string_view pattern) const
{
    const auto *names = m_rulesByPattern.find(pattern);
    return names != nullptr && std::any_of(names->begin(), names->end(), [&](const auto &name) {
               const auto &customers = m_rules.find(name)->customers;
               return std::any_of(customers.begin(), customers.end(), [&](const auto &ruleCustomer) {
                   return ruleCustomer == "*" || ruleCustomer == customer.value;
               });
           });
}

}
