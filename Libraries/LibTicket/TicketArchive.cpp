#include <LibTicket/TicketArchive.h>

#include <LibTicket/TicketJson.h>
#include <LibTicket/TicketTables.h>

namespace Ticket {

namespace {

ArchiveAnswer read(const std::vector<Platform::Row> &rows)
{
    ArchiveAnswer answer;
    for (const auto &row : rows) {
        auto entry = feedEntryFromText(row.value);
        if (!entry.has_value()) {
            return {.error = "row " + row.key + " can't be read"};
        }
        answer.entries.push_back(std::move(*entry));
    }
    return answer;
}

}

TicketArchive::TicketArchive(Platform::TableService &table)
    : m_table(table)
{
}

void TicketArchive::find(std::uint64_t number, AnswerFunction done)
{
    m_table.read(Tables::Tickets, numberKey(number), [done = std::move(done)](const auto &result) {
        if (!result.isAvailable) {
            done({.error = result.error});
            return;
        }
        done(read(result.row.has_value() ? std::vector {*result.row} : std::vector<Platform::Row>()));
    });
}

void TicketArchive::after(std::uint64_t sequence, std::size_t most, AnswerFunction done)
{
    m_table.scan(Tables::Feed, numberKey(sequence), most, [done = std::move(done)](const auto &result) {
        done(result.isAvailable ? read(result.rows) : ArchiveAnswer {.error = result.error});
    });
}

}
