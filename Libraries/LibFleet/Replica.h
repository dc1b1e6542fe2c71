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

// One adapter in a replica's memory.
struct AdapterCopy {
    std::string adapter;
    std::uint64_t version = 0;
};

// One base model in a replica's memory, with the adapters that can run on it.
struct ModelCopy {
    std::string model;
    std::uint64_t version = 0;
    std::vector<AdapterCopy> adapters;

    // The copy of the adapter, or null.
    [[nodiscard]] const AdapterCopy *find(const std::string &adapter) const
    {
        const auto found = std::find_if(adapters.begin(), adapters.end(), [&adapter](const auto &copy) {
            return copy.adapter == adapter;
        });
        return found == adapters.end() ? nullptr : &*found;
    }
};

// What a replica of a service says of itself in the platform's list.
struct Replica {
    Core::TargetId id; // Of one start of the replica.
    std::string service;
    std::string address; // "host:port".
    Core::ZoneId zone;
    unsigned slots = 0; // Requests that it runs at a time.
    bool isDraining = false; // It takes no new work and ends soon.
    std::uint64_t startedAt = 0; // Unix milliseconds; tells two starts under one id apart. Zero when it isn't said.
    std::uint64_t orderCount = 0; // Orders accepted since its start.
    std::vector<ModelCopy> models;

    // The copy of the model, or null.
    [[nodiscard]] const ModelCopy *find(const std::string &model) const
    {
        const auto found = std::find_if(models.begin(), models.end(), [&model](const auto &copy) {
            return copy.model == model;
        });
        return found == models.end() ? nullptr : &*found;
    }
};

// A replica's own account of its state, as of some hundred milliseconds ago.
struct ReplicaReport {
    std::uint64_t startedAt = 0; // As in Replica.
    std::uint64_t orderCount = 0;
    bool isBusy = false; // It is carrying out an order for a model.
    unsigned queued = 0; // Requests that wait for a place.
    unsigned active = 0; // Requests that run.
    std::uint64_t usedTokens = 0; // Memory that can't be reclaimed.
    std::vector<ModelCopy> models;
    std::vector<std::string> loadingAdapters; // "model/adapter@version".
    std::set<std::string> cachedAdapters; // Those that load fast, in the same form or without the version.
};

// A version of an adapter that an operator has released.
struct AdapterRelease {
    std::string model;
    std::string adapter;
    std::uint64_t version = 0;
};

}
