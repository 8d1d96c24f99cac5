#pragma once

// toml++ 3.3 asserts inside its parser on some malformed documents before it
// reports them, so a build with assertions would abort on an operator's typing
// error. Its checks behind the assertions report the error in every build.
#define TOML_ASSERT(expr) static_cast<void>(0)

#include <toml++/toml.h>
