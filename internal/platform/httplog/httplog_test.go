package httplog_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/platform"
	"github.com/laburnumpass/laburnumpass/internal/platform/httphosts"
	"github.com/laburnumpass/laburnumpass/internal/platform/httplog"
)

// TestErrorTranslation guards against an append that may have taken effect being reported
// as one without effect, and the other way round.
func TestErrorTranslation(t *testing.T) {
	for _, test := range []struct {
		name    string
		refused bool
		status  int
		append  error
	}{
		{"connection refused", true, 0, platform.ErrUnavailable},
		{"malformed request", false, http.StatusBadRequest, platform.ErrUnavailable},
		{"server error", false, http.StatusInternalServerError, platform.ErrNoReply},
		{"service unavailable without code", false, http.StatusServiceUnavailable, platform.ErrNoReply},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(test.status) }))
			defer s.Close()
			address := s.Listener.Addr().String()
			if test.refused {
				address = "127.0.0.1:1" // nothing listens on it
			}
			log := httplog.New(address, httplog.Options{})
			defer log.Close()
			_, err := log.Append(t.Context(), nil)
			require.ErrorIs(t, err, test.append)
			_, err = log.Read(t.Context(), 1, 1)
			require.ErrorIs(t, err, platform.ErrUnavailable)
			hosts := httphosts.New(address, httphosts.Options{})
			defer hosts.Close()
			_, err = hosts.List(t.Context())
			require.ErrorIs(t, err, platform.ErrUnavailable)
		})
	}
}
