package cli

import (
	"fmt"
	"io"

	"github.com/laburnumpass/laburnumpass/internal/operator"
)

type diffCmd struct {
	operatorFlags
	Dir string `arg:"" help:"Directory with profiles, services and quotas." type:"existingdir"`
}

// Help implements kong's extended help.
func (diffCmd) Help() string {
	return `Compares a directory with the configuration in force, field by field. Objects
that are in force but not in the directory are shown as deletes. Exits with 0 if
both are equal and with 1 if they differ or the directory is not valid.

Example:

  laburnumpass diff samples/configuration`
}

// Run implements the command.
func (c *diffCmd) Run(g *globals) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	defer client.Close()
	listing, err := currentConfig(g, client)
	if err != nil {
		return err
	}
	changes, err := compareWithDir(listing, c.Dir, true)
	if err != nil {
		return err
	}
	if err := g.print(nonNil(changes), func(w io.Writer) { changesTable(w, changes) }); err != nil {
		return err
	}
	if len(changes) > 0 {
		return errFailed
	}
	return nil
}

func currentConfig(g *globals, client *operator.Client) (operator.ConfigListing, error) {
	var listing operator.ConfigListing
	err := g.withProgress("requesting the configuration in force", func() (err error) {
		listing, err = client.Config(g.ctx)
		return err
	})
	return listing, err
}

func changesTable(w io.Writer, changes []change) {
	if len(changes) == 0 {
		fmt.Fprintln(w, "no differences")
		return
	}
	var rows [][]string
	for _, ch := range changes {
		rows = append(rows, []string{ch.Action, string(ch.Kind), ch.Name, formatNonZero(ch.Version), ch.fields()})
	}
	writeTable(w, "ACTION KIND NAME VERSION FIELDS", rows)
}

// nonNil replaces a nil list by an empty one, which encodes to JSON as [] rather
// than null.
func nonNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}
