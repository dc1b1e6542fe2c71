#pragma once

#include <LibPlatform/TableService.h>
#include <LibRelay/ZoneReader.h>
#include <functional>
#include <vector>

namespace Relay {

struct SharedWriterOptions {
    Core::Duration gatherTime = std::chrono::milliseconds(200); // Rows that come within it are written together.
    Core::Duration timeout = std::chrono::milliseconds(1500); // Of a request to the reader, its gathering included.
    std::size_t mostRows = 80; // Of one transaction; the store allows 100.
};

// Writes rows without conditions, those of a zone together in one transaction of its reader.
class SharedWriter
{
public:
    using WrittenFunction = std::function<void(bool isWritten)>;

    SharedWriter(Core::Scheduler &scheduler, Peer::PeerRouter &router, Platform::TableService &store,
                 const ZoneReader &reader, SharedWriterOptions options);

    // The function runs once, with true only if the row has surely been written.
    void write(Platform::RowPut row, WrittenFunction done);

private:
    struct Gathered {
        Platform::RowPut row;
        WrittenFunction done;
    };

    void gather(Platform::RowPut row, WrittenFunction done);
    void flush();
    // Writes the rows in one transaction.
    void commit(std::vector<Gathered> rows);

    Core::Scheduler &m_scheduler;
    Peer::PeerRouter &m_router;
    Platform::TableService &m_store;
    const ZoneReader &m_reader;
    SharedWriterOptions m_options;
    std::vector<Gathered> m_gathered;
};

}
