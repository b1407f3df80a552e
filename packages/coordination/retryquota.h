#pragma once

#include <absl/time/time.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace Apricot {

/// The limit on retries to each service, for all nodes together.
struct RetryLimit
{
    double ratio = 0; ///< retries allowed for each request
    double headroom = 0; ///< retries allowed within the window regardless of the number of requests
    absl::Duration window = absl::Seconds(10);

    friend bool operator==(const RetryLimit &, const RetryLimit &) = default;
};

/**
 * \class RetryQuota
 * \brief This node's part of the retry limit of one service.
 *
 * Every node keeps to its share of the headroom and to the ratio of its own requests. The limit therefore holds for all nodes
 * together even if some of them cannot communicate.
 */
class RetryQuota
{
public:
    explicit RetryQuota(const RetryLimit &limit);

    /// Counts a request, which raises the number of retries that the ratio allows.
    void recordRequest(absl::Time now);

    /// Spends one retry if this node's part of the limit, with \a headroomShare (0 to 1) of the headroom, allows it; returns whether
    /// it did.
    bool trySpend(double headroomShare, absl::Time now);

    /// Whether trySpend() would succeed.
    bool allows(double headroomShare, absl::Time now);

private:
    static constexpr std::size_t bucketCount = 20;

    /// Counts of one part of the window.
    struct Bucket
    {
        std::int64_t index = -1;
        std::int64_t requests = 0;
        std::int64_t retries = 0;
    };

    Bucket &bucketAt(absl::Time now);

    RetryLimit m_limit;
    std::array<Bucket, bucketCount + 1> m_buckets;
};

}
