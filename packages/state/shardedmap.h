#pragma once

#include "state/mutex.h"

#include <absl/container/flat_hash_map.h>
#include <absl/hash/hash.h>

#include <array>
#include <cstddef>
#include <utility>

namespace Apricot {

/**
 * \class ShardedMap
 * \brief A hash map that is split into shards, each protected by its own lock.
 *
 * Every function runs under the lock of one shard at a time, so no caller ever holds two of these locks.
 */
template<class Key, class Value, std::size_t shardCount = 16>
class ShardedMap
{
public:
    /// Runs \a function on the value of \a key under the shard's lock. An absent value is default-constructed first.
    template<class Function>
    auto update(const Key &key, Function &&function)
    {
        Shard &shard = shardOf(key);
        const MutexLock lock(shard.mutex);
        return function(shard.entries[key]);
    }

    /// Inserts \a value unless the key is present; returns whether it was inserted.
    bool insert(const Key &key, Value value)
    {
        Shard &shard = shardOf(key);
        const MutexLock lock(shard.mutex);
        return shard.entries.try_emplace(key, std::move(value)).second;
    }

    /// Returns a copy of the value of \a key, or \a fallback if the key is absent.
    Value find(const Key &key, Value fallback = Value()) const
    {
        const Shard &shard = shardOf(key);
        const MutexLock lock(shard.mutex);
        const auto it = shard.entries.find(key);
        return it == shard.entries.end() ? std::move(fallback) : it->second;
    }

    /// Removes the key; returns whether it was present.
    bool erase(const Key &key)
    {
        Shard &shard = shardOf(key);
        const MutexLock lock(shard.mutex);
        return shard.entries.erase(key) != 0;
    }

    /// Runs \a function(key, value) on every entry. Locks one shard after another.
    template<class Function>
    void forEach(Function &&function) const
    {
        for (const Shard &shard : m_shards) {
            const MutexLock lock(shard.mutex);
            for (const auto &[key, value] : shard.entries) {
                function(key, value);
            }
        }
    }

    /// Removes the key if \a predicate(value) is true. Returns whether the key was removed.
    template<class Predicate>
    bool eraseOneIf(const Key &key, Predicate &&predicate)
    {
        Shard &shard = shardOf(key);
        const MutexLock lock(shard.mutex);
        const auto it = shard.entries.find(key);
        if (it == shard.entries.end() || !predicate(it->second)) {
            return false;
        }
        shard.entries.erase(it);
        return true;
    }

    /// Removes the entries for which \a predicate(key, value) is true; returns how many.
    template<class Predicate>
    std::size_t eraseIf(Predicate &&predicate)
    {
        std::size_t n = 0;
        for (Shard &shard : m_shards) {
            const MutexLock lock(shard.mutex);
            n += absl::erase_if(shard.entries, [&](const auto &entry) { return predicate(entry.first, entry.second); });
        }
        return n;
    }

    std::size_t size() const
    {
        std::size_t n = 0;
        for (const Shard &shard : m_shards) {
            const MutexLock lock(shard.mutex);
            n += shard.entries.size();
        }
        return n;
    }

private:
    struct Shard
    {
        mutable Mutex mutex;
        absl::flat_hash_map<Key, Value> entries ABSL_GUARDED_BY(mutex);
    };

    Shard &shardOf(const Key &key)
    {
        return m_shards[absl::Hash<Key>{}(key) % shardCount];
    }

    const Shard &shardOf(const Key &key) const
    {
        return m_shards[absl::Hash<Key>{}(key) % shardCount];
    }

    std::array<Shard, shardCount> m_shards;
};

}
