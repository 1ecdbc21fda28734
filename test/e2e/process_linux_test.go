package e2e

import (
	"os/exec"
	"syscall"
)

// killWithTest makes the kernel kill a process when the test's own process ends,
// even if that one is killed. A leftover entry host would take the workers of later
// tests, since their simulated workers may get the ports of its former ones.
func killWithTest(cmd *exec.Cmd) {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
