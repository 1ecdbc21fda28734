package entryhost

import (
	"github.com/laburnumpass/laburnumpass/internal/platform/httphosts"
	"github.com/laburnumpass/laburnumpass/internal/platform/httplog"
	"github.com/laburnumpass/laburnumpass/internal/settings"
	"github.com/laburnumpass/laburnumpass/internal/worker"
	"github.com/laburnumpass/laburnumpass/internal/worker/httpworker"
)

// Connect returns the HTTP clients of the platform's services.
func Connect(s settings.Settings) Platform {
	return Platform{
		Log:   httplog.New(s.Platform.Log, httplog.Options{}),
		Hosts: httphosts.New(s.Platform.HostList, httphosts.Options{MaxConns: maxHostListReads}),
		Dial: func(info worker.Info) worker.Worker {
			return workerClient{httpworker.New(info, httpworker.Options{})}
		},
	}
}

// workerClient adapts httpworker.Client to io.Closer, so that the holder closes the
// connections to a worker that is gone.
type workerClient struct{ *httpworker.Client }

// Close implements io.Closer.
func (c workerClient) Close() error {
	c.Client.Close()
	return nil
}
