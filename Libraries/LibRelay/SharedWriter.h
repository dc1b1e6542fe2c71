#pragma once

#include <LibPlatform/TableService.h>
#include <LibRelay/ZoneReader.h>
#include <functional>
#include <vector>

namespace Relay {

struct SharedWriterOptions {
    // Rows that arrive within this time are written together. The rows of a zone with forty hosts then take two
    // transactions a second.
    Core::Duration batchDelay = std::chrono::milliseconds(500);
    Core::Duration timeout = std::chrono::milliseconds(1500); // For a request to the reader, including its batch delay.
    std::size_t maxRows = 80; // Per transaction; the store allows 100.
};

// Writes rows without conditions. The reader of a zone batches the rows of its hosts into one transaction.
class SharedWriter
{
public:
    using WrittenFunction = std::function<void(bool isWritten)>;

    SharedWriter(Core::Scheduler &scheduler, Peer::PeerRouter &router, Platform::TableService &store,
                 const ZoneReader &reader, SharedWriterOptions options);

    // The function runs once, with true only if the write was confirmed.
    void write(Platform::RowPut row, WrittenFunction done);

private:
    struct PendingRow {
        Platform::RowPut row;
        WrittenFunction done;
    };

    void enqueue(Platform::RowPut row, WrittenFunction done);
    void flush();
    void commit(std::vector<PendingRow> rows);

    Core::Scheduler &m_scheduler;
    Peer::PeerRouter &m_router;
    Platform::TableService &m_store;
    const ZoneReader &m_reader;
    SharedWriterOptions m_options;
    std::vector<PendingRow> m_pending;
};

}
