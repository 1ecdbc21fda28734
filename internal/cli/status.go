package cli

import (
	"context"

	"github.com/laburnumpass/laburnumpass/api"
)

type statusCmd struct {
	callerFlags
	ID string `arg:"" name:"id" help:"Request ID."`
}

// Help implements kong's extended help.
func (statusCmd) Help() string {
	return `Prints the outcome of a request. Exits with 0 if it was answered, with 1 if it was
not run or its task failed, and with 4 while it is pending or its outcome is not
known.

Example:

  laburnumpass status fd-a/01980f6e-5a00-7000-8000-000000000000`
}

// Run implements the command.
func (c *statusCmd) Run(g *globals) error {
	if _, err := api.ParseID(c.ID); err != nil {
		return asUsageError(err)
	}
	return withClient(g, c.callerFlags, func(ctx context.Context, client *api.Client, _ string) (resp api.Response, err error) {
		err = g.withProgress("requesting the outcome of "+c.ID, func() (err error) {
			resp, err = client.Status(ctx, c.ID)
			return err
		})
		return resp, err
	})
}
