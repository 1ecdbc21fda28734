// Package samples holds sample settings of entry hosts and a sample
// configuration.
package samples

import (
	"embed"
	"slices"

	"github.com/pkg/errors"
)

//go:embed laptop.json order-desk/*.json spares-desk/*.json
var files embed.FS

// paths leads from the name of a sample to its file.
var paths = map[string]string{
	"laptop":      "laptop.json",
	"order-desk":  "order-desk/innviertel-a-1.json",
	"spares-desk": "spares-desk/cornouaille-a-1.json",
}

// Names returns the names of the sample settings, sorted.
func Names() []string {
	names := make([]string, 0, len(paths))
	for name := range paths {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Settings returns sample settings as JSON. It returns an error for an unknown
// name.
func Settings(name string) ([]byte, error) {
	path, ok := paths[name]
	if !ok {
		return nil, errors.Errorf("there is no sample %q", name)
	}
	data, err := files.ReadFile(path)
	return data, errors.WithStack(err)
}
