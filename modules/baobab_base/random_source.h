#pragma once

#include <random>

namespace baobab {

/// Any standard uniform random bit generator. Core classes take one by
/// reference, so that a seed reproduces every decision.
template <class R>
concept RandomSource = std::uniform_random_bit_generator<R>;

/// The generator that the daemon, the tests and the replay tool use.
using Random = std::mt19937_64;

}  // namespace baobab
