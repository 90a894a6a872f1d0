package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// Limits of asking the instances.
const (
	adminTimeout       = 5 * time.Second
	maxAdminAnswer     = 256 << 20
	maxAdminConcurrent = 32
)

// adminHelp explains the flag that names the instances.
const adminHelp = "admin addresses of the instances, host:port"

// adminAnswer is what one instance answered, or why it did not.
type adminAnswer[T any] struct {
	address string
	value   T
	err     error
}

// askAll reads a path of the admin address of every instance, a bounded number
// at once. The answers are in the order of the addresses.
func askAll[T any](ctx context.Context, addresses []string, path string) []adminAnswer[T] {
	answers := make([]adminAnswer[T], len(addresses))
	var group errgroup.Group
	group.SetLimit(maxAdminConcurrent)
	for i, address := range addresses {
		group.Go(func() error {
			answers[i].address = address
			answers[i].err = askAdmin(ctx, address, path, &answers[i].value)
			return nil
		})
	}
	// The functions report their failures in the answers.
	_ = group.Wait()
	return answers
}

// askAdmin decodes the JSON answer of one instance. Failures have the code
// PeerUnavailable, or PeerRejected for an answer that cannot be used.
func askAdmin(ctx context.Context, address, path string, value any) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	url := "http://" + address + path
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fault.Wrap(fault.InvalidSetting, err, "bad admin address "+address)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fault.Wrap(fault.PeerUnavailable, err, "no answer")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fault.New(fault.PeerRejected, url+" answers "+response.Status)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAdminAnswer)).Decode(value); err != nil {
		return fault.Wrap(fault.PeerRejected, err, "malformed answer from "+url)
	}
	return nil
}

// reportUnreachable writes a line for each instance that did not answer, and
// returns a fault of code PeerUnavailable that names them, or nil.
func reportUnreachable[T any](w io.Writer, answers []adminAnswer[T]) error {
	var silent []string
	for _, answer := range answers {
		if answer.err == nil {
			continue
		}
		fmt.Fprintf(w, "%s: %v\n", answer.address, answer.err)
		silent = append(silent, answer.address)
	}
	if len(silent) == 0 {
		return nil
	}
	return fault.New(fault.PeerUnavailable, "no usable answer from "+strings.Join(silent, ", "))
}
