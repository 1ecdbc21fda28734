package jobhost

import (
	"github.com/valyala/fasthttp"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/platform"
)

// identity is what a host knows about a caller.
type identity struct {
	// team is the team of the caller's API key, empty if it has none.
	team string
	// checkTeam is set if the caller must not learn about jobs of other teams.
	checkTeam bool
}

// keysOverdue reports whether the keys of the configuration in force may no longer be
// used, because they may have been revoked.
func (h *Host) keysOverdue() bool {
	s := h.currentSettings.Load()
	return s.StrictRevoke && h.config.age() > s.revokeAfter()
}

// identify returns the identity of the caller of a request. ok is false if the queue
// needs an API key and the request has none that a team of the configuration has.
func identify(c *fasthttp.RequestCtx, config *cell.Configuration, queue *cell.Queue) (caller identity, ok bool) {
	if len(config.Teams) == 0 {
		return identity{}, true
	}
	team, known := config.Keys.Team(platform.DecodeKey(c.Request.Header.PeekAll(platform.HeaderAuthorization)))
	return identity{team: team, checkTeam: true}, known || queue.Public
}
