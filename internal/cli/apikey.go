package cli

import (
	"io/fs"
	"os"
	"strings"

	"github.com/pkg/errors"
)

const (
	// apiKeyVariable is the environment variable with the caller's API key.
	apiKeyVariable = "LABURNUMPASS_API_KEY"
	// maxAPIKeyBytes is less than the size of a request's header on entry hosts.
	maxAPIKeyBytes = 8 << 10
)

// apiKeyFlag selects the API key that is sent to a queue. The key itself is never a
// value on the command line, which other users of the machine can list and which
// shells keep in their history.
type apiKeyFlag struct {
	KeyFile string `help:"File with the API key of the caller's team. Without it, the key is the value of LABURNUMPASS_API_KEY, if set." placeholder:"FILE"`
}

// read returns the API key, empty if there is none. Its errors do not contain the key,
// nor the name of a file that cannot be opened, which may be a key by mistake.
func (f *apiKeyFlag) read() (string, error) {
	key, source := os.Getenv(apiKeyVariable), "the environment variable "+apiKeyVariable
	if f.KeyFile != "" {
		file, err := os.Open(f.KeyFile)
		if err != nil {
			var cause *fs.PathError
			if errors.As(err, &cause) {
				err = cause.Err
			}
			return "", errors.Wrap(err, "open the file at --key-file")
		}
		defer func() { _ = file.Close() }()
		content, err := readLimited(file, maxAPIKeyBytes)
		if err != nil {
			return "", errors.Wrap(err, "read the API key")
		}
		key, source = strings.TrimRight(string(content), "\r\n"), "the file at --key-file"
		if key == "" {
			return "", errors.Errorf("%s contains no API key", source)
		}
	}
	if len(key) > maxAPIKeyBytes || strings.ContainsFunc(key, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return "", errors.Errorf("%s does not contain an API key, which is one line of visible ASCII characters", source)
	}
	return key, nil
}
