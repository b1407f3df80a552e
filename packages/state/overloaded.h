#pragma once

namespace Apricot {

/// Makes a visitor of several lambdas.
template<class... Functions>
struct Overloaded : Functions...
{
    using Functions::operator()...;
};

template<class... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

}
