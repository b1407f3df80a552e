#pragma once

#include "coordination/slicescheduler.h"

#include <absl/strings/str_cat.h>

#include <string>
#include <vector>

namespace Apricot::Test {

/// A slice with two prefill engines, two decode engines and the ranks "urgent" and "other".
struct SliceFixture
{
    static constexpr std::int64_t slots = 2;
    static constexpr std::int64_t pieces = 200;

    static SchedulerSettings settings(const Policy &policy = LadderPolicy{})
    {
        SchedulerSettings settings;
        settings.policy = policy;
        settings.prefillPool = settings.prefillPool.with(&PoolFields::role, PoolRole::Prefill);
        settings.decodePool = settings.decodePool.with(&PoolFields::role, PoolRole::Decode)
                                  .with(&PoolFields::slots, slots)
                                  .with(&PoolFields::pieces, pieces);
        for (int i = 0; i < 2; ++i) {
            settings.prefillEndpoints.push_back(Endpoint::Builder().set(&EndpointFields::name, absl::StrCat("p", i)).build());
            settings.decodeEndpoints.push_back(Endpoint::Builder().set(&EndpointFields::name, absl::StrCat("d", i)).build());
        }
        const Rank rank = Rank::Builder().set(&RankFields::floorShare, 0.2).build();
        settings.ranks = {rank.with(&RankFields::name, RankName("other")).with(&RankFields::priority, 1),
                          rank.with(&RankFields::name, RankName("urgent"))};
        return settings;
    }

    static Work work(const std::string &id, absl::Time arrival, std::int64_t tokens = 100, const std::string &rank = "urgent")
    {
        return Work::Builder()
            .set(&WorkFields::id, RequestId(id))
            .set(&WorkFields::rank, RankName(rank))
            .set(&WorkFields::workspace, WorkspaceName("w"))
            .set(&WorkFields::promptTokens, tokens)
            .set(&WorkFields::maxTokens, 100)
            .set(&WorkFields::arrivalTime, arrival)
            .build();
    }

    Actions arrive(const std::string &id, std::int64_t tokens = 100, const std::string &rank = "urgent")
    {
        return scheduler.handle(WorkArrived{work(id, now, tokens, rank)}, now);
    }

    Actions prefilled(const std::string &id)
    {
        return scheduler.handle(PrefillFinished{RequestId(id), 1, absl::Milliseconds(7), 0}, now);
    }

    template<class T>
    static const T *find(const Actions &actions)
    {
        for (const Action &action : actions) {
            if (const auto *it = std::get_if<T>(&action)) {
                return it;
            }
        }
        return nullptr;
    }

    SliceScheduler scheduler{settings()};
    absl::Time now = absl::FromUnixSeconds(1000);
};

}
