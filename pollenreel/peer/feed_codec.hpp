// Protobuf form of the messages that pass the configuration on.
#pragma once

#include "pollenreel/feed/messages.hpp"
#include "proto/peer.pb.h"

#include <optional>

namespace pollenreel::peer {

void to_proto(wire::ConfigurationPush& to, const feed::push& from);
void to_proto(wire::ConfigurationPull& to, const feed::pull& from);
void to_proto(wire::ConfigurationDigest& to, const feed::digest& from);

// Empty when an address is impossible.
[[nodiscard]] std::optional<feed::push>
from_proto(const wire::ConfigurationPush& from);
[[nodiscard]] std::optional<feed::pull>
from_proto(const wire::ConfigurationPull& from);
[[nodiscard]] std::optional<feed::digest>
from_proto(const wire::ConfigurationDigest& from);

} // namespace pollenreel::peer
