package cli

import (
	"strings"

	"github.com/laburnumpass/laburnumpass/internal/bench"
)

type benchCmd struct {
	Part []string `help:"Measure only these parts." short:"p"`
	Seed uint64   `help:"Seed of the generated input." default:"1"`
}

// Help implements kong's extended help.
func (benchCmd) Help() string {
	names := make([]string, 0, len(bench.Parts()))
	for _, part := range bench.Parts() {
		names = append(names, part.Name)
	}
	return `Measures the system in this process and prints one figure a line as
"figure <name> <value> <unit>". Parts: ` + strings.Join(names, ", ") + `.

Example:

  laburnumpass bench --part records --part takeover`
}

// Run implements the command.
func (c *benchCmd) Run(g *globals) error {
	return bench.Run(g.ctx, g.stdout, c.Part, c.Seed)
}
