#pragma once

#include <LibPlatform/TableService.h>
#include <LibTicket/Ticket.h>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Ticket {

// What an operator's question about past tickets gave.
struct ArchiveAnswer {
    std::vector<FeedEntry> entries; // In order of their sequence.
    std::string error; // Empty when the table service answered with rows that can be read.
};

// Reads accepted tickets from the table service, whose reads may lag.
class TicketArchive
{
public:
    using AnswerFunction = std::function<void(ArchiveAnswer)>;

    explicit TicketArchive(Platform::TableService &table);

    // The ticket of a number, or no entry.
    void find(std::uint64_t number, AnswerFunction done);
    // The tickets after a sequence, at most so many.
    void after(std::uint64_t sequence, std::size_t most, AnswerFunction done);

private:
    Platform::TableService &m_table;
};

}
