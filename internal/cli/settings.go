package cli

import (
	"encoding/json"
	"os"
	"strings"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/settings"
	"github.com/laburnumpass/laburnumpass/samples"
)

type settingsCmd struct {
	Sample string `help:"Print this sample instead of the defaults: ${samples}." enum:"none,${samples}" default:"none"`
	From   string `help:"Start from this settings file of an entry host." type:"existingfile"`
	Host   string `help:"Print the settings of this entry host of the same deployment, with --sample or --from."`
}

// Help implements kong's extended help.
func (settingsCmd) Help() string {
	return `Prints the settings of an entry host as JSON: every key with its default, where
keys without a default are empty, or a complete sample to start from. With --host
it makes the file of another entry host, which listens on the IP address of its
peer_address with the ports of the given file.

Examples:

  laburnumpass settings --sample laptop
  laburnumpass settings --from samples/laptop.json --host fd-b-1`
}

// sampleNames returns the names of the samples in the format of kong's enum tag.
func sampleNames() string { return strings.Join(samples.Names(), ",") }

// Run implements the command.
func (c *settingsCmd) Run(g *globals) error {
	var data []byte
	var err error
	switch {
	case c.From != "" && c.Sample != "none":
		return asUsageError(errors.New("--sample and --from can't be used together"))
	case c.From != "":
		data, err = os.ReadFile(c.From)
	case c.Sample != "none":
		data, err = samples.Settings(c.Sample)
	case c.Host != "":
		return asUsageError(errors.New("--host needs --sample or --from"))
	default:
		s := settings.Default()
		s.EntryHosts = []settings.EntryHost{}
		return printSettings(g, s)
	}
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	s, err := settings.Parse(data)
	if err != nil {
		return err
	}
	if c.Host != "" && c.Host != s.Host {
		if s, err = s.ForHost(c.Host); err != nil {
			return asUsageError(err)
		}
	}
	return printSettings(g, s)
}

func printSettings(g *globals, s settings.Settings) error {
	enc := json.NewEncoder(g.stdout)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(s), "write output")
}
