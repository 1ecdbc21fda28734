package cli

import (
	"context"

	"github.com/laburnumpass/laburnumpass/api"
)

type cancelCmd struct {
	callerFlags
	ID string `arg:"" name:"id" help:"Request ID."`
}

// Help implements kong's extended help.
func (cancelCmd) Help() string {
	return `Cancels a request and prints its outcome, which is "answered" or "unknown" if it
had begun. Exits with 0 if it was cancelled before it ran or had been answered,
with 1 if it was not run for another reason or its task failed, and with 4 if its
outcome is not known.

Example:

  laburnumpass cancel fd-a/01980f6e-5a00-7000-8000-000000000000`
}

// Run implements the command.
func (c *cancelCmd) Run(g *globals) error {
	if _, err := api.ParseID(c.ID); err != nil {
		return asUsageError(err)
	}
	cancelled := false
	err := withClient(g, c.callerFlags, func(ctx context.Context, client *api.Client, _ string) (resp api.Response, err error) {
		err = g.withProgress("cancelling request "+c.ID, func() (err error) {
			resp, err = client.Cancel(ctx, c.ID)
			return err
		})
		cancelled = err == nil && resp.Outcome == api.NotRun && resp.Reason == api.ReasonCancelled
		return resp, err
	})
	if cancelled && err == errFailed {
		return nil
	}
	return err
}
