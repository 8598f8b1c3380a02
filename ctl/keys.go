package ctl

import (
	"context"
	"fmt"
	"strings"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/keys"
)

// keyOptions are the flags of the keys subcommands.
type keyOptions struct {
	dir       string
	vm        string
	role      string
	addresses string
	kind      string
}

// keys runs one of its own subcommands, which need no server.
func (r *run) keys(context.Context) error {
	if len(r.args) == 0 {
		return usage("keys needs a subcommand: init, issue, rotate, renew, retire, token or digest")
	}
	name := r.args[0]
	r.args = r.args[1:]
	var o keyOptions
	r.flags.StringVar(&o.dir, "dir", "", "CA `folder`")
	r.flags.StringVar(&o.vm, "vm", "", "`name` of the VM or operator (issue)")
	r.flags.StringVar(&o.role, "role", "", "`role` entry, control or operator (issue)")
	r.flags.StringVar(&o.addresses, "addresses", "", "IP `addresses` of the VM, separated by commas (issue)")
	r.flags.StringVar(&o.kind, "kind", "workspace", "`kind` workspace or operator (token)")
	if err := r.parse(0, 0); err != nil {
		return err
	}
	switch name {
	case "token":
		return r.newToken(o.kind)
	case "digest":
		return r.tokenDigest()
	}
	if o.dir == "" {
		return usage("keys %s needs the CA folder; give -dir", name)
	}
	switch name {
	case "init":
		return r.done(keys.InitCA(o.dir), "the CA is in "+o.dir+"; keep the folder off the VMs")
	case "issue":
		return r.issue(&o)
	case "rotate":
		return r.done(keys.Rotate(o.dir), "a rotation has begun; copy the VM folders, then run 'damaskctl keys renew'")
	case "renew":
		return r.done(keys.Renew(o.dir), "every certificate is issued again; copy the VM folders, then, in a rotation, run 'damaskctl keys retire'")
	case "retire":
		return r.done(keys.Retire(o.dir), "the old CA is no longer trusted; copy the VM folders")
	}
	return usage("keys subcommand %q is not known; use init, issue, rotate, renew, retire, token or digest", name)
}

// keyReply is the JSON output of the keys subcommands.
type keyReply struct {
	Message string `json:"message,omitempty"`
	Folder  string `json:"folder,omitempty"`
	Token   string `json:"token,omitempty"`
	SHA256  string `json:"sha256,omitempty"`
}

func (r *run) done(err error, message string) error {
	if err != nil {
		return err
	}
	return r.printKey(keyReply{Message: message}, message)
}

func (r *run) issue(o *keyOptions) error {
	var addresses []string
	if o.addresses != "" {
		addresses = strings.Split(o.addresses, ",")
	}
	folder, err := keys.Issue(o.dir, ids.VMID(o.vm), o.role, addresses)
	if err != nil {
		return err
	}
	return r.printKey(keyReply{Folder: folder}, fmt.Sprintf("%s is ready; copy it to %s as a whole", folder, o.vm))
}

func (r *run) newToken(kind string) error {
	kinds := map[string]keys.TokenKind{"workspace": keys.WorkspaceToken, "operator": keys.OperatorToken}
	k, ok := kinds[kind]
	if !ok {
		return usage("token kind %q is not known; use workspace or operator", kind)
	}
	token, digest := keys.NewToken(k)
	return r.printKey(keyReply{Token: token, SHA256: digest}, "token   "+token+"\nsha256  "+digest)
}

// tokenDigest gives the digest of the token in -token-file or DAMASK_TOKEN.
func (r *run) tokenDigest() error {
	token, err := r.readToken(r.Env)
	if err != nil {
		return err
	}
	digest := keys.Digest(token)
	return r.printKey(keyReply{SHA256: digest}, digest)
}

func (r *run) printKey(reply keyReply, text string) error {
	if r.json {
		return r.printJSON(reply)
	}
	fmt.Fprintln(r.Stdout, text)
	return nil
}
