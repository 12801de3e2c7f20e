// Runs the node with the settings of the users' platform.
#pragma once

namespace tamarack {

/// Runs until the node has stopped and returns its exit code. With `onlyCheck`, only checks the settings and starts
/// nothing.
int runOnPlatform(int argc, char** argv, bool onlyCheck);

}
