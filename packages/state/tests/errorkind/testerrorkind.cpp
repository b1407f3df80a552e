#include "state/errorkind.h"

#include <boost/test/unit_test.hpp>

#include <set>
#include <string>

using namespace Apricot;

BOOST_AUTO_TEST_SUITE(ErrorKinds)

BOOST_AUTO_TEST_CASE(everyKindHasADescription)
{
    std::set<std::string> names;
    for (int i = 0; i < errorKindCount; ++i) {
        const auto kind = static_cast<ErrorKind>(i);
        const ErrorDescriptor &row = errorDescriptor(kind);
        BOOST_TEST(static_cast<int>(row.kind) == i);
        BOOST_TEST(row.httpStatus >= 400);
        BOOST_TEST(!row.text.empty());
        BOOST_TEST(names.insert(std::string(row.name)).second);
    }
}

BOOST_AUTO_TEST_CASE(aCallThatMayHaveRunIsRetryableOnlyWithAKeyOrAnOffset)
{
    for (int i = 0; i < errorKindCount; ++i) {
        const ErrorDescriptor &row = errorDescriptor(static_cast<ErrorKind>(i));
        const bool safeRetry
            = row.outcome == Outcome::NotRun || row.kind == ErrorKind::DuplicateInProgress || row.kind == ErrorKind::AnswerIncomplete;
        BOOST_TEST((!row.retryable || safeRetry), std::string(row.name));
    }
}

BOOST_AUTO_TEST_SUITE_END()
