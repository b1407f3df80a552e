#pragma once

#include "state/errorkind.h"

#include <boost/leaf.hpp>

#include <string>
#include <utility>
#include <variant>

namespace Apricot {

/// An error of the closed list with the object, the place and the remedy in words.
struct Error
{
    ErrorKind kind = ErrorKind::Internal;
    std::string message;

    friend bool operator==(const Error &, const Error &) = default;
};

template<class T>
using Result = boost::leaf::result<T>;

/// Makes a failed Result that carries \a kind and \a message.
inline boost::leaf::error_id fail(ErrorKind kind, std::string message)
{
    return boost::leaf::new_error(Error{kind, std::move(message)});
}

/// Runs \a function, which returns Result<T>, and returns its value or its error as a plain variant.
template<class T, class Function>
std::variant<T, Error> collect(Function &&function)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<std::variant<T, Error>> {
            BOOST_LEAF_AUTO(value, function());
            return std::variant<T, Error>(std::move(value));
        },
        [](const Error &error) -> std::variant<T, Error> { return error; },
        []() -> std::variant<T, Error> {
            return Error{ErrorKind::Internal, "an error without a kind"};
        });
}

}
