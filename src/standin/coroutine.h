// Lets clang-tidy 14 read coroutines of Boost.Asio with the headers of GCC 12.
// Both ask for a macro that this version of clang does not define although it
// supports the language feature. Include this file before any other.
#ifndef SRC_STANDIN_COROUTINE_H_
#define SRC_STANDIN_COROUTINE_H_

#if defined(__clang__) && !defined(__cpp_impl_coroutine)
// NOLINTNEXTLINE(bugprone-reserved-identifier)
#define __cpp_impl_coroutine 201902L
#define BOOST_ASIO_HAS_CO_AWAIT 1
#endif

// Boost 1.74's awaitable.hpp uses std::exchange without including <utility>.
#include <utility>

#endif  // SRC_STANDIN_COROUTINE_H_
