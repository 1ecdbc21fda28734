package operator

import (
	"context"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Metrics returns the metrics of the first entry host that replies. The keys are
// the names without the prefix "laburnumpass_" and with the labels as printed.
// Metrics returns an error if no host replies or a line is not a sample.
func (c *Client) Metrics(ctx context.Context) (map[string]float64, error) {
	var text string
	if err := c.call(ctx, request{path: "/metrics", reply: &text}); err != nil {
		return nil, err
	}
	out := make(map[string]float64)
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		i := strings.LastIndexByte(line, ' ')
		if i < 0 {
			return nil, errors.Errorf("line %q of the metrics is not a sample with a value", line)
		}
		value, err := strconv.ParseFloat(line[i+1:], 64)
		if err != nil {
			return nil, errors.Wrapf(err, "parse value in line %q of the metrics", line)
		}
		out[strings.TrimPrefix(line[:i], "laburnumpass_")] = value
	}
	return out, nil
}
