package entry

import (
	"net/http"
	"strings"

	"damaskbridge.example/damaskbridge/keys"
	"damaskbridge.example/damaskbridge/problem"
	"damaskbridge.example/damaskbridge/settings"
)

// HeaderWorkspace is the name of the workspace. It is optional and must match
// the token.
const HeaderWorkspace = "Damask-Workspace"

// authenticate returns the workspace of the caller's bearer token. Tokens are
// looked up by digest, so the lookup time does not reveal the token's content.
func authenticate(tree *settings.Tree, r *http.Request) (*settings.Workspace, error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return nil, problem.New(problem.Unauthenticated, problem.NotRun, "no bearer token")
	}
	w, ok := tree.WorkspaceByToken(keys.TokenDigest(token))
	if !ok {
		return nil, problem.New(problem.Unauthenticated, problem.NotRun, "the token belongs to no workspace")
	}
	name := r.Header.Get(HeaderWorkspace)
	if name == "" || name == w.Name {
		return w, nil
	}
	if _, known := tree.Workspace(name); !known {
		return nil, problem.New(problem.UnknownWorkspace, problem.NotRun, "workspace %q", name)
	}
	return nil, problem.New(problem.Forbidden, problem.NotRun, "the token does not belong to workspace %q", name)
}
