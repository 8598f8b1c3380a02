package ctl

import (
	"context"
	"fmt"
	"strings"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/keys"
)

// keysOptions holds the flags of the keys subcommands.
type keysOptions struct {
	dir       string
	vm        string
	role      string
	addresses string
	kind      string
}

// keys implements 'keys', which dispatches to its own subcommands. None of them
// contacts a server.
func (inv *invocation) keys(context.Context) error {
	if len(inv.args) == 0 {
		return usageErrorf("keys needs a subcommand: init, issue, rotate, renew, retire, token or digest")
	}
	name := inv.args[0]
	inv.args = inv.args[1:]
	var o keysOptions
	inv.flags.StringVar(&o.dir, "dir", "", "CA `folder`")
	inv.flags.StringVar(&o.vm, "vm", "", "`name` of the VM or operator (issue)")
	inv.flags.StringVar(&o.role, "role", "", "`role` entry, control or operator (issue)")
	inv.flags.StringVar(&o.addresses, "addresses", "", "IP `addresses` of the VM, separated by commas (issue)")
	inv.flags.StringVar(&o.kind, "kind", "workspace", "`kind` workspace or operator (token)")
	if err := inv.parse(0, 0); err != nil {
		return err
	}
	switch name {
	case "token":
		return inv.printNewToken(o.kind)
	case "digest":
		return inv.printTokenDigest()
	}
	if o.dir == "" {
		return usageErrorf("keys %s needs the CA folder; give -dir", name)
	}
	switch name {
	case "init":
		return inv.printResult(keys.InitCA(o.dir), "the CA is in "+o.dir+"; keep the folder off the VMs")
	case "issue":
		return inv.issueCertificate(&o)
	case "rotate":
		return inv.printResult(keys.Rotate(o.dir), "a rotation has begun; copy the VM folders, then run 'damaskctl keys renew'")
	case "renew":
		return inv.printResult(keys.Renew(o.dir), "every certificate is issued again; copy the VM folders, then, in a rotation, run 'damaskctl keys retire'")
	case "retire":
		return inv.printResult(keys.Retire(o.dir), "the old CA is no longer trusted; copy the VM folders")
	}
	return usageErrorf("keys subcommand %q is not known; use init, issue, rotate, renew, retire, token or digest", name)
}

// keysOutput is the JSON output of the keys subcommands.
type keysOutput struct {
	Message string `json:"message,omitempty"`
	Folder  string `json:"folder,omitempty"`
	Token   string `json:"token,omitempty"`
	SHA256  string `json:"sha256,omitempty"`
}

// printResult prints message unless err is set, which it returns.
func (inv *invocation) printResult(err error, message string) error {
	if err != nil {
		return err
	}
	return inv.printKeysOutput(keysOutput{Message: message}, message)
}

// issueCertificate issues the certificate of a VM or operator and prints the
// folder that holds it.
func (inv *invocation) issueCertificate(o *keysOptions) error {
	var addresses []string
	if o.addresses != "" {
		addresses = strings.Split(o.addresses, ",")
	}
	folder, err := keys.Issue(o.dir, ids.VMID(o.vm), o.role, addresses)
	if err != nil {
		return err
	}
	return inv.printKeysOutput(keysOutput{Folder: folder}, fmt.Sprintf("%s is ready; copy it to %s as a whole", folder, o.vm))
}

// printNewToken generates a token and prints it with its digest.
func (inv *invocation) printNewToken(kind string) error {
	kinds := map[string]keys.TokenKind{"workspace": keys.WorkspaceToken, "operator": keys.OperatorToken}
	tokenKind, ok := kinds[kind]
	if !ok {
		return usageErrorf("token kind %q is not known; use workspace or operator", kind)
	}
	token, digest := keys.NewToken(tokenKind)
	return inv.printKeysOutput(keysOutput{Token: token, SHA256: digest}, "token   "+token+"\nsha256  "+digest)
}

// printTokenDigest prints the digest of the token in -token-file or
// DAMASK_TOKEN.
func (inv *invocation) printTokenDigest() error {
	token, err := inv.readToken(inv.Env)
	if err != nil {
		return err
	}
	digest := keys.TokenDigest(token)
	return inv.printKeysOutput(keysOutput{SHA256: digest}, digest)
}

// printKeysOutput prints output as JSON if -json is set, otherwise text.
func (inv *invocation) printKeysOutput(output keysOutput, text string) error {
	if inv.json {
		return inv.printJSON(output)
	}
	fmt.Fprintln(inv.Stdout, text)
	return nil
}
