package exhaustion

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// endlessBytes is how much a client sends of something without an end.
	endlessBytes = 2 << 20
	// settleTime is how long the crowd has for sending. What it cannot send is left unsent.
	settleTime = 10 * time.Second
	// holdTime is how long its connections stay open before an ordinary request is sent.
	holdTime = 500 * time.Millisecond
	// blockBytes is the size of the pieces of an endless text.
	blockBytes = 16 << 10
)

// endpoint is a port that clients reach, with the beginning of a valid request to it.
type endpoint struct {
	address string
	// method and target are those of the request line. Fields are the header fields that a request needs,
	// each with its line end; they may depend on the number of the client.
	method, target string
	fields         func(client int) string
}

// start returns the request line and the fields of a request.
func (e endpoint) start(client int) string {
	return e.method + " " + e.target + " HTTP/1.1\r\n" + e.fields(client)
}

// abuse is what each client of a crowd sends on its connection, which then stays open.
type abuse struct {
	name string
	// clients is the size of the crowd, or zero for crowdSize.
	clients int
	send    func(to io.Writer, e endpoint, client int) error
}

// endless writes a text again and again.
func endless(to io.Writer, start, text string) error {
	if _, err := io.WriteString(to, start); err != nil {
		return err
	}
	block := strings.Repeat(text, blockBytes/len(text)+1)
	for sent := 0; sent < endlessBytes; sent += len(block) {
		if _, err := io.WriteString(to, block); err != nil {
			return err
		}
	}
	return nil
}

// endlessFields writes header fields with different names.
func endlessFields(to io.Writer, start string) error {
	if _, err := io.WriteString(to, start); err != nil {
		return err
	}
	for sent, number := 0, 0; sent < endlessBytes; {
		var block strings.Builder
		for block.Len() < blockBytes {
			fmt.Fprintf(&block, "X%x: y\r\n", number)
			number++
		}
		if _, err := io.WriteString(to, block.String()); err != nil {
			return err
		}
		sent += block.Len()
	}
	return nil
}

// endlessHeads are heads without an end.
var endlessHeads = []abuse{
	{"request line", 0, func(to io.Writer, e endpoint, _ int) error {
		return endless(to, e.method+" "+e.target+"?", "a")
	}},
	{"name of a field", 0, func(to io.Writer, e endpoint, client int) error { return endless(to, e.start(client)+"X", "a") }},
	{"value of a field", 0, func(to io.Writer, e endpoint, client int) error { return endless(to, e.start(client)+"X: ", "a") }},
	{"many fields", 0, func(to io.Writer, e endpoint, client int) error { return endlessFields(to, e.start(client)) }},
	{"many folded lines", 0, func(to io.Writer, e endpoint, client int) error {
		return endless(to, e.start(client)+"X: y\r\n", " \r\n")
	}},
	{"empty lines", 0, func(to io.Writer, _ endpoint, _ int) error { return endless(to, "", "\r\n") }},
	{"empty lines behind a request", 0, func(to io.Writer, e endpoint, client int) error {
		return endless(to, "POST "+e.target+" HTTP/1.1\r\n"+e.fields(client)+"Content-Length: 0\r\n\r\n", "\r\n")
	}},
}

// fill returns lines that fill a head up to the limit.
func fill(start, end string, line func(number int) string) string {
	var head strings.Builder
	head.WriteString(start)
	for number := 0; ; number++ {
		next := line(number)
		if head.Len()+len(next)+len(end) > maxHeaderBytes {
			return head.String()
		}
		head.WriteString(next)
	}
}

// headLines are the lines of which a head of legal size has very many.
var headLines = []struct {
	name string
	line func(number int) string
}{
	{"short fields", func(number int) string { return fmt.Sprintf("%x:\r\n", number) }},
	{"bare line feeds", func(number int) string { return fmt.Sprintf("%x:\n", number) }},
	{"one name", func(int) string { return "A:\r\n" }},
	{"folded lines", func(number int) string { return fmt.Sprintf("%x:\r\n\t\r\n", number) }},
}

// manyLines are requests with heads of legal size of very many lines and a body of two bytes. Part returns what
// a client sends of a head, of its end and of a body.
func manyLines(part func(client int, lines, end, body string) string) []abuse {
	const end = "Content-Length: 2\r\n\r\n"
	var list []abuse
	for _, kind := range headLines {
		list = append(list, abuse{kind.name, 0, func(to io.Writer, e endpoint, client int) error {
			_, err := io.WriteString(to, part(client, fill(e.start(client), end, kind.line), end, "xy"))
			return err
		}})
	}
	return list
}

// openHeads are such requests of which every other client leaves the head open, the others the body.
func openHeads() []abuse {
	return manyLines(func(client int, lines, end, body string) string {
		if client%2 == 0 {
			return lines + end + body[:1]
		}
		return lines
	})
}

