package cli

import (
	"github.com/alecthomas/kong"
	kongcompletion "github.com/jotaen/kong-completion"
)

type completionCmd struct {
	Shell string `arg:"" help:"Shell: ${enum}." enum:"bash,zsh,fish"`
}

// Help implements kong's extended help.
func (completionCmd) Help() string {
	return `Prints the code that turns on tab completion in a shell.

Example:

  source <(laburnumpass completion bash)`
}

// Run implements the command. The shell is a required argument, because the
// completion library would otherwise start a process to detect it.
func (c *completionCmd) Run(ctx *kong.Context) error {
	return (&kongcompletion.Completion{Shell: c.Shell, Code: true}).Run(ctx)
}
