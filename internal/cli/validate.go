package cli

import (
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/settings"
)

type validateCmd struct {
	Paths []string `arg:"" name:"path" help:"Settings files, or directories with profiles, services and quotas." type:"path"`
}

// Help implements kong's extended help.
func (validateCmd) Help() string {
	return `Checks files without a running system and lists every error with its field.
A file is read as the settings of an entry host, a directory as a configuration
with profiles/*.json, services/*.json and quotas/*.json. Exits with 0 if all are
valid and with 1 otherwise, so that it can serve as a check in version control.

Example:

  laburnumpass validate samples/laptop.json samples/configuration`
}

// finding is one error in a settings file or a configuration directory.
type finding struct {
	Path string `json:"path"`
	// Object is "<kind>/<name>" in a configuration.
	Object  string `json:"object,omitempty"`
	Field   string `json:"field,omitempty"`
	Problem string `json:"problem"`
}

// validation is the output of validate.
type validation struct {
	Valid    bool      `json:"valid"`
	Findings []finding `json:"findings"`
}

// Run implements the command.
func (c *validateCmd) Run(g *globals) error {
	out := validation{Findings: []finding{}}
	for _, path := range c.Paths {
		out.Findings = append(out.Findings, validatePath(path)...)
	}
	out.Valid = len(out.Findings) == 0
	if err := g.print(out, out.table); err != nil {
		return err
	}
	if !out.Valid {
		return errFailed
	}
	return nil
}

func (v validation) table(w io.Writer) {
	if v.Valid {
		fmt.Fprintln(w, "valid")
		return
	}
	var rows [][]string
	for _, f := range v.Findings {
		rows = append(rows, []string{f.Path, f.Object, f.Field, f.Problem})
	}
	writeTable(w, "PATH OBJECT FIELD PROBLEM", rows)
}

func validatePath(path string) []finding {
	info, err := os.Stat(path)
	if err == nil {
		if info.IsDir() {
			_, err = loadDir(path)
		} else {
			return settingsFindings(path)
		}
	}
	return findings(path, err)
}

// settingsFindings checks a settings file. settings.Parse stops at the first key
// that can't be decoded, whereas settingsFindings returns all such keys together
// with the values that are out of range.
func settingsFindings(path string) []finding {
	data, err := os.ReadFile(path)
	if err != nil {
		return findings(path, err)
	}
	_, err = settings.Parse(data)
	var fields settings.FieldErrors
	if err == nil || errors.As(err, &fields) {
		return findings(path, err)
	}
	s := settings.Default()
	unreadable := contract.DecodeStrict(data, &s)
	if len(unreadable) == 0 {
		return findings(path, err)
	}
	out := findings(path, &contract.ValidationError{Fields: unreadable})
	if unreadable[0].Path == "" {
		return out
	}
	seen := make(map[string]bool)
	for _, f := range unreadable {
		seen[f.Path] = true
	}
	for _, f := range findings(path, s.Validate()) {
		if !seen[f.Field] {
			out = append(out, f)
		}
	}
	return out
}

// findings converts an error to findings, one for each invalid field; it returns
// none for nil.
func findings(path string, err error) []finding {
	var fields settings.FieldErrors
	var invalid *contract.ValidationError
	var out []finding
	switch {
	case err == nil:
	case errors.As(err, &fields):
		for _, f := range fields {
			out = append(out, finding{Path: path, Field: f.Path, Problem: f.Problem})
		}
	case errors.As(err, &invalid):
		for _, f := range invalid.Fields {
			out = append(out, finding{Path: path, Object: f.Object, Field: f.Path, Problem: problem(f)})
		}
	default:
		out = append(out, finding{Path: path, Problem: err.Error()})
	}
	return out
}

func problem(f contract.FieldError) string {
	if f.Value == "" {
		return "allowed: " + f.Allowed
	}
	return "is " + f.Value + "; allowed: " + f.Allowed
}

// loadDir reads a configuration directory. Unlike contract.LoadDir it returns an
// error if the directory has none of the three subdirectories, because that is
// more often a wrong path than an empty configuration.
func loadDir(dir string) (contract.ObjectSet, error) {
	for _, part := range []string{"profiles", "services", "quotas"} {
		_, err := os.Stat(filepath.Join(dir, part))
		if err == nil {
			return contract.LoadDir(dir)
		}
		if !errors.Is(err, fs.ErrNotExist) {
			return contract.ObjectSet{}, errors.WithStack(err)
		}
	}
	return contract.ObjectSet{}, errors.Errorf("%s has none of the directories profiles, services and quotas", dir)
}
