package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

func init() { cases["small-chunks"] = runSmallChunks }

const (
	// inBody is the attempt that only the text of the body names.
	inBody = "5555555555555555"
	// signatureDigits is the length of a signature of 2,048 bits in hexadecimal.
	signatureDigits = 512
	// smallChunks is the number of chunks with one byte before the last one.
	smallChunks = 32
)

// chunk returns one chunk. signed adds a signature as a chunk extension, as RFC 9112,
// section 7.1.1, allows.
func chunk(data string, signed bool) string {
	extension := ""
	if signed {
		extension = ";signature=" + strings.Repeat("a7", signatureDigits/2)
	}
	return fmt.Sprintf("%x%s\r\n%s\r\n", len(data), extension, data)
}

// runSmallChunks sends one proper request with a body in small chunks. The text of the
// body is a note that quotes another request. With trouble each chunk has an extension.
func runSmallChunks(rec *record, trouble bool) (bool, error) {
	d, err := startStaged(rec)
	if err != nil {
		return false, err
	}
	quoted := string((&request{method: http.MethodPost, path: "/post/quoted", attempt: inBody, body: "a deposit that nobody sent"}).bytes())
	text := strings.Repeat("-", smallChunks) + quoted
	attempt := newAttempt()
	var b strings.Builder
	fmt.Fprintf(&b, "POST /post/note HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nAuthorization: Bearer %s\r\nX-Deadline-Ms: 3000\r\nTransfer-Encoding: chunked\r\n\r\n",
		hostName, attempt, tenantKey)
	for range smallChunks {
		b.WriteString(chunk("-", trouble))
	}
	b.WriteString(chunk(quoted, trouble))
	b.WriteString("0\r\n\r\n")

	c, err := net.Dial("tcp", d.entry[0].addr(portFront))
	if err != nil {
		return false, err
	}
	defer c.Close()
	rec.printf("client: %s: one request, %d bytes of body in %d chunks, extensions: %t", attempt, len(text), smallChunks+1, trouble)
	if _, err := c.Write([]byte(b.String())); err != nil {
		return false, err
	}
	_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
	got, unsent := 0, 0
	r := bufio.NewReader(c)
	for {
		a := readAnswer(r, http.MethodPost)
		if a.err != nil {
			break
		}
		got++
		if a.header.Get("X-Attempt-Id") == inBody {
			unsent++
		}
		rec.printf("client: answer %d: %v: %q", got, a, strings.TrimSpace(a.body))
	}
	own, foreign := runsOf(d.runners, attempt), runsOf(d.runners, inBody)
	rec.printf("client: 1 request sent, %d answers, %d of them to %s, which was not sent", got, unsent, inBody)
	rec.printf("runners: %d runs of %s, %d runs of %s", len(own), attempt, len(foreign), inBody)
	if !trouble && (len(own) != 1 || got != 1) {
		return false, fmt.Errorf("the request without extensions ran %d times and had %d answers", len(own), got)
	}
	return len(foreign) > 0, nil
}
