package entry

import (
	"net/http"
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// outflow is a bounded buffer between a stream from an upstream and a caller
// that may read slowly. One goroutine pushes and pump runs in another.
type streamBuffer struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	limit   int
	timeout time.Duration

	mu      sync.Mutex
	changed *sync.Cond
	pending []byte
	spare   []byte
	closed  bool
	err     error
}

func newStreamBuffer(w http.ResponseWriter, limit int, timeout time.Duration) *streamBuffer {
	o := &streamBuffer{writer: w, control: http.NewResponseController(w), limit: limit, timeout: timeout}
	o.changed = sync.NewCond(&o.mu)
	return o
}

// push adds one event. It waits while the buffer is full, which the pump's
// write timeout bounds, and returns CallerGone when the caller takes no more.
func (o *streamBuffer) push(payload []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	for o.err == nil && len(o.pending) > 0 && len(o.pending)+len(payload) > o.limit {
		o.changed.Wait()
	}
	if o.err != nil {
		return fault.Wrap(fault.CallerGone, o.err, "the caller does not take the answer").WithRunState(types.MayHaveRun)
	}
	o.pending = append(o.pending, "data: "...)
	o.pending = append(o.pending, payload...)
	o.pending = append(o.pending, '\n', '\n')
	o.changed.Broadcast()
	return nil
}

// close tells the pump that nothing follows.
func (o *streamBuffer) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	o.changed.Broadcast()
}

// pump writes to the caller until the buffer is closed and empty, or a write
// fails; failed is called then.
func (o *streamBuffer) writeLoop(onFailure func()) {
	for {
		batch := o.nextBatch()
		if batch == nil {
			return
		}
		if err := o.write(batch); err != nil {
			o.fail(err)
			onFailure()
			return
		}
		o.recycle(batch)
	}
}

// take waits for bytes and returns them, or nil at the end.
func (o *streamBuffer) nextBatch() []byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	for len(o.pending) == 0 {
		if o.closed {
			return nil
		}
		o.changed.Wait()
	}
	batch := o.pending
	o.pending = o.spare[:0]
	o.spare = nil
	o.changed.Broadcast()
	return batch
}

// release gives a written batch back for reuse.
func (o *streamBuffer) recycle(batch []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.spare = batch[:0]
}

func (o *streamBuffer) write(batch []byte) error {
	// A writer without deadlines is bounded by the request's own context.
	_ = o.control.SetWriteDeadline(time.Now().Add(o.timeout))
	if _, err := o.writer.Write(batch); err != nil {
		return err
	}
	return o.control.Flush()
}

func (o *streamBuffer) fail(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.err = err
	o.changed.Broadcast()
}
