package documentcheck

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"
)

const (
	// readTimeout bounds the reading of a document from a control VM.
	readTimeout = 10 * time.Second
	// maxDocumentBytes is the most that is read of one.
	maxDocumentBytes = 64 << 20
)

// read reads a document from a file or from the address of a control VM.
func read(from string) ([]byte, error) {
	if !strings.HasPrefix(from, "http://") && !strings.HasPrefix(from, "https://") {
		return os.ReadFile(from)
	}
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, from, nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("documentcheck: %s answered with status %d; ask another control VM", from, response.StatusCode)
	}
	return io.ReadAll(io.LimitReader(response.Body, maxDocumentBytes))
}
