package entryhost

import (
	"github.com/laburnumpass/laburnumpass/internal/platform/httphosts"
	"github.com/laburnumpass/laburnumpass/internal/platform/httplog"
	"github.com/laburnumpass/laburnumpass/internal/settings"
	"github.com/laburnumpass/laburnumpass/internal/worker"
	"github.com/laburnumpass/laburnumpass/internal/worker/httpworker"
)

// Connect returns the way to the platform's services over HTTP.
func Connect(s settings.Settings) Platform {
	return Platform{
		Log:   httplog.New(s.Platform.Log, httplog.Options{}),
		Hosts: httphosts.New(s.Platform.HostList, httphosts.Options{MaxConns: maxHostListReads}),
		Dial: func(info worker.Info) worker.Worker {
			return workerClient{httpworker.New(info, httpworker.Options{})}
		},
	}
}

// workerClient lets the holder close the connections of a worker that is gone.
type workerClient struct{ *httpworker.Client }

// Close implements io.Closer.
func (c workerClient) Close() error {
	c.Client.Close()
	return nil
}
