#pragma once

#include "platform/nodefixture.h"
#include "soak/nodeprocess.h"

#include <filesystem>
#include <memory>
#include <string>

namespace Apricot {

/**
 * \class BoundedNode
 * \brief Fixture: a platform, and the node as a process of its own whose memory and descriptors are checked.
 */
class BoundedNode
{
public:
    ~BoundedNode();

    /// Starts the process with the default settings and waits until it is ready. Its endpoint for plain calls must exist.
    void start();

    /// Builds an ordinary call to \a url; a POST if \a body is not empty.
    static HttpCall makeCall(const std::string &url, const std::string &body);

    /// Checks that the process is alive, within its memory and descriptors, and serves an ordinary request.
    void checkNode();

    Platform platform;
    std::string callerAddress;
    std::string readyAddress;
    std::unique_ptr<NodeProcess> node;

private:
    void checkResources() const;

    std::filesystem::path m_directory;
};

}
