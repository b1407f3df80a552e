#pragma once

namespace Apricot {

/// Combines several lambdas into one visitor.
template<class... Functions>
struct Overloaded : Functions...
{
    using Functions::operator()...;
};

template<class... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

}
