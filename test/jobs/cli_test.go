package jobs

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/cli"
)

// command runs the command line and returns its exit code and output.
func command(args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = cli.Main(args, &out, &errs)
	return code, out.String(), errs.String()
}

// The command line must follow a job from its submission to its end, and its
// exit code must say whether anything has happened.
func TestCommandLine(t *testing.T) {
	d := newDeployment(t, 3, 2)
	file := filepath.Join(t.TempDir(), "job.json")
	job, err := json.Marshal(api.Job{Payload: "p", Steps: []api.Step{{Count: 2, MilliCPU: 1000, LongRunning: true}}})
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(file, job, 0o600))
	queue := []string{"-a", d.hosts[0].CallerAddress, "--queue-host", queueHost, "--prefix", queuePath}
	entry := []string{"-e", d.hosts[1].ReadinessAddress}

	code, _, errs := command(append([]string{"job", "submit", "--id", id(7), file}, queue...)...)
	require.Zero(t, code, errs)
	d.untilState(id(7), "running")
	for _, c := range []struct {
		name  string
		args  []string
		code  int
		shown []string
	}{
		{"state", append([]string{"job", "status", id(7)}, queue...), 0, []string{id(7), "running"}},
		{"steps, tasks and workers", append([]string{"job", "show", id(7)}, entry...), 0, []string{service, "host-", id(7) + ".0.0.1", "active", "w"}},
		{"time line", append([]string{"job", "timeline", id(7)}, entry...), 0, []string{"accepted", "task_started"}},
		{"who schedules", append([]string{"job", "services"}, entry...), 0, []string{service, d.hosts[d.scheduler()].Host}},
		{"count", append([]string{"job", "pending"}, queue...), 0, []string{"0"}},
		{"unknown job", append([]string{"job", "status", id(8)}, queue...), 1, nil},
		{"view of an unknown job", append([]string{"job", "show", id(8)}, entry...), 1, nil},
		{"unknown queue", []string{"job", "submit", file, "-a", d.hosts[0].CallerAddress, "--queue-host", "none.example"}, 1, nil},
		{"not a job", append([]string{"job", "submit", os.DevNull}, queue...), 2, nil},
		{"nobody there", []string{"job", "services", "-e", d.network.Address(9, readinessPort)}, 3, nil},
		{"cancel", append([]string{"job", "cancel", id(7)}, queue...), 0, []string{id(7)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			code, out, errs := command(c.args...)
			require.Equal(t, c.code, code, "%s%s", out, errs)
			for _, text := range c.shown {
				require.Contains(t, out, text)
			}
		})
	}
	d.untilState(id(7), "cancelled")
}
