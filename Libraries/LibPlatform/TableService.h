#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Platform {

// One row as read from the table. The version is never zero and rises with each write to this row, also if the row was
// removed in between.
struct Row {
    std::string key;
    std::uint64_t version = 0;
    std::string value;
};

// A condition for a transaction to commit: the row still has this version. Zero means that the row doesn't exist.
struct RowCondition {
    std::string table;
    std::string key;
    std::uint64_t version = 0;
};

// A write that replaces the complete value of a row.
struct RowPut {
    std::string table;
    std::string key;
    std::string value;
};

struct RowDeletion {
    std::string table;
    std::string key;
};

// An atomic set of writes: all of them are applied if all conditions hold, and none otherwise.
struct Transaction {
    std::vector<RowCondition> conditions;
    std::vector<RowPut> puts;
    std::vector<RowDeletion> deletions;
};

enum class TransactionOutcome {
    Committed,
    // A condition didn't hold, and nothing was written.
    Conflicted,
    // No usable response arrived: the writes may have been applied, may still be applied, or may never be.
    Unknown,
    // The service has certainly not received the transaction.
    NotSent,
};

struct TransactionResult {
    TransactionOutcome outcome = TransactionOutcome::Unknown;
    std::uint64_t version = 0; // Version of the rows written by the transaction; zero if the service reports none.
    std::string error; // Why the outcome is Unknown or NotSent.
};

struct ReadResult {
    bool isAvailable = false;
    std::optional<Row> row;
    std::string error;
};

struct ScanResult {
    bool isAvailable = false;
    std::vector<Row> rows; // Sorted by key.
    std::string error;
};

// The platform's transactional table service. Conditions of transactions are checked against the current rows, while
// reads and scans may return stale rows. The service can be down or slow for a long time, and its response can be lost
// after a write was applied.
class TableService
{
public:
    using TransactionFunction = std::function<void(TransactionResult)>;
    using ReadFunction = std::function<void(ReadResult)>;
    using ScanFunction = std::function<void(ScanResult)>;

    virtual ~TableService() = default;
    // The callback of each operation runs exactly once, and never before the operation has returned.
    virtual void transact(Transaction transaction, TransactionFunction done) = 0;
    virtual void read(std::string_view table, std::string_view key, ReadFunction done) = 0;
    // Reads the rows that follow the given key in key order, at most as many as the limit.
    virtual void scan(std::string_view table, std::string_view afterKey, std::size_t limit, ScanFunction done) = 0;
};

}
