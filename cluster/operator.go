package cluster

import (
	"context"
	"net/http"

	"damaskbridge.example/damaskbridge/ctl"
)

// OperatorClient returns a client of the operator API that knows all control VMs.
func (c *Cluster) OperatorClient() *ctl.Client {
	client := &ctl.Client{Token: OperatorToken, HTTP: http.DefaultClient}
	for i := range c.Controls {
		client.Addrs = append(client.Addrs, c.AdminURL(i))
	}
	return client
}

// Apply applies a settings document to the current version under the change ID
// id. It retries until the change is accepted or ctx is done.
func (c *Cluster) Apply(ctx context.Context, id, document string) error {
	return poll(ctx, func() error {
		v, err := c.OperatorClient().CurrentVersion(ctx)
		if err != nil {
			return err
		}
		_, err = c.OperatorClient().ApplyDocument(ctx, id, v.Version, "document.yaml", []byte(document))
		return err
	})
}
