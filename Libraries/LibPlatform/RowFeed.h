#pragma once

#include <LibCore/Time.h>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Platform {

// One row of a table as it was after a change.
struct ChangedRow {
    std::string key;
    std::uint64_t version = 0; // Of the transaction that changed it last.
    std::string value;
    bool isRemoved = false;
};

enum class FeedOutcome {
    Read,
    // The changes since the given version can't be had any more.
    HistoryLost,
    Failed,
};

struct FeedResult {
    FeedOutcome outcome = FeedOutcome::Failed;
    std::uint64_t version = 0; // Up to which the rows reach.
    std::vector<ChangedRow> rows;
    std::string error;
};

// The rows of a table, all of them as of one moment, or those that changed after a version.
class RowFeed
{
public:
    using FeedFunction = std::function<void(FeedResult)>;

    virtual ~RowFeed() = default;
    // Each function runs exactly once, never inside the call.
    virtual void readTable(std::string_view table, FeedFunction done) = 0;
    // Waits up to the given time until there is a change.
    virtual void follow(std::string_view table, std::uint64_t after, Core::Duration wait, FeedFunction done) = 0;
};

}
