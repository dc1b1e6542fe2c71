#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace Ticket {

// A copy-on-write map keyed by name. It is split into shards that copies share: copying the map copies one pointer
// per shard, and changing an entry copies only the shard that contains it.
template<typename Value> class SharedMap
{
public:
    using Shard = std::map<std::string, Value, std::less<>>;

    // Returns null if there is no such entry. The value stays valid as long as any copy of the map that contains it.
    [[nodiscard]] const Value *find(std::string_view name) const
    {
        const auto &shard = m_shards[shardIndex(name)];
        if (shard == nullptr) {
            return nullptr;
        }
        const auto found = shard->find(name);
        return found == shard->end() ? nullptr : &found->second;
    }

    void set(const std::string &name, Value value)
    {
        edit(name, [&](Shard &shard) {
            shard.insert_or_assign(name, std::move(value));
        });
    }

    void remove(const std::string &name)
    {
        edit(name, [&](Shard &shard) {
            shard.erase(name);
        });
    }

    // Returns a copy of all entries, ordered by name.
    [[nodiscard]] std::map<std::string, Value> sorted() const
    {
        std::map<std::string, Value> all;
        for (const auto &shard : m_shards) {
            if (shard != nullptr) {
                all.insert(shard->begin(), shard->end());
            }
        }
        return all;
    }

private:
    static constexpr std::size_t ShardCount = 256;

    [[nodiscard]] static std::size_t shardIndex(std::string_view name)
    {
        return std::hash<std::string_view>()(name) % ShardCount;
    }

    template<typename Change> void edit(const std::string &name, Change change)
    {
        auto &shard = m_shards[shardIndex(name)];
        auto copy = shard == nullptr ? std::make_shared<Shard>() : std::make_shared<Shard>(*shard);
        change(*copy);
        shard = std::move(copy);
    }

    std::array<std::shared_ptr<const Shard>, ShardCount> m_shards;
};

}
