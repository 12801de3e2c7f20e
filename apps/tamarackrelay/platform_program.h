// The node on the users' platform.
#pragma once

namespace tamarack {

/// Runs until the node has stopped; its exit code. With `onlyCheck` the settings are checked and nothing is started.
int runOnPlatform(int argc, char** argv, bool onlyCheck);

}
