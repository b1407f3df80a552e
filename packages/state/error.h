#pragma once

#include "state/errorkind.h"

#include <boost/leaf.hpp>

#include <string>
#include <utility>
#include <variant>

namespace Apricot {

/// An error kind and a message that names the object, the place and the remedy.
struct Error
{
    ErrorKind kind = ErrorKind::Internal;
    std::string message;

    friend bool operator==(const Error &, const Error &) = default;
};

template<class T>
using Result = boost::leaf::result<T>;

/// Returns a failed Result with an error of \a kind and \a message.
inline boost::leaf::error_id fail(ErrorKind kind, std::string message)
{
    return boost::leaf::new_error(Error{kind, std::move(message)});
}

/// Runs \a function, which returns a Result<T>, and converts the result to a variant of value and error.
template<class T, class Function>
std::variant<T, Error> toVariant(Function &&function)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<std::variant<T, Error>> {
            BOOST_LEAF_AUTO(value, function());
            return std::variant<T, Error>(std::move(value));
        },
        [](const Error &error) -> std::variant<T, Error> { return error; },
        []() -> std::variant<T, Error> {
            return Error{ErrorKind::Internal, "operation failed without an Error object"};
        });
}

}
