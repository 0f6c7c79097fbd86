// Makes Boost 1.74 offer coroutines. Include this file before any of its
// headers.
#ifndef SRC_STANDIN_COROUTINE_H_
#define SRC_STANDIN_COROUTINE_H_

// Boost 1.74's awaitable.hpp uses std::exchange without including <utility>.
#include <utility>

// With clang, on which clang-tidy is built, Boost 1.74 looks only for the
// experimental coroutine header of libc++, which libstdc++ does not have.
#if defined(__clang__) && defined(__cpp_impl_coroutine)
#define BOOST_ASIO_HAS_CO_AWAIT 1
#endif

#endif  // SRC_STANDIN_COROUTINE_H_
