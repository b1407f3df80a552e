/// Main function of all Boost.Test programs.
#define BOOST_TEST_MODULE apricotladder
#include <boost/test/unit_test.hpp>
