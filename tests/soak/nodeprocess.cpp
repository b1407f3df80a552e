#include "soak/nodeprocess.h"

#include <csignal>
#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace Apricot {

namespace {

constexpr int exitExecFailed = 127;
constexpr mode_t logFileMode = 0644;

}

NodeProcess::NodeProcess(std::string program, std::string settings, std::string log)
    : m_program(std::move(program))
    , m_settings(std::move(settings))
    , m_log(std::move(log))
{
}

NodeProcess::~NodeProcess()
{
    if (isRunning()) {
        signal(SIGCONT);
        signal(SIGKILL);
        waitpid(m_processId, nullptr, 0);
    }
}

void NodeProcess::start()
{
    ++m_incarnation;
    m_processId = fork();
    if (m_processId != 0) {
        return;
    }
    // A program cannot block a signal that arrives before its first statement. SIGHUP asks for a reload and must not terminate the
    // node, so it is blocked before exec.
    sigset_t blocked;
    sigemptyset(&blocked);
    sigaddset(&blocked, SIGHUP);
    sigprocmask(SIG_SETMASK, &blocked, nullptr);
    const int log = open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, logFileMode);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execl(m_program.c_str(), m_program.c_str(), "entry", "--config", m_settings.c_str(), nullptr);
    _exit(exitExecFailed);
}

void NodeProcess::signal(int number) const
{
    if (isRunning()) {
        kill(m_processId, number);
    }
}

std::optional<int> NodeProcess::reap()
{
    int status = 0;
    if (!isRunning() || waitpid(m_processId, &status, WNOHANG) != m_processId) {
        return std::nullopt;
    }
    m_processId = 0;
    return status;
}

}
