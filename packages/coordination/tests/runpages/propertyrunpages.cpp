#include "coordination/runpagecommitter.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <map>

using namespace Apricot;

BOOST_AUTO_TEST_SUITE(RunPageProperties)

// Two nodes share one page. The map `winners` holds, for each key, the creator whose write was reported as Written: no second creator
// of the same key may get that report.
BOOST_AUTO_TEST_CASE(atMostOneCreatorPerKeyIsReportedAsWritten)
{
    BOOST_TEST(rc::check([](const std::vector<std::uint16_t> &steps) {
        const absl::Time now = absl::FromUnixSeconds(5);
        RunPage stored;
        RunPageCommitter nodes[2];
        std::optional<RunPage> writing[2];
        std::map<std::uint64_t, RunRecord> sent;
        std::map<IdempotencyKey, RequestId> winners;
        std::uint64_t ticket = 0;
        const auto checkReports = [&](const std::vector<ChangeReport> &reports) {
            for (const ChangeReport &it : reports) {
                if (it.outcome == ChangeOutcome::Written) {
                    const RunRecord &record = sent.at(it.ticket);
                    const auto winner = winners.try_emplace(record->key, record->creator).first;
                    RC_ASSERT(winner->second == record->creator);
                }
            }
        };
        for (const std::uint16_t step : steps) {
            const std::size_t i = step % 2;
            RunPageCommitter &node = nodes[i];
            switch (step / 2 % 5) {
            case 0: { // a new attempt at one of three keys
                ++ticket;
                const RunRecord record = RunRecord::Builder()
                                             .set(&RunRecordFields::key, IdempotencyKey(std::to_string(step % 3)))
                                             .set(&RunRecordFields::creator, RequestId(std::to_string(ticket)))
                                             .set(&RunRecordFields::createdMs, absl::ToUnixMillis(now))
                                             .build();
                sent.emplace(ticket, record);
                node.submitChange(ticket, std::nullopt, record);
                break;
            }
            case 1:
                if (!writing[i]) {
                    node.handleRead(stored);
                }
                break;
            case 2: { // start a write
                std::vector<ChangeReport> reports;
                if (!writing[i]) {
                    writing[i] = node.beginWrite(now, &reports);
                }
                checkReports(reports);
                break;
            }
            default: { // the store replies, or the reply is lost before or after the write takes effect
                if (!writing[i]) {
                    break;
                }
                const bool arrives = step / 10 % 4 != 0;
                const bool applies = arrives && (*writing[i])->version == stored->version;
                const bool replyLost = step / 40 % 3 == 0 || !arrives;
                if (applies) {
                    stored = writing[i]->with(&RunPageFields::version, stored->version + 1);
                }
                writing[i].reset();
                if (replyLost) {
                    checkReports(node.handleLost());
                } else if (applies) {
                    checkReports(node.handleWritten(stored->version));
                } else {
                    node.handleConflict();
                }
            }
            }
        }
        for (const auto &[key, winner] : winners) {
            RC_ASSERT(stored->records.at(key)->creator == winner);
        }
    }));
}

BOOST_AUTO_TEST_SUITE_END()
