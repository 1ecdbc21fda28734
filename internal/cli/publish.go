package cli

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/configuration"
	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/operator"
)

// maxPublishAttempts bounds how often a publish is sent while its outcome is not
// known. Each attempt takes up to 15 s on the entry host, of which 10 s are for
// the host's own publish and the rest for publishing through other hosts.
const maxPublishAttempts = 3

type publishCmd struct {
	operatorFlags
	Dir     string `arg:"" help:"Directory with profiles, services and quotas." type:"existingdir"`
	DryRun  bool   `help:"Show the changes and publish nothing."`
	Delete  bool   `help:"Delete objects that are not in the directory."`
	Author  string `help:"Name of the operator, kept with each change." env:"LABURNUMPASS_AUTHOR,USER" default:"unknown"`
	Comment string `help:"Reason for the change, kept with it." short:"m"`
}

// Help implements kong's extended help.
func (publishCmd) Help() string {
	return `Compares a directory with the configuration in force and publishes the
differences one by one, in an order in which each is valid. It stops at the first
one that is not accepted and prints which changes were accepted. Publish IDs are
derived from the content, so that it is safe to run the same command again.
Without --delete, objects that are not in the directory stay in force. At the end
it waits for up to 5 s until all given entry hosts have the changes in force, and
prints to stderr which have not.

Example:

  laburnumpass publish samples/configuration --dry-run
  laburnumpass publish samples/configuration -m "raise the desk's queue"`
}

// publishResult is the result of publishing one change.
type publishResult struct {
	change
	Status       configuration.Status `json:"status"`
	PublishID    string               `json:"publish_id,omitempty"`
	Offset       uint64               `json:"offset,omitempty"`
	WinnerOffset uint64               `json:"winner_offset,omitempty"`
	WinnerAuthor string               `json:"winner_author,omitempty"`
	Message      string               `json:"message,omitempty"`
}

// statusNotTried marks the changes after one that was not accepted.
const statusNotTried configuration.Status = "not_tried"

// Run implements the command.
func (c *publishCmd) Run(g *globals) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	defer client.Close()
	listing, err := currentConfig(g, client)
	if err != nil {
		return err
	}
	changes, err := compareWithDir(listing, c.Dir, c.Delete)
	if err != nil {
		return err
	}
	if c.DryRun {
		return g.print(nonNil(changes), func(w io.Writer) {
			changesTable(w, changes)
			fmt.Fprintf(w, "%d changes; nothing was published\n", countToPublish(changes))
		})
	}
	results, err := c.publishAll(g, client, listing.Offset, changes)
	if printErr := g.print(nonNil(results), func(w io.Writer) { publishResultsTable(w, results) }); printErr != nil {
		return printErr
	}
	g.awaitInForce(client, c.Operator, lastAccepted(results))
	return err
}

// lastAccepted returns the offset of the last accepted change, or 0 if there is
// none.
func lastAccepted(results []publishResult) uint64 {
	last := uint64(0)
	for _, r := range results {
		if r.Status == configuration.StatusAccepted {
			last = max(last, r.Offset)
		}
	}
	return last
}

// publishAll publishes the changes one after the other until one is not accepted
// and marks the remaining ones as not tried. base is the offset of the
// configuration that the changes were compared with.
func (c *publishCmd) publishAll(g *globals, client *operator.Client, base uint64, changes []change) ([]publishResult, error) {
	var results []publishResult
	var failed error
	for _, ch := range changes {
		switch {
		case ch.Action == "keep":
			continue
		case failed != nil:
			results = append(results, publishResult{change: ch, Status: statusNotTried})
			continue
		}
		var result publishResult
		err := g.withProgress(fmt.Sprintf("publishing %s/%s", ch.Kind, ch.Name), func() (err error) {
			result, err = c.publishOne(g.ctx, client, base, ch)
			return err
		})
		if err != nil {
			result = publishResult{change: ch, Status: configuration.StatusUnknown, Message: err.Error()}
			failed = err
		} else if result.Status != configuration.StatusAccepted {
			failed = errFailed
			if result.Status == configuration.StatusUnknown {
				failed = errUnknown
			}
		}
		results = append(results, result)
	}
	return results, failed
}

