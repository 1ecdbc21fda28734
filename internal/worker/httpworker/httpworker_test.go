package httpworker_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/worker"
	"github.com/laburnumpass/laburnumpass/internal/worker/httpworker"
)

// Guards against treating an unknown error reply as proof that the task did not
// run. The known errors are tested in package standin.
func TestUnknownReplies(t *testing.T) {
	for _, test := range []struct {
		name   string
		status int
		body   string
		err    error
	}{
		{"malformed request", http.StatusBadRequest, "", worker.ErrNotDelivered},
		{"too large", http.StatusRequestEntityTooLarge, "{}", worker.ErrNotDelivered},
		{"server error", http.StatusInternalServerError, "", worker.ErrNoReply},
		{"HTML body of a gateway", http.StatusBadGateway, "<html>", worker.ErrNoReply},
		{"unknown code", http.StatusConflict, `{"code":"busy"}`, worker.ErrNoReply},
		{"empty body", http.StatusOK, "", worker.ErrNoReply},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(test.status)
				_, _ = w.Write([]byte(test.body))
			}))
			defer s.Close()
			c := httpworker.New(worker.Info{Address: s.Listener.Addr().String()}, httpworker.Options{})
			defer c.Close()
			_, err := c.Start(t.Context(), worker.StartRequest{})
			require.ErrorIs(t, err, test.err)
		})
	}
}
