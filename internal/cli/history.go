package cli

import (
	"fmt"
	"io"

	"github.com/laburnumpass/laburnumpass/internal/contract"
)

type historyCmd struct {
	operatorFlags
	Kind string `arg:"" help:"Kind of the object: ${enum}." enum:"profile,service,quota"`
	Name string `arg:"" help:"Name of the object."`
}

// Help implements kong's extended help.
func (historyCmd) Help() string {
	return `Lists the last five changes of an object, the oldest first, with their authors.
Exits with 1 if the object never existed or its history is no longer kept.

Example:

  laburnumpass history profile urgent`
}

// Run implements the command.
func (c *historyCmd) Run(g *globals) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	defer client.Close()
	var changes []contract.Change
	if err := g.withProgress("requesting the history", func() (err error) {
		changes, err = client.History(g.ctx, contract.Kind(c.Kind), c.Name)
		return err
	}); err != nil {
		return err
	}
	if err := g.print(nonNil(changes), func(w io.Writer) { historyTable(w, changes) }); err != nil {
		return err
	}
	if len(changes) == 0 {
		g.progress("there is no history of %s/%s", c.Kind, c.Name)
		return errFailed
	}
	return nil
}

func historyTable(w io.Writer, changes []contract.Change) {
	var rows [][]string
	for _, ch := range changes {
		value := string(ch.Value)
		if ch.Deleted() {
			value = "deleted"
		}
		rows = append(rows, []string{fmt.Sprint(ch.Offset), ch.Author, ch.Comment, value})
	}
	writeTable(w, "VERSION AUTHOR COMMENT VALUE", rows)
}
