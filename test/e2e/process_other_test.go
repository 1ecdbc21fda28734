//go:build !linux

package e2e

import "os/exec"

func endWithTest(*exec.Cmd) {}
