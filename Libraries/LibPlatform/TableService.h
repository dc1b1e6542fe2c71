#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Platform {

// One row as it was read. The version counts the writes to this row and is never zero.
struct Row {
    std::string key;
    std::uint64_t version = 0;
    std::string value;
};

// What must hold for a transaction to commit: the row is still at this version; zero means that it doesn't exist.
struct RowCondition {
    std::string table;
    std::string key;
    std::uint64_t version = 0;
};

// A row's whole new value.
struct RowPut {
    std::string table;
    std::string key;
    std::string value;
};

struct RowDeletion {
    std::string table;
    std::string key;
};

// All of the writes happen if all of the conditions hold, and none otherwise.
struct Transaction {
    std::vector<RowCondition> conditions;
    std::vector<RowPut> puts;
    std::vector<RowDeletion> deletions;
};

enum class TransactionOutcome {
    Committed,
    // A condition didn't hold; nothing was written.
    Conflicted,
    // No answer arrived; the writes may or may not have happened, or may still happen.
    Unknown,
    // The service surely never received the transaction.
    NotSent,
};

struct TransactionResult {
    TransactionOutcome outcome = TransactionOutcome::Unknown;
    std::uint64_t version = 0; // That a committed transaction gave its rows; zero when the service names none.
    std::string error; // Why there was no answer.
};

struct ReadResult {
    bool isAvailable = false;
    std::optional<Row> row;
    std::string error;
};

struct ScanResult {
    bool isAvailable = false;
    std::vector<Row> rows; // In key order.
    std::string error;
};

// The platform's transactional table service. Transactions are decided on the current rows; reads and scans
// may lag behind. It can be down or slow for long, and its answer can be lost after a write took effect.
class TableService
{
public:
    using TransactionFunction = std::function<void(TransactionResult)>;
    using ReadFunction = std::function<void(ReadResult)>;
    using ScanFunction = std::function<void(ScanResult)>;

    virtual ~TableService() = default;
    // Each function runs exactly once, never inside the call.
    virtual void transact(Transaction transaction, TransactionFunction done) = 0;
    virtual void read(std::string_view table, std::string_view key, ReadFunction done) = 0;
    // Reads at most the given number of rows whose key is greater than the given one.
    virtual void scan(std::string_view table, std::string_view afterKey, std::size_t most, ScanFunction done) = 0;
};

}
