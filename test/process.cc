#include "test/process.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace cg {

namespace {

using Clock = std::chrono::steady_clock;

const Millis kPollInterval(5);
const int kExecFailed = 127;
const int kOutBytes = 256 << 10;

std::string
ErrorPath(const std::string &program)
{
    static std::atomic<int> next{0};
    std::string folder = std::string(CG_BIN_DIR) + "/test/stderr";
    mkdir(folder.c_str(), 0755);
    size_t slash = program.rfind('/');
    return folder + "/" + program.substr(slash + 1) + "-" +
           std::to_string(getpid()) + "-" + std::to_string(next++);
}

std::string
ReadFile(const std::string &path)
{
    std::ifstream in(path);
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

// Sets a limit of this process; 0 leaves it as it is.
void
Limit(__rlimit_resource resource, size_t most)
{
    struct rlimit limit = {most, most};
    if (most > 0) {
        setrlimit(resource, &limit);
    }
}

// Runs in the child: never returns.
[[noreturn]] void
Exec(const ProcessOptions &options, int out, int error)
{
    // The kernel ends the child with a test that dies without clean-up.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(out, STDOUT_FILENO);
    dup2(error, STDERR_FILENO);
    std::vector<char *> args;
    args.push_back(const_cast<char *>(options.program.c_str()));
    for (const std::string &arg : options.args) {
        args.push_back(const_cast<char *>(arg.c_str()));
    }
    args.push_back(nullptr);
    for (const auto &[name, value] : options.env) {
        setenv(name.c_str(), value.c_str(), 1);
    }
    Limit(RLIMIT_NOFILE, options.files_max);
    Limit(RLIMIT_DATA, options.data_max);
    execv(options.program.c_str(), args.data());
    _exit(kExecFailed);
}

} // namespace

bool
Eventually(const std::function<bool()> &condition, Millis limit)
{
    auto end = Clock::now() + limit;
    while (!condition()) {
        if (Clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(kPollInterval);
    }
    return true;
}

// Bound and not listened on: the system passes over the port when it picks
// one, and a program that also sets SO_REUSEADDR can listen on it.
HeldPort::HeldPort()
{
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    struct sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t len = sizeof(address);
    auto *generic = reinterpret_cast<struct sockaddr *>(&address);
    if (setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) != 0 ||
        bind(fd_, generic, len) != 0 || getsockname(fd_, generic, &len) != 0) {
        close(fd_);
        throw std::runtime_error("no free port on loopback");
    }
    number_ = ntohs(address.sin_port);
}

HeldPort::~HeldPort()
{
    close(fd_);
}

std::string
Program(const std::string &name)
{
    return std::string(CG_BIN_DIR) + "/" + name;
}

RunResult
Run(const std::string &program, const std::vector<std::string> &args,
    const std::map<std::string, std::string> &env)
{
    ProcessOptions options;
    options.program = program;
    options.args = args;
    options.env = env;
    options.wait_ready = false;
    Process process(options);
    RunResult result;
    result.out = process.ReadOut();
    result.status = process.WaitExit();
    result.error = process.Stderr();
    return result;
}

Process::Process(const ProcessOptions &options)
    : program_(options.program), error_path_(ErrorPath(options.program))
{
    Launch(options);
    if (!options.wait_ready) {
        return;
    }
    try {
        ReadReady(options.ready_limit);
    } catch (...) {
        Kill();
        close(out_);
        unlink(error_path_.c_str());
        throw;
    }
}

Process::~Process()
{
    Kill();
    close(out_);
    unlink(error_path_.c_str());
}

void
Process::Launch(const ProcessOptions &options)
{
    int ends[2];
    int error = open(error_path_.c_str(),
                     O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
    if (error < 0 || pipe2(ends, O_CLOEXEC) != 0) {
        throw std::runtime_error("cannot prepare " + options.program);
    }
    pid_ = fork();
    if (pid_ == 0) {
        Exec(options, ends[1], error);
    }
    close(error);
    close(ends[1]);
    out_ = ends[0];
    // What a test reads late may be much; the kernel may allow less.
    fcntl(out_, F_SETPIPE_SZ, kOutBytes);
    if (pid_ < 0) {
        throw std::runtime_error("cannot fork for " + options.program);
    }
}

void
Process::ReadReady(Millis limit)
{
    auto end = Clock::now() + limit;
    std::string text;
    while (text.find('\n') == std::string::npos) {
        auto left =
            std::chrono::duration_cast<Millis>(end - Clock::now()).count();
        struct pollfd poller = {out_, POLLIN, 0};
        char buffer[256];
        ssize_t got = 0;
        if (left > 0 && poll(&poller, 1, (int)left) > 0) {
            got = read(out_, buffer, sizeof(buffer));
        }
        if (got <= 0) {
            throw std::runtime_error(program_ + " did not say it is ready: " +
                                     text + ReadFile(error_path_));
        }
        text.append(buffer, (size_t)got);
    }
    std::istringstream words(text.substr(0, text.find('\n')));
    std::string word;
    while (words >> word) {
        size_t equals = word.find('=');
        if (equals != std::string::npos) {
            ready_[word.substr(0, equals)] =
                std::atoi(word.c_str() + equals + 1);
        }
    }
}

int
Process::Ready(const std::string &name) const
{
    auto at = ready_.find(name);
    return at != ready_.end() ? at->second : 0;
}

bool
Process::Reap(bool wait)
{
    if (exited_ || pid_ <= 0) {
        return true;
    }
    int status = 0;
    if (waitpid(pid_, &status, wait ? 0 : WNOHANG) == pid_) {
        exited_ = true;
        status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }
    return exited_;
}

bool
Process::Running()
{
    return !Reap(false);
}

void
Process::Kill()
{
    if (Running()) {
        kill(pid_, SIGKILL);
        Reap(true);
    }
}

void
Process::Term()
{
    if (Running()) {
        kill(pid_, SIGTERM);
    }
}

void
Process::Stop()
{
    if (Running()) {
        kill(pid_, SIGSTOP);
        int status = 0;
        waitpid(pid_, &status, WUNTRACED);
    }
}

void
Process::Cont()
{
    if (Running()) {
        kill(pid_, SIGCONT);
    }
}

int
Process::WaitExit(Millis limit)
{
    if (!Eventually([this] { return Reap(false); }, limit)) {
        throw std::runtime_error(program_ + " still runs");
    }
    return status_;
}

std::string
Process::ReadOut()
{
    char buffer[4096];
    ssize_t got;
    while ((got = read(out_, buffer, sizeof(buffer))) > 0) {
        out_text_.append(buffer, (size_t)got);
    }
    return out_text_;
}

std::string
Process::Stdout()
{
    struct pollfd poller = {out_, POLLIN, 0};
    char buffer[4096];
    ssize_t got = 1;
    while (got > 0 && poll(&poller, 1, 0) > 0) {
        got = read(out_, buffer, sizeof(buffer));
        out_text_.append(buffer, got > 0 ? (size_t)got : 0);
    }
    return out_text_;
}

std::string
Process::Stderr() const
{
    return ReadFile(error_path_);
}

double
Process::CpuSeconds() const
{
    std::string stat = ReadFile("/proc/" + std::to_string(pid_) + "/stat");
    size_t name_end = stat.rfind(')');
    if (name_end == std::string::npos) {
        return 0;
    }
    std::istringstream fields(stat.substr(name_end + 2));
    std::string skipped;
    for (int i = 0; i < 11; i++) {
        fields >> skipped;
    }
    long user = 0;
    long system = 0;
    fields >> user >> system;
    return (double)(user + system) / (double)sysconf(_SC_CLK_TCK);
}

long
Process::RssKilobytes() const
{
    std::istringstream fields(
        ReadFile("/proc/" + std::to_string(pid_) + "/statm"));
    long size = 0;
    long resident = 0;
    fields >> size >> resident;
    return resident * (sysconf(_SC_PAGESIZE) / 1024);
}

long
Process::PeakKilobytes() const
{
    const std::string name = "VmHWM:";
    std::string status = ReadFile("/proc/" + std::to_string(pid_) + "/status");
    size_t at = status.find(name);
    return at == std::string::npos
               ? 0
               : std::atol(status.c_str() + at + name.size());
}

size_t
Process::OpenFiles() const
{
    std::string folder = "/proc/" + std::to_string(pid_) + "/fd";
    DIR *dir = opendir(folder.c_str());
    size_t count = 0;
    struct dirent *entry;
    while (dir != nullptr && (entry = readdir(dir)) != nullptr) {
        count += entry->d_name[0] != '.';
    }
    if (dir != nullptr) {
        closedir(dir);
    }
    return count;
}

} // namespace cg
