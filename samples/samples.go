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

// pathByName maps the name of each sample to its settings file.
var pathByName = map[string]string{
	"laptop":      "laptop.json",
	"order-desk":  "order-desk/innviertel-a-1.json",
	"spares-desk": "spares-desk/cornouaille-a-1.json",
}

// Names returns the names of the sample settings, sorted.
func Names() []string {
	names := make([]string, 0, len(pathByName))
	for name := range pathByName {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Settings returns the named sample settings as JSON. It returns an error for an
// unknown name.
func Settings(name string) ([]byte, error) {
	path, ok := pathByName[name]
	if !ok {
		return nil, errors.Errorf("there is no sample %q", name)
	}
	data, err := files.ReadFile(path)
	return data, errors.WithStack(err)
}
