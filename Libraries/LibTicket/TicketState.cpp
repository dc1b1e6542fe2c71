#include <LibTicket/TicketState.h>

#include <algorithm>

namespace Ticket {

namespace {

bool matchesPattern(std::string_view pattern, std::string_view text)
{
    if (!pattern.empty() && pattern.back() == '*') {
        return text.starts_with(pattern.substr(0, pattern.size() - 1));
    }
    return pattern == text;
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
        if (const auto *adapter = std::get_if<AdapterState>(&object)) {
            m_adapters[adapter->name] = *adapter;
        } else if (const auto *rule = std::get_if<RuleState>(&object)) {
            m_rules[rule->name] = *rule;
        } else if (const auto *route = std::get_if<ServiceRouteState>(&object)) {
            m_routes[route->name] = *route;
        }
        m_objectNumbers[objectKey(object)] = entry.ticket.number;
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
    const auto found = m_adapters.find(name);
    if (found == m_adapters.end()) {
        return ResolveRefusal::UnknownAdapter;
    }
    const auto &adapter = found->second;
    if (!isAllowed(customer, name)) {
        return ResolveRefusal::NotAllowed;
    }
    if (adapter.isRetired) {
        return ResolveRefusal::Retired;
    }
    auto version = adapter.currentVersion;
    if (separator != std::string_view::npos) {
        version = model.substr(separator + 1);
        if (std::find(adapter.versions.begin(), adapter.versions.end(), version) == adapter.versions.end()) {
            return ResolveRefusal::UnknownVersion;
        }
    }
    return ResolvedAdapter {
        .adapter = {.adapter = name, .version = version}, .baseModel = adapter.baseModel, .sequence = m_sequence};
}

const ServiceRouteState *TicketState::findRoute(std::string_view name) const
{
    const auto found = m_routes.find(name);
    return found == m_routes.end() ? nullptr : &found->second;
}

const std::map<std::string, AdapterState> &TicketState::adapters() const
{
    return m_adapters;
}

const std::map<std::string, std::uint64_t> &TicketState::objectNumbers() const
{
    return m_objectNumbers;
}

bool TicketState::isAllowed(const Core::CustomerId &customer, const std::string &adapter) const
{
    for (const auto &[name, rule] : m_rules) {
        const bool isCustomerNamed
            = std::any_of(rule.customers.begin(), rule.customers.end(), [&](const auto &pattern) {
                  return pattern == "*" || pattern == customer.value;
              });
        const bool isAdapterNamed = std::any_of(rule.adapters.begin(), rule.adapters.end(), [&](const auto &pattern) {
            return matchesPattern(pattern, adapter);
        });
        if (isCustomerNamed && isAdapterNamed) {
            return true;
        }
    }
    return false;
}

}
