//go:build !linux

package e2e

import "os/exec"

// killWithTest does nothing: the parent-death signal is a Linux feature.
func killWithTest(*exec.Cmd) {}
