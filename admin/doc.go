// Package admin implements the HTTP API that a control VM serves to operators:
// changing the settings, reading them with the origin of each value, history,
// status, draining entry VMs and querying the audit log. Errors are problem
// details (RFC 9457).
//
// The API that New returns serves these paths:
//
//	POST /v1/changes                 apply operations (JSON) or a document (YAML)
//	POST /v1/diff                    operations that a document would make
//	GET  /v1/changes/{id}            stored result of a change id
//	GET  /v1/version                 current version
//	GET  /v1/document                all settings as a document
//	GET  /v1/effective               value of one key, or of all keys, at a branch
//	GET  /v1/objects/{kind}/{name}   pool, pipeline, service or workspace
//	GET  /v1/history                 accepted changes, newest first
//	GET  /v1/in-effect               wait until a version is in effect
//	GET  /v1/status                  state of the control VMs and entry VMs
//	POST /v1/entries/{vm}/drain      drain an entry VM
//	GET  /v1/audit                   audit records
package admin
