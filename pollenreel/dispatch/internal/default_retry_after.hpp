#pragma once

#include <chrono>

namespace pollenreel::dispatch::internal {

// Retry-After when nothing indicates when capacity will be available: about
// the time until a failed target is replaced or a configuration arrives.
constexpr std::chrono::milliseconds default_retry_after{250};

} // namespace pollenreel::dispatch::internal
