#include <LibNet/BufferBudget.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace Net {

namespace {

constexpr std::size_t WorkShare = 2; // Work may use one in this many bytes.

}

BufferBudget::Reservation::~Reservation()
{
    release();
}

void BufferBudget::Reservation::attach(BufferBudget *budget, std::function<void()> reclaim)
{
    release();
    m_budget = budget;
    m_reclaim = std::move(reclaim);
}

void BufferBudget::Reservation::setEnd(BufferEnd end)
{
    m_end = end;
}

bool BufferBudget::Reservation::resize(std::size_t bytes)
{
    if (m_budget == nullptr) {
        m_size = bytes;
        return true;
    }
    const bool isWork = !m_reclaim;
    if (bytes > m_size
        && ((isWork && !m_budget->hasRoomForWork(bytes - m_size)) || !m_budget->makeRoom(*this, bytes - m_size))) {
        return false;
    }
    m_budget->m_used += bytes - m_size;
    m_budget->m_usedByWork += isWork ? bytes - m_size : 0;
    m_size = bytes;
    if (m_size > 0 && !isWork) {
        m_budget->m_reclaimable.insert(this);
    } else {
        m_budget->m_reclaimable.erase(this);
    }
    return true;
}

void BufferBudget::Reservation::release()
{
    (void)resize(0);
}

std::size_t BufferBudget::Reservation::size() const
{
    return m_size;
}

BufferBudget::BufferBudget(std::size_t limit)
    : m_limit(limit)
{
}

bool BufferBudget::hasRoomForWork(std::size_t bytes) const
{
    return m_usedByWork + bytes <= maxWork();
}

std::size_t BufferBudget::maxWork() const
{
    return m_limit / WorkShare;
}

std::size_t BufferBudget::used() const
{
    return m_used;
}

std::size_t BufferBudget::reclaimed() const
{
    return m_reclaimed;
}

bool BufferBudget::makeRoom(const Reservation &reservation, std::size_t bytes)
{
    while (m_used + bytes > m_limit) {
        auto *victim = reclaimableFor(reservation, bytes);
        if (victim == nullptr) {
            return false;
        }
        ++m_reclaimed;
        const auto reclaim = victim->m_reclaim;
        // Its owner may destroy the reservation, or fail to release it.
        m_reclaimable.erase(victim);
        reclaim();
    }
    return true;
}

BufferBudget::Reservation *BufferBudget::reclaimableFor(const Reservation &reservation, std::size_t bytes) const
{
    const auto rank = [](const Reservation &candidate, std::size_t size) {
        return std::tuple(candidate.m_end == BufferEnd::Unknown, size);
    };
    const auto largest = std::ranges::max_element(m_reclaimable, {}, [&rank](const Reservation *candidate) {
        return rank(*candidate, candidate->m_size);
    });
    if (largest == m_reclaimable.end() || *largest == &reservation
        || rank(**largest, (*largest)->m_size) < rank(reservation, reservation.m_size + bytes)) {
        return nullptr;
    }
    return *largest;
}

}
