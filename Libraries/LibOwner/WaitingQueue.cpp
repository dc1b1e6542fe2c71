#include <LibOwner/WaitingQueue.h>

#include <algorithm>
#include <iterator>

namespace Owner {

namespace {

// Above this number of customers, entries that are not above m_minServed are removed: they equal a new customer's.
constexpr std::size_t MaxCustomers = 4096;

}

void WaitingQueue::push(WaitingRequest request)
{
    m_groups[request.adapter].push_back(std::move(request));
    ++m_size;
}

bool WaitingQueue::remove(const Core::GrantId &grant)
{
    for (auto group = m_groups.begin(); group != m_groups.end(); ++group) {
        const auto removed = std::erase_if(group->second, [&](const WaitingRequest &request) {
            return request.grant == grant;
        });
        if (removed > 0) {
            m_size -= removed;
            if (group->second.empty()) {
                m_groups.erase(group);
            }
            return true;
        }
    }
    return false;
}

std::vector<WaitingRequest> WaitingQueue::extractMatching(const std::function<bool(const WaitingRequest &)> &matches)
{
    std::vector<WaitingRequest> taken;
    for (auto &[adapter, group] : m_groups) {
        const auto kept = std::stable_partition(group.begin(), group.end(), [&](const WaitingRequest &request) {
            return !matches(request);
        });
        std::move(kept, group.end(), std::back_inserter(taken));
        group.erase(kept, group.end());
    }
    std::erase_if(m_groups, [](const auto &entry) {
        return entry.second.empty();
    });
    m_size -= taken.size();
    return taken;
}

std::vector<WaitingRequest> WaitingQueue::extractGroup(const Core::AdapterVersion &adapter)
{
    auto node = m_groups.extract(adapter);
    if (node.empty()) {
        return {};
    }
    m_size -= node.mapped().size();
    return std::move(node.mapped());
}

WaitingRequest WaitingQueue::extractForGrant(const WaitingRequest &request)
{
    auto taken = request;
    m_minServed = std::max(m_minServed, served(taken.customer));
    m_served[taken.customer] = served(taken.customer) + 1;
    if (m_served.size() > MaxCustomers) {
        std::erase_if(m_served, [this](const auto &entry) {
            return entry.second <= m_minServed;
        });
    }
    remove(taken.grant);
    return taken;
}

std::size_t WaitingQueue::size() const
{
    return m_size;
}

const WaitingQueue::Groups &WaitingQueue::groups() const
{
    return m_groups;
}

std::size_t WaitingQueue::waitingFor(const Core::AdapterVersion &adapter) const
{
    const auto found = m_groups.find(adapter);
    return found == m_groups.end() ? 0 : found->second.size();
}

double WaitingQueue::served(const Core::CustomerId &customer) const
{
    const auto found = m_served.find(customer);
    return found == m_served.end() ? m_minServed : std::max(found->second, m_minServed);
}

}
