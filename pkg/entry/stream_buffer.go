package entry

import (
	"net/http"
	"sync"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// streamBuffer is a bounded buffer between the stream of an upstream and a caller
// that may read slowly. One goroutine calls push and another runs writeLoop.
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
	b := &streamBuffer{writer: w, control: http.NewResponseController(w), limit: limit, timeout: timeout}
	b.changed = sync.NewCond(&b.mu)
	return b
}

// push adds one event. It blocks while the buffer is full, which is bounded by the
// write timeout of writeLoop. It returns an error with the code CallerGone after a
// write to the caller has failed.
func (b *streamBuffer) push(payload []byte) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.err == nil && len(b.pending) > 0 && len(b.pending)+len(payload) > b.limit {
		b.changed.Wait()
	}
	if b.err != nil {
		return fault.Wrap(fault.CallerGone, b.err, "cannot write the answer to the caller").WithRunState(types.MayHaveRun)
	}
	b.pending = append(b.pending, "data: "...)
	b.pending = append(b.pending, payload...)
	b.pending = append(b.pending, '\n', '\n')
	b.changed.Broadcast()
	return nil
}

// close signals writeLoop that no more events follow.
func (b *streamBuffer) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.changed.Broadcast()
}

// writeLoop writes to the caller until the buffer is closed and empty. If a write
// fails, it calls onFailure and returns.
func (b *streamBuffer) writeLoop(onFailure func()) {
	for {
		batch := b.nextBatch()
		if batch == nil {
			return
		}
		if err := b.write(batch); err != nil {
			b.fail(err)
			onFailure()
			return
		}
		b.recycle(batch)
	}
}

// nextBatch waits for buffered bytes and returns them. It returns nil when the
// buffer is closed and empty.
func (b *streamBuffer) nextBatch() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.pending) == 0 {
		if b.closed {
			return nil
		}
		b.changed.Wait()
	}
	batch := b.pending
	b.pending = b.spare[:0]
	b.spare = nil
	b.changed.Broadcast()
	return batch
}

// recycle returns the memory of a written batch for reuse.
func (b *streamBuffer) recycle(batch []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spare = batch[:0]
}

func (b *streamBuffer) write(batch []byte) error {
	// A writer that does not support deadlines is bounded by the request's context.
	_ = b.control.SetWriteDeadline(time.Now().Add(b.timeout))
	if _, err := b.writer.Write(batch); err != nil {
		return err
	}
	return b.control.Flush()
}

func (b *streamBuffer) fail(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.err = err
	b.changed.Broadcast()
}
