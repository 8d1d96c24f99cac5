#include "baobab_gateway/buffer_budget.h"

#include <catch2/catch.hpp>
#include <utility>

namespace baobab::gateway {
namespace {

// Guards against a few responses, or many together, that use the memory of the
// instance, and against bytes that stay counted after their response has ended.
TEST_CASE("Responses are bounded alone and together", "[gateway]") {
  constexpr std::size_t kMemory = 1600;  // a budget of 400, shares of 100
  BufferBudget budget(kMemory);
  {
    BufferBudget::Share first(budget);
    CHECK(first.Resize(100));
    CHECK_FALSE(first.Resize(101));
    CHECK(budget.used() == 100);
    BufferBudget::Share second(budget);
    BufferBudget::Share third(budget);
    BufferBudget::Share fourth(budget);
    BufferBudget::Share fifth(budget);
    CHECK(second.Resize(100));
    CHECK(third.Resize(100));
    CHECK(fourth.Resize(100));
    CHECK_FALSE(fifth.Resize(1));
    CHECK(fourth.Resize(10));
    CHECK(fifth.Resize(90));
    auto moved = std::move(first);
    CHECK(budget.used() == 400);
    CHECK(moved.Resize(0));
    CHECK(budget.used() == 300);
  }
  CHECK(budget.used() == 0);
}

}  // namespace
}  // namespace baobab::gateway
