package ctl

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"damaskbridge.example/damaskbridge/keys"
)

// client gives a client for the options, with a context that ends at the
// timeout.
func (r *run) client(ctx context.Context) (*Client, context.Context, context.CancelFunc, error) {
	c, err := r.connect(r.Env)
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	return c, ctx, cancel, nil
}

func (o *options) connect(env Env) (*Client, error) {
	addrs := o.addrs()
	if len(addrs) == 0 {
		return nil, usage("no control VM is known; give -control or set DAMASK_CONTROL")
	}
	for _, a := range addrs {
		u, err := url.Parse(a)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return nil, usage("control address %q is not a URL; give addresses such as https://10.0.0.1:8443", a)
		}
	}
	token, err := o.readToken(env)
	if err != nil {
		return nil, err
	}
	transport, err := o.transport()
	if err != nil {
		return nil, err
	}
	return &Client{Addrs: addrs, Token: token, HTTP: &http.Client{Transport: transport}}, nil
}

func (o *options) readToken(env Env) (string, error) {
	if o.tokenFile == "" {
		if o.token == "" {
			return "", usage("no operator token is known; give -token-file or set DAMASK_TOKEN_FILE or DAMASK_TOKEN")
		}
		return o.token, nil
	}
	b, err := env.ReadFile(o.tokenFile)
	if err != nil {
		return "", fmt.Errorf("token file: %w", err)
	}
	token := strings.TrimSpace(string(b))
	if token == "" {
		return "", fmt.Errorf("token file %s is empty; write the operator's token into it", o.tokenFile)
	}
	return token, nil
}

func (o *options) transport() (http.RoundTripper, error) {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.Proxy = nil // Control VMs are called by IP address.
	if o.identity == "" {
		return t, nil
	}
	bundle, err := keys.Open(o.identity)
	if err != nil {
		return nil, err
	}
	config, err := bundle.ClientTLS()
	if err != nil {
		return nil, err
	}
	t.TLSClientConfig = config.Clone()
	return t, nil
}

// checkOptions is 'damaskctl -check': it checks the options without a call.
func checkOptions(args []string, env Env) error {
	r := newRun("-check", args, env)
	if err := r.parse(0, 0); err != nil {
		return err
	}
	c, err := r.connect(env)
	if err != nil {
		return err
	}
	fmt.Fprintf(env.Stdout, "%d control addresses, the token and the certificate can be used\n", len(c.Addrs))
	return nil
}
