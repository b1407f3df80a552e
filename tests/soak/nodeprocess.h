#pragma once

#include <sys/types.h>

#include <optional>
#include <string>

namespace Apricot {

/**
 * \class NodeProcess
 * \brief Runs an entry node as a child process. Signals only the process that it started itself, by its process id.
 */
class NodeProcess
{
public:
    /// Uses the settings file \a settings for \a program, and appends its output to the file \a log.
    NodeProcess(std::string program, std::string settings, std::string log);
    ~NodeProcess();

    NodeProcess(const NodeProcess &) = delete;
    NodeProcess &operator=(const NodeProcess &) = delete;

    void start();
    void signal(int number) const;

    /// Returns the wait status of the process once after it has exited; std::nullopt if it is running or not started.
    std::optional<int> reap();

    bool isRunning() const
    {
        return m_processId > 0;
    }

    /// Process id; 0 if it is not running.
    pid_t processId() const
    {
        return m_processId;
    }

    /// Number of starts so far, which identifies the current process.
    int incarnation() const
    {
        return m_incarnation;
    }

private:
    std::string m_program;
    std::string m_settings;
    std::string m_log;
    pid_t m_processId = 0;
    int m_incarnation = 0;
};

}
