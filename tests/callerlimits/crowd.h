#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Apricot {

/// What one client of a crowd sends: the bytes at the start, and a block that it repeats after them.
struct CrowdScript
{
    std::string start;
    std::string block;
    std::size_t blockCount = 0;
};

/**
 * \class Crowd
 * \brief Clients that send as fast as the node reads, never read an answer, and keep their connections open.
 */
class Crowd
{
public:
    /// Opens \a count connections to \a address ("IP:port").
    Crowd(const std::string &address, std::size_t count, CrowdScript script);
    ~Crowd();

    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    /// Sends until each client has sent its script or lost its connection, or no client could send for \a silence.
    void send(absl::Duration silence);

private:
    struct Client
    {
        int descriptor = -1;
        std::size_t sent = 0;
    };

    std::size_t scriptBytes() const;
    bool sendSome(Client &client) const;

    CrowdScript m_script;
    std::vector<Client> m_clients;
};

}
