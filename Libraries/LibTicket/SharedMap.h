#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace Ticket {

// A map by name whose copies share what they have in common. Copying costs one reference for each part, and a
// change afterwards copies one part alone, so that a new state beside the old one is cheap.
template<typename Value> class SharedMap
{
public:
    using Part = std::map<std::string, Value, std::less<>>;

    // The value, or null. It lives as long as any copy of the map that holds it.
    [[nodiscard]] const Value *find(std::string_view name) const
    {
        const auto &part = m_parts[partOf(name)];
        if (part == nullptr) {
            return nullptr;
        }
        const auto found = part->find(name);
        return found == part->end() ? nullptr : &found->second;
    }

    void set(const std::string &name, Value value)
    {
        edit(name, [&](Part &part) {
            part.insert_or_assign(name, std::move(value));
        });
    }

    void remove(const std::string &name)
    {
        edit(name, [&](Part &part) {
            part.erase(name);
        });
    }

    // All values in order of their name.
    [[nodiscard]] std::map<std::string, Value> sorted() const
    {
        std::map<std::string, Value> all;
        for (const auto &part : m_parts) {
            if (part != nullptr) {
                all.insert(part->begin(), part->end());
            }
        }
        return all;
    }

private:
    static constexpr std::size_t PartCount = 256;

    [[nodiscard]] static std::size_t partOf(std::string_view name)
    {
        return std::hash<std::string_view>()(name) % PartCount;
    }

    template<typename Change> void edit(const std::string &name, Change change)
    {
        auto &part = m_parts[partOf(name)];
        auto fresh = part == nullptr ? std::make_shared<Part>() : std::make_shared<Part>(*part);
        change(*fresh);
        part = std::move(fresh);
    }

    std::array<std::shared_ptr<const Part>, PartCount> m_parts;
};

}
