package cli

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/settings"
	"github.com/laburnumpass/laburnumpass/samples"
)

type settingsCmd struct {
	Sample string `help:"Print this sample instead of the defaults: ${samples}." enum:"none,${samples}" default:"none"`
}

// Help implements kong's extended help.
func (settingsCmd) Help() string {
	return `Prints the settings of an entry host as JSON: every key with its default, where
keys without a default are empty, or a complete sample to start from.

Example:

  laburnumpass settings --sample laptop`
}

// sampleNames lists the samples as kong's enum takes them.
func sampleNames() string { return strings.Join(samples.Names(), ",") }

// Run implements the command.
func (c *settingsCmd) Run(g *globals) error {
	if c.Sample != "none" {
		data, err := samples.Settings(c.Sample)
		if err != nil {
			return err
		}
		_, err = g.stdout.Write(data)
		return errors.Wrap(err, "write output")
	}
	enc := json.NewEncoder(g.stdout)
	enc.SetIndent("", "  ")
	s := settings.Default()
	s.EntryHosts = []settings.EntryHost{}
	return errors.Wrap(enc.Encode(s), "write output")
}
