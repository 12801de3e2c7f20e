// The users' deployments, as their sheets describe them, for the fleet model.
#pragma once

#include "fleet_model.h"

namespace tamarack::serving::tests {

fleet_sheet vodosletFleet();
fleet_sheet vodosletGrownFleet();
fleet_sheet vodosletLargeFleet();
fleet_sheet ahnenhausFleet();
fleet_sheet ahnenhausGrownFleet();
fleet_sheet larrainFleet();
fleet_sheet larrainGrownFleet();

}
