#pragma once

namespace Apricot {

/// Runs the program as an entry node, which has its own command line options; returns the exit code.
int runEntryNode(int argc, char **argv);

}
