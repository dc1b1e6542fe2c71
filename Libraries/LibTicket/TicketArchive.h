#pragma once

#include <LibPlatform/TableService.h>
#include <LibTicket/Ticket.h>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Ticket {

// The result of a query for accepted tickets.
struct ArchiveResult {
    std::vector<FeedEntry> entries; // Ordered by sequence.
    std::string error; // Empty if the table service responded and all rows were valid.
};

// Reads accepted tickets from the table service. Its reads may be stale, so recent tickets can be missing.
class TicketArchive
{
public:
    using ResultFunction = std::function<void(ArchiveResult)>;

    explicit TicketArchive(Platform::TableService &table);

    // Finds the ticket with the given number. The result has no entry if there is none.
    void find(std::uint64_t number, ResultFunction done);
    // Lists the tickets that follow the given sequence.
    void after(std::uint64_t sequence, std::size_t limit, ResultFunction done);

private:
    Platform::TableService &m_table;
};

}
