package e2e

import (
	"os/exec"
	"syscall"
)

// endWithTest makes the system kill a process when the test's own process ends,
// also when that is killed. An entry host left behind takes the workers of later
// tests, whose stand-ins may get the ports of its own.
func endWithTest(cmd *exec.Cmd) {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
