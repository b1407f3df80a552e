#pragma once

namespace Apricot {

/// Runs the program as an entry node with its own command line; returns the exit code.
int runEntryNode(int argc, char **argv);

}
