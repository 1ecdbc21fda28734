package cli

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/samples"
)

// TestDev guards against a development cell that does not run on the addresses
// of its settings file, and against a port in use that is reported only as a
// cell that does not become ready.
func TestDev(t *testing.T) {
	laptop, err := samples.Settings("laptop")
	require.NoError(t, err)
	network := fmt.Sprintf("127.%d.%d.", 2+rand.IntN(253), rand.IntN(256))
	path := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(path, []byte(strings.ReplaceAll(string(laptop), "127.0.0.", network)), 0o600))

	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	out, stdoutWriter := io.Pipe()
	var stderr bytes.Buffer
	code := make(chan int, 1)
	go func() {
		code <- run(globals{ctx: ctx, stdout: stdoutWriter, stderr: &stderr}, []string{"dev", "--settings", path})
		_ = stdoutWriter.Close()
	}()
	var printed strings.Builder
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		printed.WriteString(lines.Text() + "\n")
		if strings.HasPrefix(lines.Text(), "export LABURNUMPASS_TOKEN=") {
			break
		}
	}
	for _, text := range []string{"fd-c-2: callers " + network + "6:7101", "LABURNUMPASS_OPERATOR=" + network + "1:7103,"} {
		require.Contains(t, printed.String(), text, stderr.String())
	}
	for _, name := range []string{"dev", "standins"} {
		second := runLine(t, "", name+" --settings PATH", map[string]string{"PATH": path})
		require.Equal(t, exitFailed, second.code, name)
		require.Contains(t, second.stderr, "address of the settings is in use", name)
		require.Contains(t, second.stderr, network+"1:7201", name)
	}
	stop()
	var rest strings.Builder
	for lines.Scan() {
		rest.WriteString(lines.Text())
	}
	require.Equal(t, exitOK, <-code, stderr.String())
	require.Contains(t, rest.String(), "violations in the workers' journals: 0")
}
