#include "coordination/configvalidator.h"
#include "coordination/generationtracker.h"
#include "coordination/objectschema.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace Apricot;

namespace {

/// The pointer object in the store. Two publishers read it, pause and write it; nodes receive the generations in any order.
struct Publication
{
    std::uint64_t version = 0;
    Generation pointer;
};

struct Publisher
{
    bool hasRead = false;
    std::uint64_t readVersion = 0;
    Generation read;
};

}

BOOST_AUTO_TEST_SUITE(ConfigProperties)

BOOST_AUTO_TEST_CASE(racingPublishersWithLostRepliesNeverDecreaseTheGeneration)
{
    BOOST_TEST(rc::check([](const std::vector<std::uint8_t> &steps) {
        Publication store;
        Publisher publishers[2];
        GenerationTracker nodes[2];
        std::vector<Generation> published;
        int edits = 0;
        for (const std::uint8_t step : steps) {
            Publisher &publisher = publishers[step % 2];
            switch (step / 2 % 4) {
            case 0: // read the pointer
                publisher = Publisher{true, store.version, store.pointer};
                break;
            case 1: { // write based on an earlier read, which may be outdated; a lost reply may cause the write to be repeated
                const std::optional<Generation> next
                    = publisher.hasRead ? nextGeneration(publisher.read, std::to_string(++edits), 1) : std::nullopt;
                if (next && publisher.readVersion == store.version) {
                    RC_ASSERT((*next)->number == store.pointer->number + 1);
                    store.pointer = *next;
                    ++store.version;
                    published.push_back(*next);
                }
                break;
            }
            default: { // a node receives an old or a new generation
                if (published.empty()) {
                    break;
                }
                GenerationTracker &tracker = nodes[step % 2];
                const std::uint64_t before = tracker.current()->number;
                tracker.tryAdvance(published[step % published.size()]);
                RC_ASSERT(tracker.current()->number >= before);
                RC_ASSERT(tracker.current()->number <= store.pointer->number);
            }
            }
        }
    }));
}

BOOST_AUTO_TEST_CASE(everyObjectSetIsEitherAcceptedOrReportsFaults)
{
    BOOST_TEST(rc::check([] {
        std::vector<RawObject> set;
        const auto count = *rc::gen::inRange(0, 8);
        for (int i = 0; i < count; ++i) {
            const FieldSpec &spec = objectSchema()[*rc::gen::inRange<std::size_t>(0, objectSchema().size())];
            RawObjectFields fields{spec.kind, *rc::gen::element<std::string>("a", "b", "", "BAD"), 1, {}};
            fields.fields[spec.field]
                = *rc::gen::element<FieldValue>(FieldValue(std::int64_t(-1)), FieldValue(1e300), FieldValue(std::string("a")),
                                                FieldValue(true), FieldValue(std::vector<std::string>{"x"}));
            set.emplace_back(fields);
        }
        const auto checked = validateConfig(set);
        const auto *faults = std::get_if<std::vector<ConfigFault>>(&checked);
        if (faults == nullptr) {
            return;
        }
        RC_ASSERT(!faults->empty());
        for (const ConfigFault &fault : *faults) {
            RC_ASSERT(!fault.object.empty() && !fault.problem.empty() && !fault.remedy.empty());
        }
    }));
}

BOOST_AUTO_TEST_SUITE_END()
