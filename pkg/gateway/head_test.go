package gateway

import (
	"fmt"
	"slices"
	"testing"
)

// brokenHeads are responses whose headers are no answer, although net/http reads some of them as one.
var brokenHeads = map[string]string{
	"status 000": "HTTP/1.1 000 X\r\nId: r1\r\nSeal: s\r\nContent-Length: 2\r\n\r\nno",
	"status 099": "HTTP/1.1 099 X\r\nId: r1\r\nSeal: s\r\nContent-Length: 2\r\n\r\nno",
	"status +20": "HTTP/1.1 +20 X\r\nId: r1\r\nSeal: s\r\nContent-Length: 2\r\n\r\nno",
	"status 600": "HTTP/1.1 600 X\r\nId: r1\r\nSeal: s\r\nContent-Length: 2\r\n\r\nno",
	"status 999": "HTTP/1.1 999 X\r\nId: r1\r\nSeal: s\r\nContent-Length: 2\r\n\r\nno",

	"blank in a name":     okHead + "X Odd: y\r\nContent-Length: 2\r\n\r\nno",
	"blank behind a name": okHead + "X-Odd : y\r\nContent-Length: 2\r\n\r\nno",
	"tab behind a name":   okHead + "X-Odd\t: y\r\nContent-Length: 2\r\n\r\nno",
	"control in a name":   okHead + "X\x01Odd: y\r\nContent-Length: 2\r\n\r\nno",
	"hidden length":       okHead + "Content-Length : 2\r\n\r\nnot of the body",
	"hidden chunks":       okHead + "Transfer-Encoding : chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
}

// okHead is the beginning of a valid response.
const okHead = "HTTP/1.1 200 X\r\nId: r1\r\nSeal: s\r\n"

// TestBrokenHeadIsNoAnswer guards against a response whose status or header is none: the caller got it as the answer, or
// no answer at all.
func TestBrokenHeadIsNoAnswer(t *testing.T) {
	for name, broken := range brokenHeads {
		for _, way := range ways {
			for path, want := range map[string]int{"/once/": 502, "/stream/": 502, "/safe/": 200, "/resume/": 200} {
				t.Run(fmt.Sprint(name, path, way), func(t *testing.T) {
					upstreams := 3
					if way == throughAPeer {
						upstreams, want = 1, 502
					}
					env := newTestEnv(t, slices.Clone(testRoutes), respondInOrder(broken, rawResponse(200, plainEvent(1))), upstreams)
					env.reachBy(way)
					if got := env.call("POST", path, ""); got.err != nil || got.status != want {
						t.Errorf("got %+v, want status %d", got, want)
					}
				})
			}
		}
	}
}
