#include <LibTicket/TicketArchive.h>

#include <LibTicket/TicketJson.h>
#include <LibTicket/TicketTables.h>

namespace Ticket {

namespace {

ArchiveResult parseRows(const std::vector<Platform::Row> &rows)
{
    ArchiveResult parsed;
    for (const auto &row : rows) {
        auto entry = feedEntryFromText(row.value);
        if (!entry.has_value()) {
            return {.error = "row " + row.key + " can't be parsed"};
        }
        parsed.entries.push_back(std::move(*entry));
    }
    return parsed;
}

}

TicketArchive::TicketArchive(Platform::TableService &table)
    : m_table(table)
{
}

void TicketArchive::find(std::uint64_t number, ResultFunction done)
{
    m_table.read(Tables::Tickets, numberKey(number), [done = std::move(done)](const auto &result) {
        if (!result.isAvailable) {
            done({.error = result.error});
            return;
        }
        done(parseRows(result.row.has_value() ? std::vector {*result.row} : std::vector<Platform::Row>()));
    });
}

void TicketArchive::after(std::uint64_t sequence, std::size_t limit, ResultFunction done)
{
    m_table.scan(Tables::Feed, numberKey(sequence), limit, [done = std::move(done)](const auto &result) {
        done(result.isAvailable ? parseRows(result.rows) : ArchiveResult {.error = result.error});
    });
}

}
