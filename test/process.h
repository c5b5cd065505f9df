// Child processes for tests: started with a path, told ready by a line
// "ready name=N ..." on standard output, ended by their id.
#ifndef TEST_PROCESS_H
#define TEST_PROCESS_H

#include <sys/types.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "test/http.h"

namespace cg {

// Waits until the condition holds; false when it does not within the limit.
bool Eventually(const std::function<bool()> &condition,
                Millis limit = Millis(20000));

// A port that no other process is given while this lives, whether or not
// somebody listens on it: who calls it meets the program it was chosen for,
// or nobody.
class HeldPort {
  public:
    HeldPort();
    ~HeldPort();
    HeldPort(const HeldPort &) = delete;
    HeldPort &operator=(const HeldPort &) = delete;

    int
    number() const
    {
        return number_;
    }

  private:
    int fd_ = -1;
    int number_ = 0;
};

// The path of a program of this build, e.g. "standins/standin_engine".
std::string Program(const std::string &name);

struct RunResult {
    int status = -1; // exit status, -N for signal N
    std::string out;
    std::string error;
};

// Runs a program to its end, e.g. cornelctl.
RunResult Run(const std::string &program, const std::vector<std::string> &args,
              const std::map<std::string, std::string> &env = {});

struct ProcessOptions {
    std::string program; // path
    std::vector<std::string> args;
    std::map<std::string, std::string> env; // besides the test's own
    bool wait_ready = true;
    Millis ready_limit{20000};
    size_t files_max = 0; // descriptors it may open; 0: as the test may
    size_t data_max = 0;  // bytes it may allocate; 0: any
};

class Process {
  public:
    // Starts the program and waits for its "ready" line; throws without one.
    // Without "wait_ready" it does not wait.
    // Call it on a thread that outlives the child: the kernel ends the child
    // with the thread that started it.
    explicit Process(const ProcessOptions &options);
    // Kills the child if it still runs.
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    // A number of the "ready" line, 0 when it was not there.
    int Ready(const std::string &name) const;
    pid_t
    pid() const
    {
        return pid_;
    }
    bool Running();
    void Kill(); // and wait
    void Term();
    void Stop(); // SIGSTOP; returns once the child is stopped
    void Cont();
    // Exit status, -N for signal N; throws when it still runs at the limit.
    int WaitExit(Millis limit = Millis(20000));
    // Everything on standard output after the "ready" line, to its end.
    std::string ReadOut();
    // The same as far as it was written by now.
    std::string Stdout();
    std::string Stderr() const;
    // Processor time so far, and resident memory, as the kernel says.
    double CpuSeconds() const;
    long RssKilobytes() const;
    long PeakKilobytes() const; // the most resident memory so far
    size_t OpenFiles() const;

  private:
    void Launch(const ProcessOptions &options);
    void ReadReady(Millis limit);
    bool Reap(bool wait);

    pid_t pid_ = -1;
    int out_ = -1;
    std::string out_text_; // read so far
    bool exited_ = false;
    int status_ = 0;
    std::string program_;
    std::string error_path_;
    std::map<std::string, int> ready_;
};

} // namespace cg

#endif
