// Replaces operator new in this program, so that state can be measured in
// bytes.
#include <malloc.h>

#include <atomic>
#include <cstdlib>
#include <new>

#include "src/capacity/measure.h"

namespace {

// Header of a block in the C library's allocator.
constexpr int64_t kBlockHeader = 8;

std::atomic<int64_t> live_bytes{0};

int64_t BlockBytes(void* block) {
  return static_cast<int64_t>(malloc_usable_size(block)) + kBlockHeader;
}

void* Allocate(size_t size) {
  void* const block = std::malloc(size);
  if (block == nullptr) {
    std::abort();
  }
  live_bytes.fetch_add(BlockBytes(block), std::memory_order_relaxed);
  return block;
}

void Free(void* block) noexcept {
  if (block != nullptr) {
    live_bytes.fetch_sub(BlockBytes(block), std::memory_order_relaxed);
    std::free(block);
  }
}

}  // namespace

void* operator new(size_t size) {
  return Allocate(size);
}
void* operator new[](size_t size) {
  return Allocate(size);
}
void operator delete(void* block) noexcept {
  Free(block);
}
void operator delete[](void* block) noexcept {
  Free(block);
}
void operator delete(void* block, size_t /*size*/) noexcept {
  Free(block);
}
void operator delete[](void* block, size_t /*size*/) noexcept {
  Free(block);
}

namespace tarragondale::capacity {

int64_t LiveBytes() {
  return live_bytes.load(std::memory_order_relaxed);
}

}  // namespace tarragondale::capacity
