package overload

import (
	"os"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// Signal wakes a goroutine of this process in the way in which the network does: the goroutine waits
// for the poller and then behind all that is ready to run. The Go scheduler runs a goroutine that a
// timer or another goroutine has woken before these.
type Signal interface {
	// Send makes Receive return.
	Send() error
	// Receive waits for the signal.
	Receive() error
	// Close ends Receive.
	Close() error
}

// pipe is a Signal.
type pipe struct{ reader, writer *os.File }

// OpenPipe returns a Signal through a pipe. Its error has the code Internal.
func OpenPipe() (Signal, error) {
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "cannot open a pipe")
	}
	return &pipe{reader: reader, writer: writer}, nil
}

// Send implements Signal.
func (p *pipe) Send() error {
	_, err := p.writer.Write([]byte{0})
	return err
}

// Receive implements Signal.
func (p *pipe) Receive() error {
	_, err := p.reader.Read(make([]byte, 1))
	return err
}

// Close implements Signal.
func (p *pipe) Close() error {
	err := p.writer.Close()
	if failure := p.reader.Close(); err == nil {
		err = failure
	}
	return err
}
