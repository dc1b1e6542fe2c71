#include <LibRelay/SharedWriter.h>

#include <utility>

namespace Relay {

SharedWriter::SharedWriter(Core::Scheduler &scheduler, Peer::PeerRouter &router, Platform::TableService &store,
                           const ZoneReader &reader, SharedWriterOptions options)
    : m_scheduler(scheduler)
    , m_router(router)
    , m_store(store)
    , m_reader(reader)
    , m_options(options)
{
    m_router.onCall<WriteRequest, WriteReply>([this](const Core::HostId & /*from*/, const WriteRequest &request,
                                                     const std::function<void(const WriteReply &)> &reply) {
        enqueue({.table = request.table, .key = request.key, .value = request.value}, [reply](bool isWritten) {
            reply({.isWritten = isWritten});
        });
    });
}

void SharedWriter::write(Platform::RowPut row, WrittenFunction done)
{
    const auto reader = m_reader.reader();
    if (!reader.has_value()) {
        enqueue(std::move(row), std::move(done));
        return;
    }
    const WriteRequest request {.table = row.table, .key = row.key, .value = row.value};
    m_router.call<WriteReply>(*reader, request, m_options.timeout,
                              [this, row = std::move(row), done = std::move(done)](const auto &reply) {
                                  if (reply.has_value() && reply->isWritten) {
                                      done(true);
                                      return;
                                  }
                                  commit({{.row = row, .done = done}});
                              });
}

void SharedWriter::enqueue(Platform::RowPut row, WrittenFunction done)
{
    m_pending.push_back({.row = std::move(row), .done = std::move(done)});
    if (m_pending.size() >= m_options.maxRows) {
        flush();
    } else if (m_pending.size() == 1) {
        m_scheduler.runAfter(m_reader.isReading() ? m_options.batchDelay : Core::Duration {}, [this] {
            flush();
        });
    }
}

void SharedWriter::flush()
{
    if (!m_pending.empty()) {
        commit(std::exchange(m_pending, {}));
    }
}

void SharedWriter::commit(std::vector<PendingRow> rows)
{
    Platform::Transaction transaction;
    for (const auto &[row, done] : rows) {
        transaction.puts.push_back(row);
    }
    m_store.transact(std::move(transaction), [rows = std::move(rows)](const Platform::TransactionResult &result) {
        for (const auto &[row, done] : rows) {
            done(result.outcome == Platform::TransactionOutcome::Committed);
        }
    });
}

}
