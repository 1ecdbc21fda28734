package jobhost

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/jobsrpc"
	"github.com/laburnumpass/laburnumpass/internal/lead"
)

const (
	// witnessCheckInterval is how often a scheduler checks whether its renewal is overdue.
	witnessCheckInterval = 50 * time.Millisecond
	// witnessInterval is the time between two questions to all witnesses. With a call that
	// lasts for joinTimeout, it stays below lead.SoleExtensionAge.
	witnessInterval = 300 * time.Millisecond
)

// Witness implements jobsrpc.Jobs.
func (s peerServer) Witness(_ context.Context, r *jobsrpc.WitnessRequest) (*jobsrpc.WitnessReply, error) {
	election := s.host.election(r.Shard)
	return &jobsrpc.WitnessReply{Confirmed: election != nil && election.elector.Confirms(r.Epoch)}, nil
}

// askWitnesses asks the witnesses of a term for confirmations while its renewals are overdue,
// until ctx, the context of the term, ends.
func (h *Host) askWitnesses(ctx context.Context, shard string, term *lead.Term) {
	log := h.log.WithValues("shard", shard, "epoch", term.Epoch)
	extends := true
	var missing error
	for ctx.Err() == nil {
		pause := witnessCheckInterval
		if term.ConfirmationAge() > lead.AskWitnessesAfter {
			missing = h.askEachWitness(ctx, shard, term)
			pause = witnessInterval
		}
		if may := term.MayExtendLeases(); may != extends {
			extends = may
			if extends {
				log.Info("leases are extended again", "confirmed_ago", term.ConfirmationAge().String())
			} else {
				log.Info("leases are not extended", "confirmed_ago", term.ConfirmationAge().String(), "error", errorText(missing))
				h.count("leases.not_extended")
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// askEachWitness asks each witness once. It returns why one of them did not confirm the term.
func (h *Host) askEachWitness(ctx context.Context, shard string, term *lead.Term) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	var calls errgroup.Group
	asked := cell.BootTime()
	for _, name := range term.Witnesses() {
		calls.Go(func() error {
			_, address, _ := strings.Cut(name, "@")
			reply, err := h.peerClients.client(address).Witness(ctx, &jobsrpc.WitnessRequest{Shard: shard, Epoch: term.Epoch})
			switch {
			case err != nil:
				return errors.Wrapf(err, "ask %s for a confirmation", name)
			case !reply.Confirmed:
				return errors.Errorf("%s does not confirm the scheduler", name)
			}
			term.NoteWitness(name, asked)
			return nil
		})
	}
	return calls.Wait()
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
