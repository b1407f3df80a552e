#pragma once

#include <sys/types.h>

#include <optional>
#include <string>

namespace Apricot {

/**
 * \class NodeProcess
 * \brief An entry node as a process of its own. Only processes that it started are signalled, by their ids.
 */
class NodeProcess
{
public:
    /// \a program is run with the settings file \a settings; its output goes to the file \a log.
    NodeProcess(std::string program, std::string settings, std::string log);
    ~NodeProcess();

    NodeProcess(const NodeProcess &) = delete;
    NodeProcess &operator=(const NodeProcess &) = delete;

    void start();
    void signal(int number) const;

    /// The wait status of a process that has ended; nothing while it runs.
    std::optional<int> reap();

    bool isRunning() const
    {
        return m_id > 0;
    }

    /// Counts the starts.
    int lifetime() const
    {
        return m_lifetime;
    }

private:
    std::string m_program;
    std::string m_settings;
    std::string m_log;
    pid_t m_id = 0;
    int m_lifetime = 0;
};

}
