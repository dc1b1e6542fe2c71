#pragma once

#include <LibCore/Time.h>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Platform {

// The state of one table row after a change.
struct ChangedRow {
    std::string key;
    std::uint64_t version = 0; // Version given by the last transaction that changed the row.
    std::string value;
    bool isRemoved = false;
};

enum class FeedOutcome {
    Read,
    // The service no longer keeps all changes since the given version; the table must be read again.
    HistoryLost,
    Failed,
};

struct FeedResult {
    FeedOutcome outcome = FeedOutcome::Failed;
    std::uint64_t version = 0; // The rows include all changes up to this version.
    std::vector<ChangedRow> rows;
    // The service's own monotonic clock as of the result, if it reports it.
    std::optional<std::chrono::milliseconds> serviceTime;
    // The rows include all changes that the service acknowledged before this time; no value if that isn't known.
    std::optional<Core::TimePoint> provenAt;
    std::string error;
};

// Reads the rows of a table: a consistent snapshot of all rows, or the rows that changed after a version.
class RowFeed
{
public:
    using FeedFunction = std::function<void(FeedResult)>;

    virtual ~RowFeed() = default;
    // The callback of each operation runs exactly once, and never before the operation has returned.
    virtual void readTable(std::string_view table, FeedFunction done) = 0;
    // Reads the rows that changed after the given version. If there are none, waits for a change up to the given time.
    virtual void follow(std::string_view table, std::uint64_t after, Core::Duration wait, FeedFunction done) = 0;
};

}
