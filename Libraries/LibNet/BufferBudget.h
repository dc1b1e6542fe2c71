#pragma once

#include <cstddef>
#include <functional>
#include <unordered_set>

namespace Net {

// Whether a buffer has a known end, or may grow or stay for as long as a peer wants.
enum class BufferEnd { Known, Unknown };

// Limits the bytes that a host buffers for its peers, over all connections together. Every buffer whose size a peer
// decides reserves its bytes here. Buffers without a function to reclaim them hold work, such as requests, and may use
// half of the limit. When the limit is reached, the owner of another buffer is asked to give it up: the largest of
// those whose end is unknown, or else the largest of all. Of two equal ones the older yields.
class BufferBudget
{
public:
    // The bytes of one buffer. A reservation without a budget has no limit.
    class Reservation
    {
    public:
        Reservation() = default;
        ~Reservation();
        Reservation(const Reservation &) = delete;
        Reservation &operator=(const Reservation &) = delete;

        // Takes the bytes from a budget from now on. When they are needed elsewhere, `reclaim` is called; it has to
        // release them at once.
        void attach(BufferBudget *budget, std::function<void()> reclaim = nullptr);
        void setEnd(BufferEnd end);
        // Changes the size. Returns false if the limit forbids it; then the size remains as it was.
        [[nodiscard]] bool resize(std::size_t bytes);
        void release();
        [[nodiscard]] std::size_t size() const;

    private:
        friend class BufferBudget;

        BufferBudget *m_budget = nullptr;
        std::function<void()> m_reclaim;
        BufferEnd m_end = BufferEnd::Known;
        std::size_t m_size = 0;
    };

    explicit BufferBudget(std::size_t limit);

    // Whether so many more bytes of work fit, so that it can be refused before it is received.
    [[nodiscard]] bool hasRoomForWork(std::size_t bytes) const;
    // The most bytes that work can use.
    [[nodiscard]] std::size_t maxWork() const;
    [[nodiscard]] std::size_t used() const;
    // How many buffers had to be given up.
    [[nodiscard]] std::size_t reclaimed() const;

private:
    // Makes room for more bytes of the reservation. Returns false if no other buffer should be given up for them.
    bool makeRoom(const Reservation &reservation, std::size_t bytes);
    // The buffer to give up next, or null if the reservation itself is the first choice.
    [[nodiscard]] Reservation *reclaimableFor(const Reservation &reservation, std::size_t bytes) const;

    std::size_t m_limit;
    std::size_t m_used = 0;
    std::size_t m_usedByWork = 0;
    std::size_t m_reclaimed = 0;
    std::unordered_set<Reservation *> m_reclaimable; // With a size and a function.
};

}
