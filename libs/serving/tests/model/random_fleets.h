// Fleets drawn at random from the kinds that the users describe, so that no decision is fitted to the few known ones.
#pragma once

#include "fleet_sheet.h"

#include <cstdint>

namespace tamarack::serving::tests {

/// The same for the same seed. Loads go from a third to half above what fits; the mix swings; engines are lost, slow or
/// failing, and nodes are started anew.
fleet_sheet randomFleet(std::uint64_t seed, duration length);

}