func (c *publishCmd) publishOne(ctx context.Context, client *operator.Client, base uint64, ch change) (publishResult, error) {
	record := ch.record
	record.Author, record.Comment = c.Author, c.Comment
	lastOffset := record.BasedOn
	if lastOffset == 0 {
		// The object may have existed before and been deleted. Without the
		// offset of its last change, creating it again would get the publish ID
		// of the first creation and count as a retry of that.
		history, err := client.History(ctx, record.Kind, record.Name)
		if err != nil {
			return publishResult{}, err
		}
		if n := len(history); n > 0 {
			lastOffset = history[n-1].Offset
		}
	}
	record.PublishID = publishID(record, lastOffset)
	var report operator.PublishReport
	for range maxPublishAttempts {
		var err error
		if report, err = client.Publish(ctx, record); err != nil {
			return publishResult{}, errors.WithMessagef(err, "publish %s/%s", ch.Kind, ch.Name)
		}
		if report.Status != configuration.StatusUnknown {
			break
		}
	}
	return newPublishResult(ch, report, base), nil
}

// publishID derives the publish ID from the content of the record and from the
// offset of the object's last change, so that a retry has the same ID and any
// other change has a different one.
func publishID(r contract.Record, lastOffset uint64) string {
	r.PublishID = ""
	// Encoding can't fail, because the record contains only valid JSON.
	data, _ := json.Marshal(r)
	sum := sha256.Sum256(fmt.Appendf(data, "@%d", lastOffset))
	return "cli-" + hex.EncodeToString(sum[:20])
}

// newPublishResult returns the result of a change with a message that explains
// the entry host's report. base is the offset of the configuration that the
// change was compared with.
func newPublishResult(ch change, report operator.PublishReport, base uint64) publishResult {
	p := publishResult{change: ch, Status: report.Status, PublishID: report.PublishID, Offset: report.Offset,
		WinnerOffset: report.WinnerOffset, WinnerAuthor: report.WinnerAuthor, Message: report.Message}
	switch report.Status {
	case configuration.StatusAccepted:
		if report.Offset <= base {
			p.Status = configuration.StatusInvalid
			p.Message = "the same change was published before and has been replaced since; publish it with another comment"
		}
	case configuration.StatusLostRace:
		switch {
		case report.WinnerOffset > 0:
			p.Message = fmt.Sprintf("%s published version %d first; this change was not made. Look at it with "+
				"\"laburnumpass history %s %s\", then run publish again", formatText(report.WinnerAuthor), report.WinnerOffset, ch.Kind, ch.Name)
		default:
			p.Message = "another operator deleted the object first; this change was not made. Run publish again"
		}
	case configuration.StatusInvalid:
		for _, f := range report.Fields {
			p.Message = joinMessages(p.Message, f.Error())
		}
	case configuration.StatusUnavailable:
		p.Message = joinMessages("the log could not be reached and nothing was published; run publish again later", p.Message)
	case configuration.StatusUnknown:
		p.Message = joinMessages("the change may have been published; run the same command again to find out", p.Message)
	}
	return p
}

// joinMessages joins two messages by a colon, leaving out empty ones.
func joinMessages(a, b string) string {
	if a == "" || b == "" {
		return a + b
	}
	return a + ": " + b
}

func publishResultsTable(w io.Writer, results []publishResult) {
	if len(results) == 0 {
		fmt.Fprintln(w, "no differences; nothing was published")
		return
	}
	var rows [][]string
	accepted := 0
	for _, r := range results {
		if r.Status == configuration.StatusAccepted {
			accepted++
		}
		rows = append(rows, []string{r.Action, string(r.Kind), r.Name, string(r.Status), formatNonZero(r.Offset), r.Message})
	}
	writeTable(w, "ACTION KIND NAME STATUS VERSION MESSAGE", rows)
	fmt.Fprintf(w, "%d of %d changes were accepted\n", accepted, len(results))
}
