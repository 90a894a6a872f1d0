package transit

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/headervalue"
	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	// maxCarried bounds the connections that an instance carries for peers, so that their
	// buffers cannot exhaust the memory of a small instance.
	maxCarried = 512
	// carriedBytes is the memory of a connection that is carried: the buffers of its stream, what the kernel
	// holds, and three goroutines.
	carriedBytes = 128 << 10
	// readBufferBytes holds a few events of a stream.
	readBufferBytes = 4 << 10
	// carriedSilence is the time without a response after which an upstream counts as not
	// reached for a peer, whose prediction of the response is not known here.
	carriedSilence = 3 * time.Second
)

// errReset is the error of a connection whose reset a write has learned of.
var errReset = fault.New(fault.UpstreamFailed, "the upstream has reset the connection")

// Handler returns the handler of the streams with which peers connect to upstreams through
// this instance. It connects directly only. Serving reports whether this instance accepts
// requests.
func (t *Transit) Handler(serving func() bool) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+streamPath+"{upstream}", func(w http.ResponseWriter, r *http.Request) {
		began := t.options.Clock()
		upstream := types.UpstreamID(r.PathValue("upstream"))
		received, err := t.carry(w, r, upstream, serving)
		outcome := "ended"
		if err != nil {
			outcome = string(fault.From(err).Code)
		}
		t.count("carried_" + outcome)
		t.options.Logger.Info().Str("request", r.Header.Get(headerRequestID)).Str("upstream", string(upstream)).Str("peer", r.Header.Get(headerInstance)).
			Int64("received_bytes", received).Dur("took_ms", t.options.Clock()-began).AnErr("error", err).Str("outcome", outcome).Msg("carried for a peer")
		if errors.Is(err, fault.New(fault.UpstreamFailed, "")) {
			// The stream must not end as if the upstream had closed the connection.
			panic(http.ErrAbortHandler)
		}
	})
	mux.HandleFunc("POST "+pausePath+"{upstream}", func(w http.ResponseWriter, r *http.Request) {
		milliseconds, err := strconv.ParseInt(r.Header.Get(headerPause), 10, 32)
		if err != nil || milliseconds < 0 || milliseconds > headervalue.MaxPause.Milliseconds() {
			_ = fault.New(fault.BadRequest, "malformed pause").WriteTo(w)
			return
		}
		if t.options.HandlePause != nil {
			t.options.HandlePause(types.UpstreamID(r.PathValue("upstream")), time.Duration(milliseconds)*time.Millisecond, types.InstanceID(r.Header.Get(headerInstance)))
		}
	})
	return mux
}

// carry connects to an upstream and copies in both directions until one side ends. It
// returns the number of bytes that the upstream has sent. The error has the code
// UpstreamFailed if the connection was not closed by the upstream.
func (t *Transit) carry(w http.ResponseWriter, r *http.Request, upstream types.UpstreamID, serving func() bool) (received int64, err error) {
	if failure := t.admit(serving); failure != nil {
		_ = failure.WriteTo(w)
		return 0, failure
	}
	defer t.release()
	conn, failure := t.connectFor(r, upstream)
	if failure != nil {
		// A write error means that the peer has given up.
		_ = failure.WriteTo(w)
		return 0, failure
	}
	defer conn.Close()
	control := http.NewResponseController(w)
	w.WriteHeader(http.StatusOK)
	if err := control.Flush(); err != nil {
		return 0, fault.Wrap(fault.UpstreamFailed, err, "the peer has given up")
	}
	go func() {
		// The body ends when the peer has given up.
		_, _ = io.Copy(conn, r.Body)
		_ = conn.Close()
	}()
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := conn.Read(buffer)
		received += int64(n)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return received, fault.Wrap(fault.UpstreamFailed, err, "the peer has given up")
			}
			if err := control.Flush(); err != nil {
				return received, fault.Wrap(fault.UpstreamFailed, err, "the peer has given up")
			}
		}
		if errors.Is(err, io.EOF) && conn.WasReset() {
			err = errReset
		}
		if errors.Is(err, io.EOF) {
			return received, nil
		}
		if err != nil {
			if r.Context().Err() == nil && !errors.Is(err, net.ErrClosed) {
				conn.RecordNoResponse()
			}
			return received, fault.Wrap(fault.UpstreamFailed, err, "the connection to the upstream broke")
		}
	}
}

// admit counts a connection, or returns an error if none is accepted. It counts before it decides: a stop refuses
// first and then waits for those that count.
func (t *Transit) admit(serving func() bool) *fault.Error {
	if failure := t.reserve(); failure != nil {
		return failure
	}
	if !serving() {
		t.release()
		return fault.New(fault.Leaving, "this instance is shutting down")
	}
	return nil
}

// reserve counts a connection and reserves its memory, or returns an error if there is no room for it.
func (t *Transit) reserve() *fault.Error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.carried >= maxCarried || t.options.Memory != nil && !t.options.Memory.Reserve(carriedBytes) {
		return fault.New(fault.Overloaded, "this instance carries too many connections for peers")
	}
	t.carried++
	return nil
}

func (t *Transit) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.carried--
	if t.options.Memory != nil {
		t.options.Memory.Release(carriedBytes)
	}
}

// connectFor connects directly to an upstream for a peer.
func (t *Transit) connectFor(r *http.Request, upstream types.UpstreamID) (*Conn, *fault.Error) {
	to, ok := t.options.Upstreams.Upstream(upstream)
	if !ok {
		return nil, fault.New(fault.UpstreamLeaving, "this instance does not send requests to the upstream")
	}
	// The lists of the two instances may have different processes under the ID.
	if version := r.Header.Get(headerVersion); version != "" && version != string(to.Version) {
		return nil, fault.New(fault.UpstreamLeaving, "the upstream has another software version here")
	}
	if !t.reaches(to.Target) {
		return nil, fault.New(fault.PathLost, "this instance does not reach the upstreams itself")
	}
	conn, err := t.dialDirectly(r.Context(), to, carriedSilence, false)
	switch {
	case err == nil:
		// Connecting may have taken long.
		if listed, ok := t.options.Upstreams.Upstream(upstream); !ok || listed != to {
			_ = conn.Close()
			return nil, fault.New(fault.UpstreamLeaving, "this instance sends no requests to the upstream any more")
		}
		return conn, nil
	case errors.Is(err, syscall.ECONNREFUSED) && t.options.HandleRefused != nil:
		t.options.HandleRefused(to)
	}
	if !t.reaches(to.Target) {
		return nil, fault.Wrap(fault.PathLost, err, "this instance does not reach the upstreams itself")
	}
	return nil, fault.Wrap(fault.NoUpstream, err, "this instance does not reach the upstream")
}
