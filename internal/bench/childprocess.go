package bench

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// procClockTick is the unit of processor time in /proc.
const procClockTick = 10 * time.Millisecond

// stopTimeout is how long a process may take to exit after its context is
// cancelled, before it is killed.
const stopTimeout = 5 * time.Second

// childProcess is a daemon in a process of its own, so that its processor time and
// memory can be measured separately from those of its peers.
type childProcess struct {
	cmd     *exec.Cmd
	address string
}

// startChildProcess runs this program with a role's command on a free loopback
// port.
func startChildProcess(ctx context.Context, role string, args ...string) (*childProcess, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	c := &childProcess{address: address}
	c.cmd = exec.CommandContext(ctx, program, append([]string{role, "--listen", address}, args...)...)
	c.cmd.Cancel = func() error { return c.cmd.Process.Signal(syscall.SIGTERM) }
	c.cmd.WaitDelay = stopTimeout
	// The kernel kills the child when the bench itself is killed.
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return c, c.cmd.Start()
}

// stop sends SIGTERM and waits for the process to exit.
func (c *childProcess) stop() {
	_ = c.cmd.Process.Signal(syscall.SIGTERM)
	_ = c.cmd.Wait()
}

// freeAddress returns a loopback address that nothing listens on at present.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// waitListening waits until the process accepts connections.
func (c *childProcess) waitListening() error {
	for end := time.Now().Add(linkTimeout); time.Now().Before(end); time.Sleep(settleDelay / 10) {
		conn, err := net.Dial("tcp", c.address)
		if err == nil {
			return conn.Close()
		}
	}
	return fmt.Errorf("%s does not accept connections", c.address)
}

var errProcStat = errors.New("malformed stat file in /proc")

// cpu returns the processor time that the process has used.
func (c *childProcess) cpu() (time.Duration, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	// The process name in parentheses may contain spaces; user and system time are
	// the 12th and 13th field after it.
	_, rest, _ := strings.Cut(string(content), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0, errProcStat
	}
	user, err := strconv.ParseInt(fields[11], 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * procClockTick, err
}

// memory returns the process's resident memory and its peak, in bytes.
func (c *childProcess) memory() (resident, peak float64, err error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.cmd.Process.Pid))
	if err != nil {
		return 0, 0, err
	}
	values := make(map[string]float64)
	for line := range strings.Lines(string(content)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[2] == "kB" {
			kilobytes, err := strconv.ParseFloat(fields[1], 64)
			if err != nil {
				return 0, 0, err
			}
			values[fields[0]] = kilobytes * 1024
		}
	}
	return values["VmRSS:"], values["VmHWM:"], nil
}

// childrenCPU returns the total processor time of the children.
func childrenCPU(children []*childProcess) (time.Duration, error) {
	var sum time.Duration
	for _, c := range children {
		used, err := c.cpu()
		if err != nil {
			return 0, err
		}
		sum += used
	}
	return sum, nil
}

// childrenCPUUsage returns the processor time that the children use per second over
// a period.
func childrenCPUUsage(children []*childProcess, period time.Duration) (float64, error) {
	began := time.Now()
	before, err := childrenCPU(children)
	if err != nil {
		return 0, err
	}
	time.Sleep(period)
	after, err := childrenCPU(children)
	return (after - before).Seconds() / time.Since(began).Seconds(), err
}
