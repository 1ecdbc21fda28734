package cli

import (
	"fmt"
	"io"

	"github.com/laburnumpass/laburnumpass/internal/contract"
)

type listCmd struct {
	operatorFlags
	Kind string `help:"Only objects of this kind: ${enum}." enum:"all,profile,service,quota" default:"all"`
}

// Help implements kong's extended help.
func (listCmd) Help() string {
	return `Lists the profiles, services and quotas in force with their versions, which are
offsets in the platform's log.

Example:

  laburnumpass list --kind quota`
}

// Run implements the command.
func (c *listCmd) Run(g *globals) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	defer client.Close()
	listing, err := currentConfig(g, client)
	if err != nil {
		return err
	}
	var objects []contract.Object
	for _, o := range listing.Objects {
		if c.Kind == "all" || c.Kind == string(o.Kind) {
			objects = append(objects, o)
		}
	}
	listing.Objects = nonNil(objects)
	return g.print(listing, func(w io.Writer) {
		var rows [][]string
		for _, o := range listing.Objects {
			rows = append(rows, []string{string(o.Kind), o.Name, fmt.Sprint(o.Version), string(o.Value)})
		}
		writeTable(w, "KIND NAME VERSION VALUE", rows)
		fmt.Fprintf(w, "applied offset: %d\n", listing.Offset)
	})
}
