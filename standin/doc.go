// Package standin simulates the upstreams of a deployment: model engines,
// stage pools, plain services, the membership list and the weight store. Each
// simulator is an http.Handler that speaks the published protocol, counts what
// it really executed, and fails on request. A Fleet runs a whole deployment on
// loopback.
package standin
