#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Fleet {

// An adapter, a set of weights that specializes a base model, in a replica's memory.
struct AdapterCopy {
    std::string adapter;
    std::uint64_t version = 0;
};

// A base model in a replica's memory, with its loaded adapters.
struct ModelCopy {
    std::string model;
    std::uint64_t version = 0;
    std::vector<AdapterCopy> adapters;

    // The copy of the adapter, or null if it isn't loaded.
    [[nodiscard]] const AdapterCopy *find(const std::string &adapter) const
    {
        const auto found = std::find_if(adapters.begin(), adapters.end(), [&adapter](const auto &copy) {
            return copy.adapter == adapter;
        });
        return found == adapters.end() ? nullptr : &*found;
    }
};

// A replica's entry in the platform's list, as the replica itself published it.
struct Replica {
    Core::TargetId id; // Identifies one incarnation of the replica.
    std::string service;
    std::string address; // "host:port".
    Core::ZoneId zone;
    unsigned slots = 0; // Number of requests that it runs concurrently.
    bool isDraining = false; // It accepts no new requests and is about to stop.
    // Start time in Unix milliseconds, which distinguishes two incarnations with the same ID. Zero if not reported.
    std::uint64_t startedAt = 0;
    std::uint64_t orderCount = 0; // Number of orders accepted since the replica started.
    std::vector<ModelCopy> models;

    // The copy of the model, or null if it isn't loaded.
    [[nodiscard]] const ModelCopy *find(const std::string &model) const
    {
        const auto found = std::find_if(models.begin(), models.end(), [&model](const auto &copy) {
            return copy.model == model;
        });
        return found == models.end() ? nullptr : &*found;
    }
};

// A report that a replica returns about its state. It is some hundred milliseconds old.
struct ReplicaReport {
    std::uint64_t startedAt = 0; // Unix milliseconds; zero if not reported.
    std::uint64_t orderCount = 0; // Number of orders accepted since the replica started.
    bool isBusy = false; // It is executing an order for a model.
    unsigned queued = 0; // Requests that wait for a slot.
    unsigned active = 0; // Running requests.
    std::uint64_t usedTokens = 0; // Tokens whose memory can't be reclaimed.
    std::vector<ModelCopy> models;
    std::vector<std::string> loadingAdapters; // Adapters being loaded, as "model/adapter@version".
    // Adapters that load fast from a local copy, as "model/adapter@version" or "model/adapter".
    std::set<std::string> cachedAdapters;
};

// An adapter version released by an operator.
struct AdapterRelease {
    std::string model;
    std::string adapter;
    std::uint64_t version = 0;
};

}
