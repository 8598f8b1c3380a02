// Package advice holds what runners have asked of this VM in their answers: to be
// left alone for a while, or to get nothing new because they are about to end. It
// is kept for each process of a runner, so that one that was restarted or took over
// an address begins anew. It does no I/O, and time is passed in.
package advice