// completeHeads are such requests as a whole.
func completeHeads() []abuse {
	return manyLines(func(_ int, lines, end, body string) string { return lines + end + body })
}

const (
	// openShare is one in how many clients sends a body to its end.
	openShare = 16
	// pieceBytes is the size of the pieces of a body, largeChunkBytes that of large chunks.
	pieceBytes      = 1 << 10
	largeChunkBytes = 256 << 10
)

// bodies are bodies of legal size. Complete reports whether a client sends the end of its body.
func bodies(complete func(client int) bool) []abuse {
	// withEnd cuts the end of a body off unless the client sends it.
	withEnd := func(client int, text string) string {
		if complete(client) {
			return text
		}
		return text[:len(text)-8]
	}
	whole := strings.Repeat("b", maxBodyBytes)
	chunks := func(size int) string {
		chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("b", size))
		return strings.Repeat(chunk, maxBodyBytes/size) + "0\r\n\r\n"
	}
	large, tiny := chunks(largeChunkBytes), chunks(1)
	withLength := fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes)
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	return []abuse{
		{"whole body with a length", 0, func(to io.Writer, e endpoint, client int) error {
			_, err := io.WriteString(to, e.start(client)+withLength+withEnd(client, whole))
			return err
		}},
		{"body with a length in pieces", 0, func(to io.Writer, e endpoint, client int) error {
			return inPieces(to, e.start(client)+withLength+withEnd(client, whole))
		}},
		{"large chunks", 0, func(to io.Writer, e endpoint, client int) error {
			_, err := io.WriteString(to, e.start(client)+chunked+withEnd(client, large))
			return err
		}},
		{"tiny chunks", 0, func(to io.Writer, e endpoint, client int) error {
			_, err := io.WriteString(to, e.start(client)+chunked+withEnd(client, tiny))
			return err
		}},
	}
}

// openBodies are bodies most of which stop just short of their end.
func openBodies() []abuse { return bodies(func(client int) bool { return client%openShare == 0 }) }

// completeBodies are bodies that are sent to their end.
func completeBodies() []abuse { return bodies(func(int) bool { return true }) }

// inPieces writes a text in pieces.
func inPieces(to io.Writer, text string) error {
	for len(text) > 0 {
		n := min(pieceBytes, len(text))
		if _, err := io.WriteString(to, text[:n]); err != nil {
			return err
		}
		text = text[n:]
	}
	return nil
}

// idleConnections are connections on which nothing is sent.
var idleConnections = abuse{"idle connections", idleCrowdSize, func(io.Writer, endpoint, int) error { return nil }}

// gather lets a crowd connect and send, and returns once all clients have sent what they could. The
// returned function closes the connections.
func gather(t *testing.T, a abuse, e endpoint) (disperse func()) {
	t.Helper()
	var mu sync.Mutex
	var conns []net.Conn
	var sending, reading sync.WaitGroup
	for client := range cmp.Or(a.clients, crowdSize) {
		sending.Go(func() {
			conn, err := (&net.Dialer{Timeout: settleTime}).Dial("tcp", e.address)
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
			reading.Go(func() { _, _ = io.Copy(io.Discard, conn) })
			_ = conn.SetWriteDeadline(time.Now().Add(settleTime))
			// An error means that the system has closed the connection or does not read.
			_ = a.send(conn, e, client)
		})
	}
	sending.Wait()
	time.Sleep(holdTime)
	return func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
		reading.Wait()
	}
}

// group prefixes the names of abuses.
func group(prefix string, list []abuse) []abuse {
	var named []abuse
	for _, a := range list {
		named = append(named, abuse{prefix + a.name, a.clients, a.send})
	}
	return named
}

// stalling are requests that are never complete, and heads without an end.
func stalling() []abuse {
	return slices.Concat(group("head/", endlessHeads), group("lines/", openHeads()), group("body/", openBodies()))
}

// complete are requests that are sent as a whole.
func complete() []abuse {
	return slices.Concat(group("lines/", completeHeads()), group("body/", completeBodies()))
}

// checkBeside checks that ordinary requests are answered beside a crowd, ends it, and checks that the instances have
// stayed within their limits.
func checkBeside(t *testing.T, disperse func(), ordinaryRequests func() error, instances ...*instance) {
	t.Helper()
	var last error
	if !await(func() bool { last = ordinaryRequests(); return last == nil }) {
		t.Errorf("an ordinary request is not answered beside the crowd: %v", last)
	}
	disperse()
	for _, i := range instances {
		i.checkLimits(t)
	}
}

// checkAbuse lets a crowd abuse an endpoint, and checks what checkBeside does.
func checkAbuse(t *testing.T, a abuse, e endpoint, ordinaryRequests func() error, instances ...*instance) {
	t.Helper()
	checkBeside(t, gather(t, a, e), ordinaryRequests, instances...)
}
