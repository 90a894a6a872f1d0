package exhaustion

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// attemptTimeout bounds one attempt of an ordinary request.
const attemptTimeout = 10 * time.Second

// exchange sends one request on a connection of its own, and returns an error unless it is answered with
// status 200.
func exchange(address string, send func(to io.Writer) error) error {
	conn, err := net.DialTimeout("tcp", address, attemptTimeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(attemptTimeout))
	sent := make(chan error, 1)
	go func() { sent <- send(conn) }()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", response.StatusCode, body)
	}
	if err != nil {
		return err
	}
	return <-sent
}

// ordinary sends an ordinary request with a small body.
func ordinary(e endpoint) error {
	return exchange(e.address, func(to io.Writer) error {
		_, err := io.WriteString(to, e.start(-1)+"Content-Length: 5\r\n\r\nhello")
		return err
	})
}

// get sends a GET request on a connection of its own.
func get(url string) error {
	client := http.Client{Timeout: attemptTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(url)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}
