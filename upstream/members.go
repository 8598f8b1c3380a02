package upstream

import (
	"context"
	"strings"
)

// Member is one line of the platform's membership list.
type Member struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
	Pool    string `json:"pool"`
	Region  string `json:"region"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// MemberList is the platform's membership list. It lags.
type MemberList struct {
	Seq      uint64   `json:"seq"`
	AtUnixMS int64    `json:"at_unix_ms"`
	Members  []Member `json:"members"`
}

// Members reads the list from url ("http://ip:port/members").
func (c *Client) Members(ctx context.Context, url string) (MemberList, error) {
	addr, path, _ := strings.Cut(strings.TrimPrefix(url, "http://"), "/")
	var l MemberList
	err := c.getJSON(ctx, addr, "/"+path, &l)
	return l, err
}
