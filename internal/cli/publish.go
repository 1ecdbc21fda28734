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

// publishAttempts bounds the repetitions of a publish whose outcome is not
// known. Each takes up to 10 s on the entry host.
const publishAttempts = 3

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
one that is not accepted and says what is in force by then. Publish IDs are
derived from the content, so that it is safe to run the same command again.
Without --delete, objects that are not in the directory stay in force. At the end
it waits for up to 5 s until all given entry hosts have the changes in force, and
says on stderr which have not.

Example:

  laburnumpass publish samples/configuration --dry-run
  laburnumpass publish samples/configuration -m "raise the desk's queue"`
}

// published is the result of one change.
type published struct {
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
	changes, err := compare(listing, c.Dir, c.Delete)
	if err != nil {
		return err
	}
	if c.DryRun {
		return g.print(nonNil(changes), func(w io.Writer) {
			changesTable(w, changes)
			fmt.Fprintf(w, "%d changes; nothing was published\n", pending(changes))
		})
	}
	results, err := c.publishAll(g, client, listing.Offset, changes)
	if printErr := g.print(nonNil(results), func(w io.Writer) { publishedTable(w, results) }); printErr != nil {
		return printErr
	}
	g.awaitInForce(client, c.Operator, lastAccepted(results))
	return err
}

// lastAccepted returns the offset of the last accepted change, 0 if there is
// none.
func lastAccepted(results []published) uint64 {
	last := uint64(0)
	for _, r := range results {
		if r.Status == configuration.StatusAccepted {
			last = max(last, r.Offset)
		}
	}
	return last
}

// publishAll publishes one change after the other until one is not accepted.
func (c *publishCmd) publishAll(g *globals, client *operator.Client, base uint64, changes []change) ([]published, error) {
	var results []published
	var failed error
	for _, ch := range changes {
		switch {
		case ch.Action == "keep":
			continue
		case failed != nil:
			results = append(results, published{change: ch, Status: statusNotTried})
			continue
		}
		var result published
		err := g.during(fmt.Sprintf("publishing %s/%s", ch.Kind, ch.Name), func() (err error) {
			result, err = c.publishOne(g.ctx, client, base, ch)
			return err
		})
		if err != nil {
			result = published{change: ch, Status: configuration.StatusUnknown, Message: err.Error()}
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

func (c *publishCmd) publishOne(ctx context.Context, client *operator.Client, base uint64, ch change) (published, error) {
	record := ch.record
	record.Author, record.Comment = c.Author, c.Comment
	last := record.BasedOn
	if last == 0 {
		// The object may have existed before. Without its last offset, creating
		// it again would look like a repetition of the first creation.
		history, err := client.History(ctx, record.Kind, record.Name)
		if err != nil {
			return published{}, err
		}
		if n := len(history); n > 0 {
			last = history[n-1].Offset
		}
	}
	record.PublishID = publishID(record, last)
	var report operator.PublishReport
	for range publishAttempts {
		var err error
		if report, err = client.Publish(ctx, record); err != nil {
			return published{}, errors.WithMessagef(err, "publish %s/%s", ch.Kind, ch.Name)
		}
		if report.Status != configuration.StatusUnknown {
			break
		}
	}
	return describe(ch, report, base), nil
}

// publishID derives the ID from all that the record sets and from the offset
// of the object's last change, so that a repetition has the same ID and any
// other change has another one.
func publishID(r contract.Record, last uint64) string {
	r.PublishID = ""
	// A record of valid JSON parts always encodes.
	data, _ := json.Marshal(r)
	sum := sha256.Sum256(fmt.Appendf(data, "@%d", last))
	return "cli-" + hex.EncodeToString(sum[:20])
}

// describe explains a report. base is the offset of the configuration that the
// change was compared with.
func describe(ch change, report operator.PublishReport, base uint64) published {
	p := published{change: ch, Status: report.Status, PublishID: report.PublishID, Offset: report.Offset,
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
				"\"laburnumpass history %s %s\", then run publish again", printable(report.WinnerAuthor), report.WinnerOffset, ch.Kind, ch.Name)
		default:
			p.Message = "another operator deleted the object first; this change was not made. Run publish again"
		}
	case configuration.StatusInvalid:
		for _, f := range report.Fields {
			p.Message = joinLines(p.Message, f.Error())
		}
	case configuration.StatusUnavailable:
		p.Message = joinLines("the log could not be reached and nothing was published; run publish again later", p.Message)
	case configuration.StatusUnknown:
		p.Message = joinLines("the change may have been published; run the same command again to find out", p.Message)
	}
	return p
}

func joinLines(a, b string) string {
	if a == "" || b == "" {
		return a + b
	}
	return a + ": " + b
}

func publishedTable(w io.Writer, results []published) {
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
		rows = append(rows, []string{r.Action, string(r.Kind), r.Name, string(r.Status), number(r.Offset), r.Message})
	}
	writeTable(w, "ACTION KIND NAME STATUS VERSION MESSAGE", rows)
	fmt.Fprintf(w, "%d of %d changes were accepted\n", accepted, len(results))
}
