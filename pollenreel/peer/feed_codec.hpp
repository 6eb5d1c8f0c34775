// Protobuf form of the messages that pass the configuration on.
#pragma once

#include "pollenreel/feed/messages.hpp"
#include "proto/peer.pb.h"

#include <optional>

namespace pollenreel::peer {

void fill(wire::ConfigurationPush& to, const feed::push& from);
void fill(wire::ConfigurationPull& to, const feed::pull& from);
void fill(wire::ConfigurationDigest& to, const feed::digest& from);

// Empty when an address is impossible.
[[nodiscard]] std::optional<feed::push>
read(const wire::ConfigurationPush& from);
[[nodiscard]] std::optional<feed::pull>
read(const wire::ConfigurationPull& from);
[[nodiscard]] std::optional<feed::digest>
read(const wire::ConfigurationDigest& from);

} // namespace pollenreel::peer
