#pragma once

#include <chrono>

namespace pollenreel::dispatch::internal {

// Retry-After where nothing tells when there will be room: the time in which
// a failed target is replaced by another or a configuration arrives.
constexpr std::chrono::milliseconds default_retry_after{250};

} // namespace pollenreel::dispatch::internal
