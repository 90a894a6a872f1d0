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

// Limits for requests to the admin addresses.
const (
	adminTimeout          = 5 * time.Second
	maxAdminResponseBytes = 256 << 20
	maxAdminRequests      = 32
)

// adminHelp is the help text of the --admin flag.
const adminHelp = "admin addresses of the instances, host:port"

// adminResponse is the response of one instance, or the error if there is none.
type adminResponse[T any] struct {
	address string
	value   T
	err     error
}

// fetchAll reads the path from the admin address of every instance, with at most
// maxAdminRequests in flight. The responses are in the order of the addresses.
func fetchAll[T any](ctx context.Context, addresses []string, path string) []adminResponse[T] {
	responses := make([]adminResponse[T], len(addresses))
	var group errgroup.Group
	group.SetLimit(maxAdminRequests)
	for i, address := range addresses {
		group.Go(func() error {
			responses[i].address = address
			responses[i].err = fetchAdmin(ctx, address, path, &responses[i].value)
			return nil
		})
	}
	// The functions return nil and record their errors in the responses.
	_ = group.Wait()
	return responses
}

// fetchAdmin reads the path from one instance and decodes its JSON response. Its
// errors have the code PeerUnavailable if there is no response, PeerRejected if
// the response is not usable, and InvalidSetting if the address is invalid.
func fetchAdmin(ctx context.Context, address, path string, value any) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	url := "http://" + address + path
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fault.Wrap(fault.InvalidSetting, err, "invalid admin address "+address)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fault.Wrap(fault.PeerUnavailable, err, "no response")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fault.New(fault.PeerRejected, url+" returned "+response.Status)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAdminResponseBytes)).Decode(value); err != nil {
		return fault.Wrap(fault.PeerRejected, err, "malformed response from "+url)
	}
	return nil
}

// reportUnreachable prints a line for each instance without a usable response,
// and returns an error of code PeerUnavailable that names them, or nil.
func reportUnreachable[T any](w io.Writer, responses []adminResponse[T]) error {
	var unreachable []string
	for _, response := range responses {
		if response.err == nil {
			continue
		}
		fmt.Fprintf(w, "%s: %v\n", response.address, response.err)
		unreachable = append(unreachable, response.address)
	}
	if len(unreachable) == 0 {
		return nil
	}
	return fault.New(fault.PeerUnavailable, "no usable response from "+strings.Join(unreachable, ", "))
}
