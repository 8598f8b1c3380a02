package ctl

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"damaskbridge.example/damaskbridge/keys"
)

// options holds the flags that all subcommands share.
type options struct {
	control   string
	token     string
	tokenFile string
	identity  string
	json      bool
	timeout   time.Duration
}

const defaultTimeout = 30 * time.Second

// registerFlags defines the shared flags on f, with defaults from env. The token
// itself has no flag; it is read from -token-file or the environment.
func (o *options) registerFlags(f *flag.FlagSet, env Env) {
	f.StringVar(&o.control, "control", env.Getenv("DAMASK_CONTROL"), "control VMs' admin `URLs`, nearest first, separated by commas")
	f.StringVar(&o.tokenFile, "token-file", env.Getenv("DAMASK_TOKEN_FILE"), "`file` with the operator's token")
	f.StringVar(&o.identity, "identity", env.Getenv("DAMASK_IDENTITY"), "`folder` with the operator's certificate, for https addresses")
	f.BoolVar(&o.json, "json", false, "print JSON")
	f.DurationVar(&o.timeout, "timeout", defaultTimeout, "time for the whole call")
	o.token = env.Getenv("DAMASK_TOKEN")
}

// controlAddrs returns the addresses of the -control flag, in its order.
func (o *options) controlAddrs() []string {
	var addrs []string
	for _, a := range strings.Split(o.control, ",") {
		if a = strings.TrimSpace(a); a != "" {
			addrs = append(addrs, a)
		}
	}
	return addrs
}

// clientWithTimeout returns a client for the options and a context that expires
// after the timeout flag.
func (inv *invocation) clientWithTimeout(ctx context.Context) (*Client, context.Context, context.CancelFunc, error) {
	c, err := inv.newClient(inv.Env)
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, inv.timeout)
	return c, ctx, cancel, nil
}

// newClient validates the options and returns a client for them.
func (o *options) newClient(env Env) (*Client, error) {
	addrs := o.controlAddrs()
	if len(addrs) == 0 {
		return nil, usageErrorf("no control VM is known; give -control or set DAMASK_CONTROL")
	}
	for _, a := range addrs {
		u, err := url.Parse(a)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return nil, usageErrorf("control address %q is not a URL; give addresses such as https://10.0.0.1:8443", a)
		}
	}
	token, err := o.readToken(env)
	if err != nil {
		return nil, err
	}
	transport, err := o.newTransport()
	if err != nil {
		return nil, err
	}
	return &Client{Addrs: addrs, Token: token, HTTP: &http.Client{Transport: transport}}, nil
}

// readToken returns the operator's token. The token file takes precedence over
// DAMASK_TOKEN.
func (o *options) readToken(env Env) (string, error) {
	if o.tokenFile == "" {
		if o.token == "" {
			return "", usageErrorf("no operator token is known; give -token-file or set DAMASK_TOKEN_FILE or DAMASK_TOKEN")
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

// newTransport returns an HTTP transport that presents the operator's
// certificate if -identity is set.
func (o *options) newTransport() (http.RoundTripper, error) {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.Proxy = nil // Control VMs are addressed by IP address.
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

// checkOptions implements 'damaskctl -check', which validates the options
// without contacting a control VM.
func checkOptions(args []string, env Env) error {
	inv := newInvocation("-check", args, env)
	if err := inv.parse(0, 0); err != nil {
		return err
	}
	c, err := inv.newClient(env)
	if err != nil {
		return err
	}
	fmt.Fprintf(env.Stdout, "%d control addresses, the token and the certificate can be used\n", len(c.Addrs))
	return nil
}
