package cli

import (
	"io"
	"maps"
	"slices"

	"github.com/laburnumpass/laburnumpass/internal/operator"
)

type hostsCmd struct {
	operatorFlags
}

// Help implements kong's extended help.
func (hostsCmd) Help() string {
	return `Lists the entry hosts with their states. A host knows the applied configuration
offset only of itself: give the operators' addresses of all entry hosts to see
all. A host that was not asked is "live" or "not live" as its own failure domain
sees it, or else "reachable" or "not heard from".

Example:

  laburnumpass hosts`
}

// Run implements the command.
func (c *hostsCmd) Run(g *globals) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	defer client.Close()
	merged := make(map[string]operator.HostStatus)
	if err := queryAll(g, client, "entry hosts", func(one *operator.Client) error {
		hosts, err := one.Hosts(g.ctx)
		for _, h := range hosts {
			if known, ok := merged[h.Name]; !ok || hostRank(h) > hostRank(known) {
				merged[h.Name] = h
			}
		}
		return err
	}); err != nil {
		return err
	}
	var hosts []operator.HostStatus
	for _, name := range slices.Sorted(maps.Keys(merged)) {
		hosts = append(hosts, merged[name])
	}
	return g.print(nonNil(hosts), func(w io.Writer) { hostsTable(w, hosts) })
}

// hostRank ranks a report about a host by how much its sender knows. A report by
// the host itself ranks highest, then one from its own failure domain, then one
// from another failure domain that hears from it, then any other. A report by the
// host itself is recognized by its configuration offset or by the state joining or
// leaving, which no other host reports about it.
func hostRank(h operator.HostStatus) int {
	switch {
	case h.ConfigOffset > 0 || h.State == "joining" || h.State == "leaving":
		return 3
	case h.State == "live" || h.State == "not live":
		return 2
	case h.State == "reachable":
		return 1
	}
	return 0
}

func hostsTable(w io.Writer, hosts []operator.HostStatus) {
	var rows [][]string
	for _, h := range hosts {
		rows = append(rows, []string{h.Name, h.Region, h.FailureDomain, h.State, formatNonZero(h.ConfigOffset)})
	}
	writeTable(w, "NAME REGION FAILURE_DOMAIN STATE CONFIG_OFFSET", rows)
}
