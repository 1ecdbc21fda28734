package cli

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/settings"
	"github.com/laburnumpass/laburnumpass/samples"
)

// TestValidate guards against errors that validate does not find, which would
// then pass a check in version control, and against reporting only the first
// error.
func TestValidate(t *testing.T) {
	dir := t.TempDir()
	write := func(name, content string) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
		return path
	}
	laptop, err := samples.Settings("laptop")
	require.NoError(t, err)
	var s map[string]any
	require.NoError(t, json.Unmarshal(laptop, &s))
	s["log_level"], s["colour"] = 9, "red"
	s["limits"].(map[string]any)["drain_seconds"] = "long"
	unreadable, err := json.Marshal(s)
	require.NoError(t, err)
	delete(s, "colour")
	delete(s, "limits")
	s["host"] = "other"
	outOfRange, err := json.Marshal(s)
	require.NoError(t, err)
	bad := configurationDir(t, map[string]string{
		"quotas/sales.json":     `{"slots": 0, "weight": 0, "x": 1}`,
		"profiles/batch.json":   "",
		"services/Wrong_.json":  `{}`,
		"profiles/urgent.json~": "not read",
	})
	placeholders := map[string]string{"SAMPLES": samplesDir, "BAD": bad, "DIR": dir,
		"UNREADABLE": write("unreadable.json", string(unreadable)), "RANGE": write("range.json", string(outOfRange)),
		"TRUNCATED": write("truncated.json", "{"), "LAPTOP": write("laptop.json", string(laptop))}
	runTable(t, placeholders, []commandCase{
		{name: "valid", line: "validate LAPTOP SAMPLES", stdout: []string{"valid"}},
		{name: "valid as JSON", line: "validate SAMPLES --output json", stdout: []string{`"valid": true`, `"findings": []`}},
		{name: "out of range", line: "validate LAPTOP RANGE", code: exitFailed,
			stdout: []string{"host", `is "other", which is not in entry_hosts`, "log_level", "is 9; allowed are 0 to 2"}},
		{name: "unreadable keys", line: "validate UNREADABLE", code: exitFailed,
			stdout: []string{"colour", "an unknown key", "limits.drain_seconds", "an integer", "log_level"}},
		{name: "truncated file", line: "validate TRUNCATED", code: exitFailed, stdout: []string{"valid JSON"}},
		{name: "missing file", line: "validate DIR/none.json", code: exitFailed, stdout: []string{"no such file"}},
		{name: "no configuration", line: "validate DIR", code: exitFailed, stdout: []string{"has none of the directories"}},
		{name: "configuration", line: "validate BAD --output json", code: exitFailed, stdout: []string{
			`"object": "quota/sales"`, `"field": "slots"`, `"field": "weight"`, `"field": "x"`,
			`"object": "service/batch"`, `"field": "profile"`, `"object": "service/Wrong_"`, `"field": "name"`}},
	})
}

// TestParseError guards against settingsFindings returning an empty list for a
// file that settings.Parse rejects.
func TestParseError(t *testing.T) {
	path := filepath.Join(t.TempDir(), "twice.json")
	require.NoError(t, os.WriteFile(path, []byte(`{} {}`), 0o600))
	_, err := settings.ReadFile(path)
	require.Error(t, err)
	require.NotEmpty(t, validatePath(path))
}
