// Converts the messages that share caps and report load to and from protobuf.
#pragma once

#include "pollenreel/shift/messages.hpp"
#include "proto/peer.pb.h"

#include <optional>

namespace pollenreel::peer {

void to_proto(wire::ShareAsk& to, const share::request& from);
void to_proto(wire::ShareGrant& to, const share::grant& from);
void to_proto(wire::LoadReport& to, const shift::load_report& from);
void to_proto(wire::LoadSummary& to, const shift::load_summary& from);

// These return nullopt if a resource, an address or a number is invalid.
[[nodiscard]] std::optional<share::request>
from_proto(const wire::ShareAsk& from);
[[nodiscard]] std::optional<share::grant>
from_proto(const wire::ShareGrant& from);
[[nodiscard]] std::optional<shift::load_report>
from_proto(const wire::LoadReport& from);
[[nodiscard]] std::optional<shift::load_summary>
from_proto(const wire::LoadSummary& from);

} // namespace pollenreel::peer
