/// The main function of every Boost.Test program.
#define BOOST_TEST_MODULE apricotladder
#include <boost/test/unit_test.hpp>
